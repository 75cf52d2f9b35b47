package hosted

import (
	"context"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/canary"
	"github.com/levertide/levertide/pkg/fleet"
)

// idleSteering does nothing.
type idleSteering struct{}

func (idleSteering) Steer([]fleet.Rollout)            {}
func (idleSteering) Runs(string) []fleet.RouteRuns    { return nil }
func (idleSteering) LongestCall(string) time.Duration { return time.Second }

// heldStatus is a store that holds one status.
type heldStatus struct{ status RolloutStatus }

func (s *heldStatus) Orders(context.Context) ([]Order, error) { return nil, nil }

func (s *heldStatus) Status(context.Context, string) (RolloutStatus, error) { return s.status, nil }

func (s *heldStatus) WriteStatus(_ context.Context, wanted RolloutStatus) (RolloutStatus, bool, error) {
	wanted.Revision = s.status.Revision + 1
	s.status = wanted
	return wanted, true, nil
}

// TestOrdersAcrossAReturnOfTheStore has a node that has completed a move receive the orders of a
// store that was restored from a copy.
func TestOrdersAcrossAReturnOfTheStore(t *testing.T) {
	now := time.Now()
	for name, row := range map[string]struct {
		order  Order
		target string
		state  canary.State
	}{
		"the order before it, from the copy": {Order{Service: "s", Target: "v1", Era: 2, Revision: 50, FromCopy: true}, "v2", canary.Completed},
		"the same order, written again":      {Order{Service: "s", Target: "v2", Era: 2, Revision: 95}, "v2", canary.Completed},
		"the same order, in the copy":        {Order{Service: "s", Target: "v2", Era: 2, Revision: 90, FromCopy: true}, "v2", canary.Completed},
		"a later order of a lower revision":  {Order{Service: "s", Target: "v3", Era: 2, Revision: 96}, "v3", canary.Running},
		"a late answer of the era before":    {Order{Service: "s", Target: "v1", Era: 1, Revision: 50}, "v2", canary.Completed},
	} {
		store := &heldStatus{status: RolloutStatus{Service: "s", Target: "v1", Revision: 60}}
		table := fleet.NewTable(fleet.Node{ID: "a", State: fleet.StateLive, ReadsStore: true})
		r := newRollouts(Config{
			Rollouts: store, Steering: idleSteering{}, Table: table, Contacts: fleet.NewContacts(), Events: discardEvents{},
		}, func(context.Context) {})
		held := fleet.Rollout{
			Service: "s", Target: "v2", Era: 1, Revision: 100, Ordered: now, Deadline: now.Add(time.Minute),
			Step: 3, State: canary.Completed, Share: 1,
		}
		r.adopt(held, now)
		row.order.Duration = time.Minute
		r.TakeOrders([]Order{row.order})
		r.adoptOrders(now)
		got := r.known["s"]
		if got.Target != row.target || got.State != row.state {
			t.Errorf("%s: %+v", name, got)
		}
		if got.Era == 2 && !got.Supersedes(held) {
			t.Errorf("%s: other nodes would not adopt the decision", name)
		}
		if got.Era == 2 && got.State == canary.Completed {
			r.look(t.Context(), now)
			if store.status.State != canary.Completed || store.status.Target != "v2" {
				t.Errorf("%s: the store is left with %+v", name, store.status)
			}
		}
	}
}
