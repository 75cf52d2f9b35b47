package sim_test

import (
	"testing"
	"time"

	"github.com/levertide/levertide/internal/sim"
	"pgregory.net/rapid"
)

// reporter is the part of testing.T and rapid.T that the tests use.
type reporter interface {
	Helper()
	Fatalf(format string, values ...any)
}

func requireNoViolations(t reporter, w *sim.World) {
	t.Helper()
	for _, violation := range w.Violations() {
		t.Fatalf("step %d: %s: %s: %s", violation.Step, violation.Invariant, violation.Subject, violation.Detail)
	}
}

func TestCalmWorldSettles(t *testing.T) {
	w := sim.New(sim.Options{Seed: 1, Calm: true})
	defer w.Close()
	w.RunFor(60 * time.Second)
	w.Settle()
	requireNoViolations(t, w)
	summary := w.Summary()
	if summary.Committed == 0 || summary.Aborted == 0 || summary.Answered == 0 || summary.Unknown > 0 {
		t.Fatalf("activity %+v", summary)
	}
}

func TestSameSeedSameTrace(t *testing.T) {
	run := func(seed uint64) uint64 {
		w := sim.New(sim.Options{Seed: seed})
		defer w.Close()
		w.RunFor(60 * time.Second)
		return w.TraceHash()
	}
	first := run(7)
	if again := run(7); again != first {
		t.Fatal("the same seed gave two traces")
	}
	if run(8) == first {
		t.Fatal("two seeds gave the same trace")
	}
}

// machine is the state machine that rapid drives: rapid draws the order and time of
// faults, and shrinks a failing run to the faults that cause it.
type machine struct{ world *sim.World }

func (m machine) actions() map[string]func(*rapid.T) {
	w := m.world
	node := func(t *rapid.T) int { return rapid.IntRange(0, w.Nodes()-1).Draw(t, "node") }
	return map[string]func(*rapid.T){
		"run": func(t *rapid.T) {
			w.RunFor(time.Duration(rapid.IntRange(1, 4000).Draw(t, "milliseconds")) * time.Millisecond)
		},
		"apply":         func(*rapid.T) { w.Apply(nil) },
		"crash":         func(t *rapid.T) { w.Crash(w.Node(node(t))) },
		"herd":          func(*rapid.T) { w.CrashMany() },
		"pause":         func(t *rapid.T) { w.Pause(w.Node(node(t))) },
		"pause relay":   func(*rapid.T) { w.PauseRelay() },
		"pause reader":  func(*rapid.T) { w.PauseCoordinator() },
		"cut":           func(t *rapid.T) { w.Cut(rapid.Bool().Draw(t, "one way")) },
		"store outage":  func(*rapid.T) { w.StoreOutage() },
		"store slow":    func(*rapid.T) { w.StoreSlow() },
		"leases lapsed": func(*rapid.T) { w.LapseLeases() },
		"clock step":    func(t *rapid.T) { w.StepClock(w.Node(node(t))) },
		"planned stop":  func(t *rapid.T) { w.Leave(w.Node(node(t))) },
		"":              func(t *rapid.T) { requireNoViolations(t, w) },
	}
}

func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := sim.New(sim.Options{Seed: rapid.Uint64().Draw(t, "seed"), Calm: true})
		defer w.Close()
		w.RunFor(5 * time.Second)
		t.Repeat(machine{w}.actions())
		w.Settle()
		requireNoViolations(t, w)
	})
}

func BenchmarkStep(b *testing.B) {
	b.ReportAllocs()
	w := sim.New(sim.Options{Seed: 1})
	defer w.Close()
	for b.Loop() {
		w.Step()
	}
}
