package forwarding

import (
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/slotqueue"
)

// TestEndpointThatAnswersNothingIsLeftAlone makes one of two endpoints hold a request for long:
// others go to the second one until the first has answered.
func TestEndpointThatAnswersNothingIsLeftAlone(t *testing.T) {
	const work = 100 * time.Millisecond
	now := time.Unix(1000, 0)
	frozen := &endpoint{node: "frozen", zone: "z", slots: 4, slowness: fastestFactor}
	slow := &endpoint{node: "slow", zone: "z", slots: 4, slowness: 2}
	d := &destination{service: "ledger", self: "front", zone: "z", ordered: []*endpoint{frozen, slow}}
	request := criteria{work: work, target: time.Second, waitLimit: work, reachable: func(string) bool { return true }}
	choose := func(want *endpoint, what string) choice {
		t.Helper()
		chosen, ok := d.choose(request, now)
		if !ok || chosen.endpoint != want {
			t.Fatalf("%s: %s was chosen", what, chosen.endpoint.node)
		}
		return chosen
	}
	held := choose(frozen, "at first")
	now = now.Add(work)
	second := choose(frozen, "after the time that the work may take")
	now = now.Add(overdueFactor*work + overdueMargin)
	choose(slow, "when nothing was answered for long")
	d.done(second, result{}, now)
	choose(slow, "after a request there has failed")
	d.done(held, result{load: slotqueue.Load{Slots: 4}, hasLoad: true}, now)
	choose(frozen, "after an answer")
}
