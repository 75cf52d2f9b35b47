package forwarding

import (
	"fmt"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/slotqueue"
	"github.com/levertide/levertide/pkg/workers"
)

// twoZones returns what a node of zone a knows of a service with workers in two zones.
func twoZones(t *testing.T, perZone int) *destination {
	t.Helper()
	table := fleet.NewTable(fleet.Node{ID: "front", Incarnation: 1, Zone: "a", State: fleet.StateLive})
	for _, zone := range []string{"a", "b"} {
		for n := range perZone {
			id := fmt.Sprint(zone, n)
			table.Merge([]fleet.Node{{
				ID: id, Incarnation: 1, Zone: zone, State: fleet.StateLive, CallAddress: id,
				Workers: []workers.Worker{{Instance: "w" + id, Service: "ledger", Slots: 4, State: workers.StateReady}},
			}})
		}
	}
	d := &destination{service: "ledger", self: "front", zone: "a"}
	d.refresh(table.View())
	return d
}

// zoneWish is a short request that is worth most within 400 ms.
func zoneWish() wish {
	return wish{
		bytes: 1500, work: 50 * time.Millisecond, target: 400 * time.Millisecond,
		local:     func() (slotqueue.Load, bool) { return slotqueue.Load{}, false },
		reachable: func(string) bool { return true },
	}
}

// TestLastOfferGoesWhereThereIsRoom fills the own zone as far as the node knows.
func TestLastOfferGoesWhereThereIsRoom(t *testing.T) {
	d := twoZones(t, 3)
	now := time.Now()
	for _, e := range d.ordered {
		e.report, e.reportedAt = slotqueue.Load{Slots: 4, Hold: 40 * time.Millisecond}, now
		if e.zone == "a" {
			e.report.Running, e.report.Waiting = 4, 2
		}
	}
	w := zoneWish()
	if chosen, _ := d.choose(w, now); chosen.endpoint.zone != "a" {
		t.Error("the bytes to another zone were spent for a short wait")
	}
	w.last = true
	if chosen, _ := d.choose(w, now); chosen.endpoint.zone != "b" {
		t.Error("the last offer went to a full zone")
	}
}
