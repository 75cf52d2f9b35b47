package forwarding

import (
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/workers"
)

// heartbeatOfIncarnation sends the heartbeat of an incarnation of a worker to the node beside it.
func (n *testNode) heartbeatOfIncarnation(t *testing.T, w *testWorker, startedAt int64, sequence uint64, draining bool) {
	t.Helper()
	_, err := n.registry.Heartbeat(workers.Heartbeat{
		Instance: "w1", StartedAt: startedAt, Service: "ledger", Address: netip.MustParseAddrPort(w.address()), Slots: 4, Sequence: sequence, Draining: draining,
	}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	n.plane.Update(n.registry.Workers())
	n.table.Update(func(own *fleet.Node) { own.Workers = n.registry.Workers() })
}

// TestNewIncarnationOfAnInstanceStartsAfresh fills the slots of a worker, drains it and starts it
// again under its instance: what the previous incarnation held is not held by the new one.
func TestNewIncarnationOfAnInstanceStartsAfresh(t *testing.T) {
	worker := startWorker(t)
	node := startNode(t, "a", "ledger", nil)
	configure(t, []routeSpec{{prefix: "/read/", service: "ledger", safe: true, timeout: time.Second}}, node)
	node.heartbeatOfIncarnation(t, worker, 100, 7, false)
	previous, err := node.plane.local.find("ledger", workers.Incarnation{Instance: "w1", StartedAt: 100})
	if err != nil {
		t.Fatal(err)
	}
	held := fill(t, node)
	node.heartbeatOfIncarnation(t, worker, 100, 8, true)
	if _, err := node.plane.local.find("ledger", workers.Incarnation{}); err == nil {
		t.Fatal("a worker that drains is given work")
	}
	node.heartbeatOfIncarnation(t, worker, 200, 1, false)
	next, err := node.plane.local.find("ledger", workers.Incarnation{Instance: "w1", StartedAt: 200})
	if err != nil {
		t.Fatal(err)
	}
	if load := next.load(); next == previous || load.Running != 0 || load.Slots != 4 {
		t.Errorf("the new incarnation begins with %+v", load)
	}
	if _, err := node.plane.local.find("ledger", workers.Incarnation{Instance: "w1", StartedAt: 100}); err == nil {
		t.Error("a call for the previous incarnation reaches the new one")
	}
	for _, permit := range held {
		permit.Release(false)
	}
	if status, _, _ := get(t, node, "/read/x"); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}

// TestEndpointStateIsNotKeptForTheNextIncarnation checks an endpoint before and after its worker
// has started again under its instance, and the start time that becomes known.
func TestEndpointStateIsNotKeptForTheNextIncarnation(t *testing.T) {
	worker := startWorker(t)
	node := startNode(t, "a", "ledger", nil)
	d := &destination{service: "ledger", self: "a", zone: "z"}
	look := func(startedAt int64, sequence uint64) *endpoint {
		node.heartbeatOfIncarnation(t, worker, startedAt, sequence, false)
		d.refresh(node.table.View(), &steeringTable{})
		return d.endpoints["a"]
	}
	first := look(100, 1)
	first.slowness, first.outstanding = 7, 3
	if same := look(100, 2); same != first {
		t.Error("a heartbeat of the same incarnation has reset the endpoint")
	}
	next := look(200, 1)
	if next.slowness != 1 || next.outstanding != 0 || next.startedAt.Load() != 200 {
		t.Errorf("the next incarnation has %+v", next)
	}
}

// TestCallsReadALifeWhileItsBirthBecomesKnown reads the incarnation of an endpoint while a
// heartbeat reports its start time; the race detector finds unsynchronized access.
func TestCallsReadALifeWhileItsBirthBecomesKnown(t *testing.T) {
	worker := startWorker(t)
	node := startNode(t, "a", "ledger", nil)
	d := &destination{service: "ledger", self: "a", zone: "z"}
	node.heartbeatOfIncarnation(t, worker, 0, 1, false)
	d.refresh(node.table.View(), &steeringTable{})
	e := d.endpoints["a"]
	var calls sync.WaitGroup
	calls.Go(func() {
		for range 1000 {
			if e.incarnation().Instance != "w1" {
				t.Error("another instance")
			}
		}
	})
	node.heartbeatOfIncarnation(t, worker, 100, 2, false)
	d.refresh(node.table.View(), &steeringTable{})
	calls.Wait()
	if same := d.endpoints["a"]; same != e || same.incarnation().StartedAt != 100 {
		t.Errorf("incarnation %v", same.incarnation())
	}
}
