package hosted

import (
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/quota"
)

func TestWhoOwnsAShare(t *testing.T) {
	var o owners
	now := time.Now()
	nodes := []*fleet.Node{{ID: "live", State: fleet.StateLive}, {ID: "leaving", State: fleet.StateLeaving}, {ID: "left", State: fleet.StateLeft}}
	check := func(what string, want int) {
		t.Helper()
		if got := o.count(nodes, now); got != want {
			t.Errorf("%s: %d nodes own a share, want %d", what, got, want)
		}
	}
	check("at once", 3)
	now = now.Add(quota.LeaseTerm + time.Millisecond)
	check("after the lease of the one that left", 2)
	nodes[2] = &fleet.Node{ID: "left", State: fleet.StateLive}
	check("it is back", 3)
	nodes[2] = &fleet.Node{ID: "left", State: fleet.StateLeft}
	check("it leaves again", 3)
}
