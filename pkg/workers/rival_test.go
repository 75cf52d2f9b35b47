package workers

import (
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
	r.Confirm("running")
	r.Confirm("unknown")
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
