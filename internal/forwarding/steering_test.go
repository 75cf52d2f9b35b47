package forwarding

import (
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/canary"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/workers"
)

// twoVersions returns a node without a worker, and nodes with workers of two versions.
func twoVersions(t *testing.T, each int) (front *testNode, former, next *testWorker) {
	t.Helper()
	former, next = startWorker(t), startWorker(t)
	front = startNode(t, "front", "desk", nil)
	nodes := []*testNode{front}
	for i := range each {
		for version, worker := range map[string]*testWorker{"v1": former, "v2": next} {
			node := startNode(t, fmt.Sprintf("%s-%d", version, i), "ledger", nil)
			_, err := node.registry.Heartbeat(workers.Heartbeat{
				Instance: "w-" + version + fmt.Sprint(i), Service: "ledger", Address: netip.MustParseAddrPort(worker.address()), Version: version, Slots: 4, Sequence: 1,
			}, time.Now())
			if err != nil {
				t.Fatal(err)
			}
			node.plane.Update(node.registry.Workers())
			node.table.Update(func(own *fleet.Node) { own.Workers = node.registry.Workers() })
			nodes = append(nodes, node)
		}
	}
	exchangeRecords(nodes...)
	configure(t, ledgerRoutes, nodes...)
	return front, former, next
}

func (n *testNode) callOften(t *testing.T, calls int) {
	t.Helper()
	for range calls {
		if status, _, _ := ask(t, callerRequest(t, n, http.MethodGet, "/read/1", nil)); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
	}
}

func order(state canary.State, share float64) []fleet.Rollout {
	return []fleet.Rollout{{Service: "ledger", Target: "v2", Revision: 7, State: state, Share: share}}
}

func TestVersionsGetTheirShares(t *testing.T) {
	const calls = 600
	for _, test := range []struct {
		name        string
		state       canary.State
		share       float64
		least, most float64
	}{
		{"before the first worker", canary.Running, 0, 0, 0},
		{"on trial", canary.Running, 0.06, 0.02, 0.12},
		{"half", canary.Running, 0.5, 0.4, 0.6},
		{"all", canary.Running, 1, 1, 1},
		{"rolled back", canary.RolledBack, 0, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			front, _, next := twoVersions(t, 2)
			front.plane.Steer(order(test.state, test.share))
			front.callOften(t, calls)
			if got := float64(next.calls.Load()) / calls; got < test.least || got > test.most {
				t.Errorf("the next version got %v of the calls, want %v to %v", got, test.least, test.most)
			}
		})
	}
}

func TestOneWorkerIsOnTrialAndAsBusyAsOthers(t *testing.T) {
	var nodes []*fleet.Node
	for i := range 20 {
		version := "v1"
		if i%2 == 0 {
			version = "v2"
		}
		nodes = append(nodes, &fleet.Node{ID: fmt.Sprint(i), State: fleet.StateLive, Workers: []workers.Worker{
			{Instance: fmt.Sprint("w", i), Service: "ledger", Version: version, State: workers.StateReady},
		}})
	}
	former, target := byVersion(nodes, order(canary.Running, 0.06)[0])
	again, same := byVersion(nodes, order(canary.Running, 0.06)[0])
	if len(former) != 10 || len(again) != 10 || len(target) != 1 || target[0] != same[0] {
		t.Errorf("%d former, %d on trial", len(former), len(target))
	}
	if _, all := byVersion(nodes, order(canary.Running, 1)[0]); len(all) != 10 {
		t.Errorf("%d workers when all traffic has moved", len(all))
	}
}

func TestWorkerThatHasNotSaidItsVersionWaits(t *testing.T) {
	unknown := versionChoice{target: "v2"}
	if unknown.takes("") || !unknown.takes("v1") || unknown.takes("v2") {
		t.Error("the former version is not chosen alone")
	}
	if !(versionChoice{}).takes("") {
		t.Error("a service that does not move takes no worker without a version")
	}
}

// TestRunsAreCountedByRoute makes a worker fail on one route only.
func TestRunsAreCountedByRoute(t *testing.T) {
	front := startNode(t, "front", "ledger", startWorker(t))
	exchangeRecords(front)
	configure(t, ledgerRoutes, front)
	front.plane.Steer(order(canary.Running, 1))
	client, err := front.plane.local.find("ledger", workers.Incarnation{})
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{"/read/1", "/file/1", "/file/1"} {
		request := callerRequest(t, front, http.MethodGet, path, nil)
		call := workerCall{arrived: true, ran: time.Second}
		answered := &answer{status: http.StatusOK}
		if path == "/file/1" {
			answered.status = http.StatusInternalServerError
		}
		front.plane.countRun("ledger", client.worker, request, &call, answered, nil)
	}
	runs := front.plane.Runs("ledger")
	if len(runs) != 2 {
		t.Fatalf("%d routes: %v", len(runs), runs)
	}
	for _, r := range runs {
		failed := r.Runs == 2 && r.Failed == 2
		served := r.Runs == 1 && r.Failed == 0 && math.Abs(r.LogTime) < 0.01
		if !failed && !served {
			t.Errorf("%+v", r)
		}
	}
	front.plane.Steer(nil)
	if front.plane.Runs("ledger") != nil {
		t.Error("runs are kept without an order")
	}
}

// TestRunsBeforeTheFirstConfiguration sends calls of another node to a node that has no
// configuration yet.
func TestRunsBeforeTheFirstConfiguration(t *testing.T) {
	worker := startWorker(t)
	front, back := startNode(t, "front", "desk", nil), startNode(t, "back", "ledger", worker)
	exchangeRecords(front, back)
	configure(t, ledgerRoutes, front)
	back.plane.Steer(order(canary.Running, 1))
	front.callOften(t, 3)
	if runs := back.plane.Runs("ledger"); len(runs) != 0 || worker.calls.Load() != 3 {
		t.Errorf("%d calls, counted %v", worker.calls.Load(), runs)
	}
}

// TestRepeatedOrderHarmsNobody orders a move to the version that all workers run already.
func TestRepeatedOrderHarmsNobody(t *testing.T) {
	const calls = 100
	front, former, next := twoVersions(t, 2)
	again := order(canary.Running, 0.06)
	again[0].Target = "v1"
	front.plane.Steer(again)
	for _, n := range front.table.View().Nodes() {
		if worker, ok := n.Serves("ledger"); ok && worker.Version == "v2" {
			front.table.Remove(n.ID)
		}
	}
	front.callOften(t, calls)
	if former.calls.Load() != calls || next.calls.Load() != 0 {
		t.Errorf("%d and %d calls", former.calls.Load(), next.calls.Load())
	}
}
