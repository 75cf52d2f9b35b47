package sim_test

import (
	"testing"
	"time"

	"github.com/levertide/levertide/internal/sim"
)

func TestCalmWorldSettles(t *testing.T) {
	w := sim.New(sim.Options{Seed: 1, Calm: true})
	defer w.Close()
	w.RunFor(60 * time.Second)
	w.Settle()
	for _, violation := range w.Violations() {
		t.Error(violation)
	}
	t.Log(w.Steps(), w.Faults(), w.Summary())
}
