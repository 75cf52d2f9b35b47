package suspend

import (
	"testing"
	"time"
)

func TestSuspendedBetweenIgnoresASetClock(t *testing.T) {
	for _, c := range []struct {
		name                        string
		wall, monotonic, sinceStart time.Duration
		want                        time.Duration
	}{
		{"nothing", time.Second, time.Second, 0, 0},
		{"clocks drift a little", time.Second + time.Millisecond, time.Second, time.Minute, 0},
		{"suspended for 3 s", 4 * time.Second, time.Second, 3 * time.Second, 3 * time.Second},
		{"wall clock set ahead", 3 * time.Second, time.Second, 0, 0},
		{"set ahead more than suspended", 11 * time.Second, time.Second, 3 * time.Second, 3 * time.Second},
		{"wall clock set back", -time.Second, time.Second, time.Minute, 0},
		{"clocks that contradict each other", 3 * time.Second, time.Second, -time.Second, 0},
	} {
		got := suspendedBetween(c.wall, c.monotonic, func() time.Duration { return c.sinceStart })
		if got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestMachineIsNotSuspendedDuringATest(t *testing.T) {
	if suspended := Since(time.Now()); suspended != 0 {
		t.Errorf("suspended for %v", suspended)
	}
	if total() < 0 {
		t.Errorf("the clock that counts suspensions is %v behind the one that does not", -total())
	}
}

func BenchmarkSince(b *testing.B) {
	began := time.Now()
	for b.Loop() {
		Since(began)
	}
}
