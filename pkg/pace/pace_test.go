package pace

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// allowed returns how many requests a worker may get in a window of four seconds.
func allowed(perSecond float64) float64 { return 1.5*perSecond*4 + 5 }

// TestNoWindowExceedsTheLimit has requests of random patterns start as soon as they may, with
// pacers that are made anew now and then, as by a node that starts again.
func TestNoWindowExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0, 400).Draw(t, "limit")
		now := time.Unix(1000, 0)
		pacer := New(perSecond, now)
		lives := 1
		var starts []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			if lives < 3 && rapid.IntRange(0, 20).Draw(t, "restart") == 0 {
				pacer = New(perSecond, now)
				lives++
			}
			for pacer.Ready(now) {
				pacer.Take(now)
				starts = append(starts, now)
			}
		}
		for first, from := range starts {
			count := 0
			for _, start := range starts[first:] {
				if start.Sub(from) < 4*time.Second {
					count++
				}
			}
			if float64(count) > allowed(perSecond) {
				t.Fatalf("%d starts in four seconds at %v a second", count, perSecond)
			}
		}
	})
}

func TestLimitIsUsed(t *testing.T) {
	for _, perSecond := range []float64{0.5, 1.2, 4.9, 50, 3000} {
		now := time.Unix(1000, 0)
		pacer, starts := New(perSecond, now), 0
		const steps = 20_000
		for range steps {
			now = now.Add(time.Millisecond)
			for pacer.Ready(now) {
				pacer.Take(now)
				starts++
			}
		}
		want := perSecond * steps / 1000
		if float64(starts) < want-1.5 || float64(starts) > want+1 {
			t.Errorf("%d starts at %v a second, want %v", starts, perSecond, want)
		}
	}
}

func TestNoLimitAtAll(t *testing.T) {
	var pacer *Pacer
	now := time.Unix(1000, 0)
	pacer.Take(now)
	if !pacer.Ready(now) || pacer.Wait(9, now) != 0 || pacer.Interval() != 0 || pacer.Turn(now) != 0 {
		t.Error("a nil pacer delays a start")
	}
}

func TestExtremeLimits(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, perSecond := range []float64{0, math.SmallestNonzeroFloat64, 1e300, math.MaxFloat64} {
		pacer := New(perSecond, now)
		if pacer.Ready(now) && perSecond < 1 {
			t.Errorf("%v a second: ready at once", perSecond)
		}
		if wait := pacer.Wait(0, now); wait < 0 || wait > 10*time.Second {
			t.Errorf("%v a second: wait %v", perSecond, wait)
		}
		if !pacer.Ready(now.Add(11 * time.Second)) {
			t.Errorf("%v a second: never ready", perSecond)
		}
	}
}

func TestTurnsAreSpread(t *testing.T) {
	now := time.Unix(1000, 0)
	pacer := New(10, now)
	for n := range 5 {
		want := time.Duration(n+1) * 100 * time.Millisecond
		if turn := pacer.Turn(now); (turn - want).Abs() > time.Millisecond {
			t.Errorf("turn %d after %v, want %v", n, turn, want)
		}
	}
	for range 100 {
		if turn := pacer.Turn(now); turn > longestTurn {
			t.Fatalf("a turn after %v", turn)
		}
	}
}

func TestLowerLimitKeepsNoLargerBurst(t *testing.T) {
	now := time.Unix(1000, 0)
	const perSecond = 2
	pacer := New(100, now)
	now = now.Add(time.Minute)
	pacer.SetRate(perSecond, now)
	starts := 0
	for pacer.Ready(now) {
		pacer.Take(now)
		starts++
	}
	if starts > burstOf(perSecond) {
		t.Errorf("%d starts at once after the limit fell to %d a second", starts, perSecond)
	}
}
