package slotqueue

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"pgregory.net/rapid"
)

func in(wait time.Duration) time.Time { return time.Now().Add(wait) }

func TestLowestRankStartsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := New(1)
		first, err := queue.Admit(t.Context(), Request{LatestStart: in(time.Second)})
		if err != nil {
			t.Fatal(err)
		}
		order := make(chan int, 3)
		for _, rank := range []int{2, 1, 0} {
			go func() {
				permit, err := queue.Admit(t.Context(), Request{Rank: rank, LatestStart: in(time.Second)})
				if err == nil {
					order <- rank
					permit.Release(true)
				}
			}()
			synctest.Wait()
		}
		first.Release(true)
		for want := range 3 {
			if got := <-order; got != want {
				t.Errorf("rank %d started in place of %d", got, want)
			}
		}
	})
}

func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := New(1)
		if _, err := queue.Admit(t.Context(), Request{LatestStart: in(time.Second)}); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		_, err := queue.Admit(t.Context(), Request{LatestStart: in(initialHold / 2)})
		if !errorx.IsOfType(err, ErrFull) || WaitOf(err) != initialHold || time.Since(began) != 0 {
			t.Errorf("%v after %v, wait %v", err, time.Since(began), WaitOf(err))
		}
	})
}

func TestWaiterIsRefusedAtLatestStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := New(1)
		permit, _ := queue.Admit(t.Context(), Request{LatestStart: in(time.Second)})
		began := time.Now()
		_, err := queue.Admit(t.Context(), Request{LatestStart: in(50 * time.Millisecond)})
		if !errorx.IsOfType(err, ErrFull) || time.Since(began) != 50*time.Millisecond {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		permit.Release(true)
		if load := queue.Load(); load.Running != 0 || load.Waiting != 0 {
			t.Errorf("load %+v", load)
		}
	})
}

func TestCallerThatLeavesGivesItsPlaceBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := New(1)
		permit, _ := queue.Admit(t.Context(), Request{LatestStart: in(time.Second)})
		ctx, cancel := context.WithCancel(t.Context())
		go cancel()
		if _, err := queue.Admit(ctx, Request{LatestStart: in(time.Second)}); !errorx.IsOfType(err, ErrAbandoned) {
			t.Error(err)
		}
		permit.Release(true)
		if load := queue.Load(); load.Running != 0 || load.Waiting != 0 {
			t.Errorf("load %+v", load)
		}
	})
}

func TestCloseRefusesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := New(1)
		permit, _ := queue.Admit(t.Context(), Request{LatestStart: in(time.Second)})
		refused := make(chan error, 1)
		go func() {
			_, err := queue.Admit(t.Context(), Request{LatestStart: in(time.Second)})
			refused <- err
		}()
		synctest.Wait()
		queue.Close()
		if err := <-refused; !errorx.IsOfType(err, ErrClosed) {
			t.Error(err)
		}
		permit.Release(true)
		if _, err := queue.Admit(t.Context(), Request{LatestStart: in(time.Second)}); !errorx.IsOfType(err, ErrClosed) {
			t.Error(err)
		}
	})
}

// TestNeverMoreThanSlots admits, cancels and releases requests of many ranks at random, and
// counts the running ones.
func TestNeverMoreThanSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		queue := New(slots)
		var held []Permit
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "release") && len(held) > 0 {
				held[0].Release(rapid.Bool().Draw(t, "observed"))
				held = held[1:]
				continue
			}
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			permit, err := queue.Admit(ctx, Request{Rank: rapid.IntRange(0, 3).Draw(t, "rank"), LatestStart: in(time.Hour)})
			if err == nil {
				held = append(held, permit)
			}
			if len(held) > slots || queue.Load().Running != len(held) || queue.Load().Waiting != 0 {
				t.Fatalf("%d held, load %+v", len(held), queue.Load())
			}
		}
	})
}

