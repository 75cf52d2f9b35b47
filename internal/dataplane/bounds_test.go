package dataplane

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// requireCut lets virtual time pass and checks whether the call was then cut.
func requireCut(t *testing.T, life *lifetime, after time.Duration, want bool, message string) {
	t.Helper()
	time.Sleep(after)
	synctest.Wait()
	if got := life.ctx.Err() != nil; got != want {
		t.Fatal(message)
	}
}

func TestUploadIsBoundedByStepsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		interrupted := false
		life := newLifetime(t.Context(), lifetimeOptions{Step: 10 * time.Second, Interrupt: func() { interrupted = true }})
		defer life.end()
		for range 100 {
			time.Sleep(9 * time.Second) // virtual time
			life.uploadProgressed()
		}
		requireCut(t, life, 0, false, "an upload that moves on was cut")
		requireCut(t, life, 11*time.Second, true, "an upload that stands still was not cut")
		if !errors.Is(context.Cause(life.ctx), errDeadline) || !interrupted {
			t.Fatal("an upload that stands still was cut for another cause")
		}
	})
}

func TestDeadlineHoldsUntilTheAnswerBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		life := newLifetime(t.Context(), lifetimeOptions{
			Deadline: time.Now().Add(5 * time.Second), Step: 10 * time.Second, Interrupt: func() {},
		})
		defer life.end()
		time.Sleep(4 * time.Second)
		life.answerProgressed(3 * time.Second)
		requireCut(t, life, 2*time.Second, false, "the answer was cut at a deadline that bounds its beginning only")
		requireCut(t, life, 2*time.Second, true, "a silent answer was not cut")
	})
}

func TestEndBoundsTheWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		end := time.Now().Add(5 * time.Second)
		life := newLifetime(t.Context(), lifetimeOptions{Deadline: end, End: end, Step: 10 * time.Second, Interrupt: func() {}})
		defer life.end()
		for range 4 {
			time.Sleep(time.Second)
			life.answerProgressed(10 * time.Second)
		}
		requireCut(t, life, 0, false, "cut too early")
		requireCut(t, life, 2*time.Second, true, "the end given by the caller does not hold")
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
