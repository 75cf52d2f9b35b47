package workers

import (
	"fmt"
	"testing"
	"time"
)

// TestRivalIsTheReadyWorkerAtTheAddress guards against a worker that loses its place unasked.
func TestRivalIsTheReadyWorkerAtTheAddress(t *testing.T) {
	r := NewRegistry(4 * time.Second)
	expect := func(what string, of Heartbeat, at time.Time, want Rival, wanted bool) {
		t.Helper()
		rival, found := r.Rival(of, at)
		if found != wanted || rival.Worker.Instance != want.Worker.Instance || rival.Confirmed != want.Confirmed || rival.Silent != want.Silent {
			t.Errorf("%s: %+v, %t", what, rival, found)
		}
	}
	running := Worker{Instance: "running"}
	expect("nothing registered", heartbeatOf("running", 1, false), start, Rival{}, false)
	mustHeartbeat(t, r, heartbeatOf("running", 1, false), start)
	expect("its own heartbeat", heartbeatOf("running", 2, false), start, Rival{}, false)
	expect("another instance", heartbeatOf("other", 1, false), start.Add(time.Second), Rival{Worker: running}, true)
	expect("heartbeats missing", heartbeatOf("other", 1, false), start.Add(2*time.Second), Rival{Worker: running, Silent: true}, true)
	r.Confirm(Incarnation{Instance: "running"})
	r.Confirm(Incarnation{Instance: "unknown"})
	expect("confirmed", heartbeatOf("other", 1, false), start, Rival{Worker: running, Confirmed: true}, true)
	mustHeartbeat(t, r, heartbeatOf("running", 2, true), start.Add(time.Second))
	expect("a draining one", heartbeatOf("other", 1, false), start.Add(time.Second), Rival{}, false)
}

func TestProbedWorkerIsConfirmed(t *testing.T) {
	r := NewRegistry(time.Minute)
	if _, err := r.RegisterProbed(heartbeatOf("running", 0, false), start); err != nil {
		t.Fatal(err)
	}
	if rival, _ := r.Rival(heartbeatOf("other", 1, false), start); !rival.Confirmed {
		t.Errorf("%+v", rival)
	}
}

// TestConfirmationIsOfOneIncarnation guards against a worker that is taken for the one that runs, or loses its place,
// by an answer to a request for its previous incarnation.
func TestConfirmationIsOfOneIncarnation(t *testing.T) {
	r := NewRegistry(time.Minute)
	running := heartbeatOf("running", 1, false)
	running.StartedAt = 2
	mustHeartbeat(t, r, running, start)
	former, present := Incarnation{Instance: "running", StartedAt: 1}, Incarnation{Instance: "running", StartedAt: 2}
	for _, step := range []struct {
		name   string
		record func(incarnation Incarnation)
		of     Incarnation
		want   bool
	}{
		{"the former one is confirmed", r.Confirm, former, false},
		{"it is confirmed", r.Confirm, present, true},
		{"the former one is denied", r.Unconfirm, former, true},
		{"an unknown instance is denied", r.Unconfirm, Incarnation{Instance: "unknown"}, true},
		{"it is denied", r.Unconfirm, present, false},
	} {
		step.record(step.of)
		if rival, found := r.Rival(heartbeatOf("other", 1, false), start); !found || rival.Confirmed != step.want {
			t.Errorf("%s: %+v, %t", step.name, rival, found)
		}
	}
}

// TestLeavesOfUnknownInstancesPushNobodyOut guards against a running worker, or a drain commitment, that is forgotten
// for the leaves of instances that another writer has made up.
func TestLeavesOfUnknownInstancesPushNobodyOut(t *testing.T) {
	r := NewRegistry(time.Minute)
	mustHeartbeat(t, r, heartbeatOf("left", 1, false), start)
	mustHeartbeat(t, r, heartbeatOf("left", 2, true), start)
	r.Learn([]Worker{{Instance: "learned", State: StateDraining}}, start)
	mustHeartbeat(t, r, heartbeatOf("running", 1, false), start)
	for n := range 3 * maximumWorkers {
		now := start.Add(time.Duration(n+1) * time.Millisecond)
		mustHeartbeat(t, r, heartbeatOf(fmt.Sprint("drains-", n), 1, true), now)
		if _, err := r.Leave(Incarnation{Instance: fmt.Sprint("leaves-", n)}, now); err != nil {
			t.Fatal(err)
		}
	}
	if worker, ready := r.Ready("ledger"); !ready || worker.Instance != "running" {
		t.Errorf("ready %t: %+v", ready, worker)
	}
	for _, instance := range []string{"left", "learned"} {
		if change := mustHeartbeat(t, r, heartbeatOf(instance, 1, false), start.Add(time.Second)); !change.Worker.State.DrainCommitted() {
			t.Errorf("%s gets work after its leave: %+v", instance, change)
		}
	}
	if held := len(r.Workers()); held > maximumWorkers {
		t.Errorf("%d registrations", held)
	}
}