func TestCheckSaysWhatAdmitWould(t *testing.T) {
	q := New(1)
	soon := Request{LatestStart: time.Now().Add(time.Millisecond)}
	if err := q.Check(soon); err != nil {
		t.Errorf("free: %v", err)
	}
	permit, err := q.Admit(t.Context(), soon)
	if err != nil {
		t.Fatal(err)
	}
	if err := q.Check(soon); !errorx.IsOfType(err, ErrFull) || WaitOf(err) <= 0 {
		t.Errorf("full: %v", err)
	}
	if err := q.Check(Request{LatestStart: time.Now().Add(time.Hour)}); err != nil {
		t.Errorf("latest start in an hour: %v", err)
	}
	permit.Release(false)
	if load := q.Load(); load.Running != 0 || load.Waiting != 0 {
		t.Errorf("load after a check: %+v", load)
	}
	q.Close()
	if err := q.Check(soon); !errorx.IsOfType(err, ErrClosed) {
		t.Errorf("closed: %v", err)
	}
}

// TestExpectedWaitCountsThoseThatOvertake fills a worker that mostly serves requests of a
// lower rank: a request of a higher rank is expected to wait several times as long as those
// ahead of it take, and one of the lower rank is not.
func TestExpectedWaitCountsThoseThatOvertake(t *testing.T) {
	q := New(1)
	for range 100 {
		permit, err := q.Admit(t.Context(), Request{Rank: 1, LatestStart: time.Now()})
		if err != nil {
			t.Fatal(err)
		}
		permit.Release(false)
	}
	permit, err := q.Admit(t.Context(), Request{Rank: 1, LatestStart: time.Now()})
	if err != nil {
		t.Fatal(err)
	}
	defer permit.Release(false)
	soon := time.Now().Add(3 * initialHold)
	if err := q.Check(Request{Rank: 1, LatestStart: soon}); err != nil {
		t.Errorf("a request that nothing overtakes is refused: %v", err)
	}
	if err := q.Check(Request{Rank: 2, LatestStart: soon}); !errorx.IsOfType(err, ErrFull) {
		t.Errorf("a request that most others overtake: %v", err)
	}
}

// TestRequestsOfUnknownWorkReserveNoSlots slows a worker down under requests of which only
// rank and arrival are known. The ones that came while it was fast must not count as
// shorter work.
func TestRequestsOfUnknownWorkReserveNoSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(4)
		for range 20 {
			p, err := q.Admit(t.Context(), Request{LatestStart: in(time.Second)})
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(5 * time.Millisecond)
			p.Release(true)
		}
		var slow []Permit
		for range 4 {
			p, _ := q.Admit(t.Context(), Request{LatestStart: in(time.Second)})
			slow = append(slow, p)
		}
		time.Sleep(time.Second / 2)
		for _, p := range slow {
			p.Release(true)
		}
		for range 4 {
			sentAt := time.Now()
			if _, err := q.Admit(t.Context(), Request{Rank: 1, LatestStart: in(time.Second)}); err != nil || time.Since(sentAt) > 0 {
				t.Errorf("a free slot is given after %v: %v", time.Since(sentAt), err)
			}
		}
	})
}

// TestHoldBackStartsAnewAfterRequestLeft has a long request leave while slots are withheld
// from it, and another long one arrive much later: the time for which slots were withheld
// from the first must not shorten that of the second.
func TestHoldBackStartsAnewAfterRequestLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(4)
		urgent := func() {
			for range 40 {
				p, err := q.Admit(t.Context(), Request{Work: time.Millisecond, LatestStart: in(time.Second)})
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Millisecond)
				p.Release(true)
			}
		}
		long := func(waitLimit time.Duration) time.Duration {
			sentAt := time.Now()
			_, err := q.Admit(t.Context(), Request{Rank: 1, Work: 10 * time.Second, LatestStart: in(waitLimit)})
			t.Logf("long work: %v after %v", err, time.Since(sentAt))
			return time.Since(sentAt)
		}
		for range 2 {
			_, _ = q.Admit(t.Context(), Request{Work: 10 * time.Second, LatestStart: in(time.Second)})
		}
		urgent()
		long(recheckInterval / 2)
		time.Sleep(time.Second)
		urgent()
		if waited := long(time.Second); waited < recheckInterval {
			t.Errorf("slots were withheld for %v only", waited)
		}
	})
}
