package dataplane

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// requireCut lets virtual time pass and checks whether the call was then cut.
func requireCut(t *testing.T, lifetime *lifetime, after time.Duration, want bool, message string) {
	t.Helper()
	time.Sleep(after)
	synctest.Wait()
	if got := lifetime.ctx.Err() != nil; got != want {
		t.Fatal(message)
	}
}

func TestUploadIsBoundedByStepsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		interrupted := false
		lifetime := newLifetime(t.Context(), lifetimeOptions{Step: 10 * time.Second, Interrupt: func() { interrupted = true }})
		defer lifetime.end()
		for range 100 {
			time.Sleep(9 * time.Second) // virtual time
			lifetime.uploadProgressed()
		}
		requireCut(t, lifetime, 0, false, "an upload that moves on was cut")
		requireCut(t, lifetime, 11*time.Second, true, "an upload that stands still was not cut")
		if !errors.Is(context.Cause(lifetime.ctx), errDeadline) || !interrupted {
			t.Fatal("an upload that stands still was cut for another cause")
		}
	})
}

func TestDeadlineHoldsUntilTheAnswerBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lifetime := newLifetime(t.Context(), lifetimeOptions{
			Deadline: time.Now().Add(5 * time.Second), Step: 10 * time.Second, Interrupt: func() {},
		})
		defer lifetime.end()
		time.Sleep(4 * time.Second)
		lifetime.answerProgressed(3 * time.Second)
		requireCut(t, lifetime, 2*time.Second, false, "the answer was cut at a deadline that bounds its beginning only")
		requireCut(t, lifetime, 2*time.Second, true, "a silent answer was not cut")
	})
}

func TestEndBoundsTheWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		end := time.Now().Add(5 * time.Second)
		lifetime := newLifetime(t.Context(), lifetimeOptions{Deadline: end, End: end, Step: 10 * time.Second, Interrupt: func() {}})
		defer lifetime.end()
		for range 4 {
			time.Sleep(time.Second)
			lifetime.answerProgressed(10 * time.Second)
		}
		requireCut(t, lifetime, 0, false, "cut too early")
		requireCut(t, lifetime, 2*time.Second, true, "the end given by the caller does not hold")
	})
}

func TestPaceCountsOnlyWaiting(t *testing.T) {
	p := pace{grace: 10 * time.Second, rate: 1000}
	for range 100 {
		p.step(1000, time.Second) // exactly the slowest rate
	}
	if got := p.remaining(); got != 10*time.Second {
		t.Errorf("at the slowest rate %s of the grace are left", got)
	}
	for range 10 {
		p.step(1, time.Second)
	}
	if got := p.remaining(); got > 10*time.Millisecond {
		t.Errorf("a trickle leaves %s", got)
	}
}
