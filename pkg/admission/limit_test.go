package admission

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestAdmissionsFollowTheLimit has more requests wait than the limit admits within their wait.
func TestAdmissionsFollowTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := New(Options{Slots: 8, Queue: 8, QueueWait: 1100 * time.Millisecond})
		gate.SetLimit(4)
		began := time.Now()
		admitted, refused := make(chan time.Duration, 8), make(chan error, 8)
		var requests sync.WaitGroup
		for range 8 {
			requests.Go(func() {
				permit, err := gate.Admit(t.Context(), PriorityNormal)
				if err != nil {
					refused <- err
					return
				}
				admitted <- time.Since(began)
				permit.Release(Result{})
			})
			synctest.Wait()
		}
		if len(refused) != 4 {
			t.Errorf("%d of 8 are refused at once", len(refused))
		}
		requests.Wait()
		for n := range 4 {
			want := time.Duration(n+1) * 250 * time.Millisecond
			if after := <-admitted; (after - want).Abs() > time.Millisecond {
				t.Errorf("admission %d after %v, want %v", n, after, want)
			}
		}
		for range 4 {
			if err := <-refused; ReasonOf(err) != ReasonLimited || RetryAfter(err) < time.Second {
				t.Errorf("%v, retry after %v", err, RetryAfter(err))
			}
		}
	})
}

// TestNothingWaitsForALimitThatIsGone removes the limit while a request waits for it.
func TestNothingWaitsForALimitThatIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := New(Options{Slots: 2, QueueWait: time.Minute})
		gate.SetLimit(0.1)
		began := time.Now()
		admitted := make(chan time.Duration, 1)
		go func() {
			if _, err := gate.Admit(t.Context(), PriorityNormal); err == nil {
				admitted <- time.Since(began)
			}
		}()
		time.Sleep(time.Second)
		if load := gate.Load(); load < SlotsFullLoad {
			t.Errorf("load %v while the limit holds requests up", load)
		}
		gate.RemoveLimit()
		if after := <-admitted; after != time.Second {
			t.Errorf("admitted after %v", after)
		}
	})
}

// TestHigherPriorityGoesFirstUnderALimit has two requests wait for a limit.
func TestHigherPriorityGoesFirstUnderALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := New(Options{Slots: 4, QueueWait: time.Minute})
		gate.SetLimit(1)
		order := make(chan Priority, 2)
		for _, priority := range []Priority{PriorityLow, PriorityHigh} {
			go func() {
				if _, err := gate.Admit(t.Context(), priority); err == nil {
					order <- priority
				}
			}()
			synctest.Wait()
		}
		if first := <-order; first != PriorityHigh {
			t.Errorf("priority %d goes first", first)
		}
		<-order
	})
}

// TestLeavingWorkerRefusesThoseThatWait states that the worker leaves, and later that it does not.
func TestLeavingWorkerRefusesThoseThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := New(Options{Slots: 1, QueueWait: time.Minute})
		first, err := gate.Admit(t.Context(), PriorityNormal)
		if err != nil {
			t.Fatal(err)
		}
		refused := make(chan error, 1)
		go func() {
			_, err := gate.Admit(t.Context(), PriorityNormal)
			refused <- err
		}()
		synctest.Wait()
		gate.SetLeaving(true)
		if err := <-refused; ReasonOf(err) != ReasonDraining {
			t.Errorf("%v", err)
		}
		if _, err := gate.Admit(context.Background(), PriorityNormal); ReasonOf(err) != ReasonDraining {
			t.Errorf("a new request: %v", err)
		}
		first.Release(Result{})
		gate.SetLeaving(false)
		if _, err := gate.Admit(t.Context(), PriorityNormal); err != nil {
			t.Errorf("after the worker takes requests again: %v", err)
		}
	})
}
