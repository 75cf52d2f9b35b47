package slotqueue

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/pace"
)

// TestStartsFollowTheLimit has many requests wait for a worker with free slots that takes four of
// them a second.
func TestStartsFollowTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := New(10)
		queue.SetLimit(4)
		began := time.Now()
		var starts []time.Duration
		var mu sync.Mutex
		var requests sync.WaitGroup
		for range 8 {
			requests.Go(func() {
				permit, err := queue.Admit(t.Context(), Request{LatestStart: in(time.Minute)})
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				starts = append(starts, time.Since(began))
				mu.Unlock()
				permit.Release(true)
			})
		}
		requests.Wait()
		for n, start := range starts {
			want := time.Duration(n+1) * 250 * time.Millisecond
			if (start - want).Abs() > time.Millisecond {
				t.Errorf("start %d after %v, want %v", n, start, want)
			}
		}
	})
}

// TestLimitRefusesAtOnceWhatFindsNoRoom fills the next second of a limited worker whose slots are
// free.
func TestLimitRefusesAtOnceWhatFindsNoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := New(10)
		queue.SetLimit(2)
		began := time.Now()
		_, err := queue.Admit(t.Context(), Request{LatestStart: in(400 * time.Millisecond)})
		if !errorx.IsOfType(err, ErrFull) || WaitOf(err) != 500*time.Millisecond || time.Since(began) != 0 {
			t.Errorf("%v after %v, wait %v", err, time.Since(began), WaitOf(err))
		}
		if load := queue.Load(); load.Wait() != 500*time.Millisecond || load.Interval != 500*time.Millisecond {
			t.Errorf("load %+v", load)
		}
	})
}

// TestTurnAtTheLatestStartIsRefusedAtOnce has a request come whose turn is just at its latest start.
func TestTurnAtTheLatestStartIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := New(10)
		queue.SetLimit(2)
		began := time.Now()
		_, err := queue.Admit(t.Context(), Request{LatestStart: in(500 * time.Millisecond)})
		if !errorx.IsOfType(err, ErrFull) || time.Since(began) != 0 {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		if _, err := queue.Admit(t.Context(), Request{LatestStart: in(500*time.Millisecond + pace.TimerDelay)}); err != nil || time.Since(began) != 500*time.Millisecond {
			t.Errorf("a little more time: %v after %v", err, time.Since(began))
		}
	})
}

// TestLimitThatBeginsRefusesThoseThatWaitInVain limits a worker while four requests wait for its
// only slot.
func TestLimitThatBeginsRefusesThoseThatWaitInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := New(1)
		if _, err := queue.Admit(t.Context(), Request{LatestStart: in(time.Hour)}); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		refused := make(chan time.Duration, 4)
		for range 4 {
			go func() {
				if _, err := queue.Admit(t.Context(), Request{LatestStart: began.Add(2500 * time.Millisecond)}); errorx.IsOfType(err, ErrFull) {
					refused <- time.Since(began)
				}
			}()
		}
		synctest.Wait()
		queue.SetLimit(1)
		synctest.Wait()
		if len(refused) != 2 || <-refused != 0 || <-refused != 0 {
			t.Errorf("%d were refused", len(refused))
		}
		if load := queue.Load(); load.Waiting != 2 {
			t.Errorf("load %+v", load)
		}
		queue.Close()
	})
}

// TestNothingWaitsForALimitThatIsGone removes the limit while requests wait for it.
func TestNothingWaitsForALimitThatIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := New(4)
		queue.SetLimit(0.2)
		admitted := make(chan time.Duration, 3)
		began := time.Now()
		for range 3 {
			go func() {
				if _, err := queue.Admit(t.Context(), Request{LatestStart: in(time.Hour)}); err == nil {
					admitted <- time.Since(began)
				}
			}()
		}
		time.Sleep(time.Second)
		queue.RemoveLimit()
		synctest.Wait()
		if len(admitted) != 3 {
			t.Fatalf("%d were admitted", len(admitted))
		}
		for range 3 {
			if after := <-admitted; after != time.Second {
				t.Errorf("admitted after %v", after)
			}
		}
	})
}

// TestLimitKeepsTheOrderOfRanks has requests of three ranks wait for a limited worker.
func TestLimitKeepsTheOrderOfRanks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := New(4)
		queue.SetLimit(1)
		order := make(chan int, 3)
		for _, rank := range []int{2, 1, 0} {
			go func() {
				if _, err := queue.Admit(t.Context(), Request{Rank: rank, LatestStart: in(time.Hour)}); err == nil {
					order <- rank
				}
			}()
			synctest.Wait()
		}
		for want := range 3 {
			if got := <-order; got != want {
				t.Errorf("rank %d started in place of %d", got, want)
			}
		}
	})
}
