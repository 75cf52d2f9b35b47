package workers

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func heartbeatOf(instance string, sequence uint64, draining bool) Heartbeat {
	return Heartbeat{Instance: instance, Service: "ledger", Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 6, Sequence: sequence, Draining: draining}
}

func mustHeartbeat(t *testing.T, r *Registry, b Heartbeat, now time.Time) Change {
	t.Helper()
	change, err := r.Heartbeat(b, now)
	if err != nil {
		t.Fatal(err)
	}
	return change
}

func TestWorkerThatLeavesByItsAnswersIsNotReadyAgain(t *testing.T) {
	registry, now := NewRegistry(time.Minute), time.Now()
	heartbeat := Heartbeat{Instance: "i1", StartedAt: 7, Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 1, Sequence: 1}
	if change := registry.Drain(Incarnation{Instance: "i1"}, now); change.Changed {
		t.Errorf("an unknown worker drains: %+v", change)
	}
	if _, err := registry.Heartbeat(heartbeat, now); err != nil {
		t.Fatal(err)
	}
	if change := registry.Drain(Incarnation{Instance: "i1", StartedAt: 3}, now); change.Changed {
		t.Errorf("another incarnation drains: %+v", change)
	}
	if change := registry.Drain(Incarnation{Instance: "i1", StartedAt: 7}, now); !change.Changed || change.Worker.State != StateDraining {
		t.Errorf("%+v", change)
	}
	heartbeat.Sequence++
	if _, err := registry.Heartbeat(heartbeat, now); err != nil {
		t.Fatal(err)
	}
	if _, ready := registry.Ready("s"); ready {
		t.Error("a later heartbeat undoes the drain")
	}
	heartbeat.StartedAt, heartbeat.Sequence = 9, 1
	if _, err := registry.Heartbeat(heartbeat, now); err != nil {
		t.Fatal(err)
	}
	if _, ready := registry.Ready("s"); !ready {
		t.Error("the next incarnation is taken for one that leaves")
	}
}

func TestLateHeartbeatNeverUndoesADrain(t *testing.T) {
	r := NewRegistry(time.Minute)
	mustHeartbeat(t, r, heartbeatOf("i1", 3, false), start)
	if change := mustHeartbeat(t, r, heartbeatOf("i1", 5, true), start); !change.Changed {
		t.Fatal("the drain was not a change")
	}
	for _, late := range []uint64{4, 6} {
		mustHeartbeat(t, r, heartbeatOf("i1", late, false), start)
		if _, ok := r.Ready("ledger"); ok {
			t.Fatalf("heartbeat %d made the drained worker ready", late)
		}
	}
}

func TestSignOffOfAnUnknownWorkerIsFinal(t *testing.T) {
	r := NewRegistry(time.Minute)
	if _, err := r.Leave(Incarnation{Instance: "i1"}, start); err != nil {
		t.Fatal(err)
	}
	mustHeartbeat(t, r, heartbeatOf("i1", 9, false), start)
	if _, ok := r.Ready(""); ok {
		t.Fatal("a late heartbeat registered a worker that had signed off")
	}
}

// heartbeatOfIncarnation returns a heartbeat with the start time of its incarnation.
func heartbeatOfIncarnation(instance string, startedAt int64, sequence uint64, draining bool) Heartbeat {
	b := heartbeatOf(instance, sequence, draining)
	b.StartedAt = startedAt
	return b
}

// TestWorkerStartsAgainUnderItsInstance checks that a worker that drained, signed off or
// crashed is ready again after a restart under the same instance, with a new sequence.
func TestWorkerStartsAgainUnderItsInstance(t *testing.T) {
	for name, end := range map[string]func(r *Registry) error{
		"drained": func(r *Registry) error {
			_, err := r.Heartbeat(heartbeatOfIncarnation("i1", 100, 90, true), start)
			return err
		},
		"signed off": func(r *Registry) error { _, err := r.Leave(Incarnation{Instance: "i1"}, start); return err },
		"signed off with its start time": func(r *Registry) error {
			_, err := r.Leave(Incarnation{Instance: "i1", StartedAt: 100}, start)
			return err
		},
		"crashed": func(*Registry) error { return nil },
	} {
		r := NewRegistry(time.Minute)
		mustHeartbeat(t, r, heartbeatOfIncarnation("i1", 100, 50, false), start)
		if err := end(r); err != nil {
			t.Fatal(err)
		}
		change := mustHeartbeat(t, r, heartbeatOfIncarnation("i1", 200, 1, false), start)
		worker, ready := r.Ready("ledger")
		if !change.Changed || !ready || worker.StartedAt != 200 || worker.Sequence != 1 {
			t.Errorf("%s: %+v, ready %t", name, change, ready)
		}
	}
}

// TestLateHeartbeatOfAPreviousIncarnationIsIgnored delivers messages of the previous
// incarnation after the first heartbeat of the next one.
func TestLateHeartbeatOfAPreviousIncarnationIsIgnored(t *testing.T) {
	r := NewRegistry(time.Minute)
	mustHeartbeat(t, r, heartbeatOfIncarnation("i1", 100, 5, false), start)
	mustHeartbeat(t, r, heartbeatOfIncarnation("i1", 200, 1, false), start)
	for _, late := range []Heartbeat{heartbeatOfIncarnation("i1", 100, 6, true), heartbeatOfIncarnation("i1", 100, 99, false)} {
		if change := mustHeartbeat(t, r, late, start); change.Changed {
			t.Errorf("%+v changed something", late)
		}
	}
	if change, err := r.Leave(Incarnation{Instance: "i1", StartedAt: 100}, start); err != nil || change.Changed {
		t.Errorf("a sign-off of the previous incarnation: %+v, %v", change, err)
	}
	if changed := r.Learn([]Worker{{Instance: "i1", StartedAt: 100, State: StateGone}}, start); len(changed) != 0 {
		t.Errorf("a drain commitment to the previous incarnation changed %+v", changed)
	}
	if _, err := r.Heartbeat(heartbeatOf("i1", 7, true), start); !errorx.IsOfType(err, ErrInvalid) {
		t.Errorf("a heartbeat without a start time: %v", err)
	}
	if worker, ready := r.Ready("ledger"); !ready || worker.StartedAt != 200 || worker.Sequence != 1 {
		t.Errorf("%+v, ready %t", worker, ready)
	}
}

// TestWorkerWhoseClockWasSetBackIsFound restarts a worker under its instance after the clock
// of its machine was set back: by its start time it is the earlier incarnation.
func TestWorkerWhoseClockWasSetBackIsFound(t *testing.T) {
	const silence = 6 * time.Second
	r := NewRegistry(silence)
	mustHeartbeat(t, r, heartbeatOfIncarnation("i1", 200, 50, false), start)
	for n := range 20 {
		now := start.Add(time.Duration(n+1) * time.Second)
		mustHeartbeat(t, r, heartbeatOfIncarnation("i1", 100, uint64(n+1), false), now)
		r.Expire(now)
	}
	if worker, ready := r.Ready("ledger"); !ready || worker.StartedAt != 100 || worker.Sequence != 20 {
		t.Errorf("%+v, ready %t", worker, ready)
	}
}

// TestLateHeartbeatsDoNotReplaceAnUnresponsiveIncarnation delivers all delayed heartbeats of a
// previous incarnation together, after the next one has become unresponsive.
func TestLateHeartbeatsDoNotReplaceAnUnresponsiveIncarnation(t *testing.T) {
	const silence = 6 * time.Second
	r := NewRegistry(silence)
	mustHeartbeat(t, r, heartbeatOfIncarnation("i1", 200, 1, false), start)
	for n := range 8 {
		mustHeartbeat(t, r, heartbeatOfIncarnation("i1", 100, uint64(40+n), false), start.Add(time.Minute+time.Duration(n)*100*time.Millisecond))
	}
	if worker, _ := r.Ready("ledger"); worker.StartedAt == 100 {
		t.Errorf("%+v", worker)
	}
}

// TestIncarnationsHaveDistinctNames guards the counting of crashes, which goes by these names:
// it must not take two incarnations of an instance for one.
func TestIncarnationsHaveDistinctNames(t *testing.T) {
	names := map[string]bool{}
	for startedAt := range int64(4) {
		names[Incarnation{Instance: "i1", StartedAt: startedAt}.String()] = true
	}
	if len(names) != 4 {
		t.Errorf("%v", names)
	}
}

// TestStartTimeThatBecomesKnownIsNoNewIncarnation registers a worker by a query; its start time
// arrives later, with a heartbeat.
func TestStartTimeThatBecomesKnownIsNoNewIncarnation(t *testing.T) {
	r := NewRegistry(time.Minute)
	if _, err := r.RegisterProbed(heartbeatOf("i1", 0, false), start); err != nil {
		t.Fatal(err)
	}
	change := mustHeartbeat(t, r, heartbeatOfIncarnation("i1", 100, 7, false), start)
	if !change.Changed || change.Worker.StartedAt != 100 || len(r.Workers()) != 1 {
		t.Errorf("%+v", change)
	}
	if _, err := r.Leave(Incarnation{Instance: "i1", StartedAt: 100}, start); err != nil {
		t.Fatal(err)
	}
	if _, ready := r.Ready(""); ready {
		t.Error("a worker that has signed off is ready")
	}
}

func TestRestartedNodeLearnsDrainCommitments(t *testing.T) {
	previous := NewRegistry(time.Minute)
	mustHeartbeat(t, previous, heartbeatOf("i1", 3, true), start)
	restarted := NewRegistry(time.Minute)
	mustHeartbeat(t, restarted, heartbeatOf("i1", 2, false), start)
	if changed := restarted.Learn(previous.Workers(), start); len(changed) != 1 {
		t.Fatalf("changed %v", changed)
	}
	if _, ok := restarted.Ready("ledger"); ok {
		t.Fatal("the drain commitment of the previous incarnation is not kept")
	}
}

func TestUnresponsiveWorkerIsReadyAfterItsNextHeartbeat(t *testing.T) {
	r := NewRegistry(5 * time.Second)
	mustHeartbeat(t, r, heartbeatOf("i1", 1, false), start)
	if changed := r.Expire(start.Add(6 * time.Second)); len(changed) != 1 || changed[0].State != StateUnresponsive {
		t.Fatalf("changed %v", changed)
	}
	mustHeartbeat(t, r, heartbeatOf("i1", 2, false), start.Add(7*time.Second))
	if _, ok := r.Ready("ledger"); !ok {
		t.Fatal("the worker is not ready after its next heartbeat")
	}
}

func TestNewestInstanceTakesTheRequests(t *testing.T) {
	r := NewRegistry(time.Minute)
	mustHeartbeat(t, r, heartbeatOf("old", 1, false), start)
	newest := heartbeatOf("new", 1, false)
	newest.Service = "archive"
	mustHeartbeat(t, r, newest, start.Add(time.Second))
	if worker, _ := r.Ready(""); worker.Instance != "new" || r.Service() != "archive" {
		t.Fatalf("worker %v, service %v", worker, r.Service())
	}
}

// TestTextThatIsNotUTF8IsRefused guards against a registration that no message to another node can carry.
func TestTextThatIsNotUTF8IsRefused(t *testing.T) {
	r := NewRegistry(time.Minute)
	for field, change := range map[string]func(h *Heartbeat){
		"instance": func(h *Heartbeat) { h.Instance = "i\xff" },
		"service":  func(h *Heartbeat) { h.Service = "s\xff" },
		"address":  func(h *Heartbeat) { h.Address = netip.AddrPort{} },
		"version":  func(h *Heartbeat) { h.Version = "v\xff" },
	} {
		bad := heartbeatOf("i", 1, false)
		change(&bad)
		if _, err := r.Heartbeat(bad, start); !errorx.IsOfType(err, ErrInvalid) {
			t.Errorf("%s of a heartbeat: %v", field, err)
		}
		if _, err := r.RegisterProbed(bad, start); !errorx.IsOfType(err, ErrInvalid) {
			t.Errorf("%s of a probe: %v", field, err)
		}
	}
	if _, err := r.Leave(Incarnation{Instance: "i\xff"}, start); !errorx.IsOfType(err, ErrInvalid) {
		t.Errorf("leave: %v", err)
	}
	if registered := r.Workers(); len(registered) != 0 {
		t.Errorf("registered: %+v", registered)
	}
}

// TestWorkerIsFollowedAfterASequenceOfAnotherWriter guards against a worker that is not heard any more,
// since a heartbeat of another writer has counted to the end.
func TestWorkerIsFollowedAfterASequenceOfAnotherWriter(t *testing.T) {
	const timeout = 6 * time.Second
	for _, startedAt := range []int64{0, 7} {
		r := NewRegistry(timeout)
		beat := func(sequence uint64, slots int, at time.Duration) {
			h := heartbeatOf("i", sequence, false)
			h.StartedAt, h.Slots = startedAt, slots
			mustHeartbeat(t, r, h, start.Add(at))
		}
		beat(1, 6, 0)
		beat(math.MaxUint64, 1, time.Second)
		for n := range 10 {
			at := time.Duration(n+2) * time.Second
			beat(uint64(n+2), 6, at)
			r.Expire(start.Add(at))
			if worker, ready := r.Ready(""); !ready {
				t.Fatalf("started at %d: not ready after %v: %+v", startedAt, at, worker)
			}
		}
		if worker, _ := r.Ready(""); worker.Slots != 6 || worker.Sequence != 11 {
			t.Errorf("started at %d: %+v", startedAt, worker)
		}
	}
}

// TestWorkerIsFollowedHoweverFarAnotherWriterHasCounted guards against the same where the other writer's
// sequence is the first that a node hears, or one beyond what heartbeats can be missed.
func TestWorkerIsFollowedHoweverFarAnotherWriterHasCounted(t *testing.T) {
	for _, first := range [][]uint64{{math.MaxUint64}, {1 << 40}, {1, maximumMissed + 2}, {1, 1 << 40, 1<<40 + 1}} {
		r := NewRegistry(6 * time.Second)
		at := start
		beat := func(sequence uint64) {
			at = at.Add(time.Second)
			mustHeartbeat(t, r, heartbeatOf("i", sequence, false), at)
			r.Expire(at)
		}
		for _, sequence := range first {
			beat(sequence)
		}
		for sequence := uint64(2); sequence < 12; sequence++ {
			beat(sequence)
		}
		if worker, ready := r.Ready(""); !ready || worker.Sequence != 11 {
			t.Errorf("after %d: ready %v: %+v", first, ready, worker)
		}
	}
}

// TestLateHeartbeatsHaveNoEffectAfterARestartOfTheNode guards against late heartbeats that count as those of
// the running worker, since its node has heard no earlier ones.
func TestLateHeartbeatsHaveNoEffectAfterARestartOfTheNode(t *testing.T) {
	r := NewRegistry(6 * time.Second)
	mustHeartbeat(t, r, heartbeatOf("i", 20_000, false), start)
	mustHeartbeat(t, r, heartbeatOf("i", 19_990, false), start.Add(time.Second))
	mustHeartbeat(t, r, heartbeatOf("i", 19_992, false), start.Add(5*time.Second))
	if worker, _ := r.Ready(""); worker.Sequence != 20_000 {
		t.Errorf("%+v", worker)
	}
}

// TestLateHeartbeatsDoNotSilenceTheRunningWorker guards against a worker without a start time whose own
// heartbeats have no effect after late ones were heard alone.
func TestLateHeartbeatsDoNotSilenceTheRunningWorker(t *testing.T) {
	r := NewRegistry(6 * time.Second)
	beat := func(sequence uint64, draining bool, at time.Duration) {
		mustHeartbeat(t, r, heartbeatOf("i", sequence, draining), start.Add(at))
	}
	for sequence := uint64(1); sequence <= 20; sequence++ {
		beat(sequence, false, time.Duration(sequence)*1500*time.Millisecond)
	}
	beat(10, false, 30_500*time.Millisecond)
	beat(12, false, 33_600*time.Millisecond)
	beat(23, false, 34_500*time.Millisecond)
	if worker, ready := r.Ready(""); !ready || worker.Sequence != 23 {
		t.Errorf("ready %v: %+v", ready, worker)
	}
	beat(24, true, 36*time.Second)
	if worker, ready := r.Ready(""); ready {
		t.Errorf("it has said that it drains, and is ready: %+v", worker)
	}
}

// TestLateHeartbeatsOfAnEndedWorkerTakeNothingOver guards against calls that are sent to a worker which
// has ended, since two of its heartbeats were late.
func TestLateHeartbeatsOfAnEndedWorkerTakeNothingOver(t *testing.T) {
	r := NewRegistry(6 * time.Second)
	beat := func(instance string, sequence uint64, at time.Duration) {
		mustHeartbeat(t, r, heartbeatOf(instance, sequence, false), start.Add(at))
	}
	for sequence := uint64(1); sequence <= 20; sequence++ {
		beat("old", sequence, time.Duration(sequence)*1500*time.Millisecond)
	}
	beat("new", 1, 31*time.Second)
	beat("old", 10, 31_500*time.Millisecond)
	beat("new", 2, 32_500*time.Millisecond)
	beat("new", 3, 34*time.Second)
	beat("old", 12, 34_600*time.Millisecond)
	if worker, ready := r.Ready(""); !ready || worker.Instance != "new" {
		t.Errorf("ready %v: %+v", ready, worker)
	}
}

func TestInvalidHeartbeatIsRefused(t *testing.T) {
	r := NewRegistry(time.Minute)
	for _, bad := range []Heartbeat{{}, {Instance: "i", Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:1")}, {Instance: "i", Service: "s", Slots: 1}} {
		if _, err := r.Heartbeat(bad, start); !errorx.IsOfType(err, ErrInvalid) {
			t.Errorf("%+v: %v", bad, err)
		}
	}
	if len(r.Workers()) != 0 {
		t.Fatal("something was registered")
	}
}

// TestDrainCommitmentsAreFinal delivers heartbeats in any order and checks that a
// worker that was seen to drain or to sign off never gets work again.
func TestDrainCommitmentsAreFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRegistry(3 * time.Second)
		now, committed := start, map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			instance := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "instance")
			sequence := rapid.Uint64Range(1, 20).Draw(t, "sequence")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				_, _ = r.Heartbeat(heartbeatOf(instance, sequence, false), now)
			case 1:
				if change, _ := r.Heartbeat(heartbeatOf(instance, sequence, true), now); change.Worker.State.DrainCommitted() {
					committed[instance] = true
				}
			case 2:
				_, _ = r.Leave(Incarnation{Instance: instance}, now)
				committed[instance] = true
			case 3:
				r.Expire(now)
			}
			if worker, ok := r.Ready(""); ok && committed[worker.Instance] {
				t.Fatalf("%s gets work after the drain commitment", worker.Instance)
			}
		}
	})
}

func TestProbedWorkerYieldsToRegistrations(t *testing.T) {
	now := time.Now()
	r := NewRegistry(time.Minute)
	probed := Heartbeat{Instance: "w1", Service: "ledger", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 4}
	change, err := r.RegisterProbed(probed, now)
	if err != nil || !change.Changed || change.Worker.State != StateReady {
		t.Fatalf("%+v, %v", change, err)
	}
	heartbeat := probed
	heartbeat.Sequence, heartbeat.Draining = 7, true
	if change, err = r.Heartbeat(heartbeat, now); err != nil || !change.Changed || change.Worker.State != StateDraining {
		t.Fatalf("%+v, %v", change, err)
	}
	if change, err = r.RegisterProbed(probed, now); err != nil || change.Changed {
		t.Fatalf("an answer to a query undoes a drain commitment: %+v, %v", change, err)
	}
	other := probed
	other.Instance, other.Sequence = "w2", 1
	if _, err = r.Heartbeat(other, now); err != nil {
		t.Fatal(err)
	}
	late := probed
	late.Instance = "w3"
	if change, err = r.RegisterProbed(late, now); err != nil || change.Changed {
		t.Fatalf("an answer to a query takes precedence over a heartbeat: %+v, %v", change, err)
	}
	if _, err = r.RegisterProbed(Heartbeat{Instance: "w4"}, now); err == nil {
		t.Fatal("a worker without an address was registered")
	}
}

// TestOneWorkerIsReadyAtAnAddress has a worker crash and restart as another instance at
// its address, and then delivers a late heartbeat of the crashed one.
func TestOneWorkerIsReadyAtAnAddress(t *testing.T) {
	r := NewRegistry(time.Minute)
	expect := func(instance string, at time.Time) {
		t.Helper()
		var ready []string
		for _, worker := range r.Workers() {
			if worker.State == StateReady {
				ready = append(ready, worker.Instance)
			}
		}
		if len(ready) != 1 || ready[0] != instance {
			t.Fatalf("after %v ready: %v, want %s", at.Sub(start), ready, instance)
		}
	}
	mustHeartbeat(t, r, heartbeatOf("a-former", 3, false), start)
	if change := mustHeartbeat(t, r, heartbeatOf("b-next", 1, false), start.Add(time.Second)); !change.Changed {
		t.Error("other nodes are not notified of the next instance")
	}
	expect("b-next", start.Add(time.Second))
	if change := mustHeartbeat(t, r, heartbeatOf("a-former", 4, false), start.Add(2*time.Second)); !change.Changed {
		t.Error("other nodes are not notified of a change")
	}
	expect("a-former", start.Add(2*time.Second))
	if change := mustHeartbeat(t, r, heartbeatOf("b-next", 2, false), start.Add(3*time.Second)); !change.Changed {
		t.Error("other nodes are not notified that the running instance is ready again")
	}
	expect("b-next", start.Add(3*time.Second))
}

// TestServiceIsThatOfTheRunningWorker guards against a service that a late heartbeat decides for as
// long as its worker is remembered.
func TestServiceIsThatOfTheRunningWorker(t *testing.T) {
	r := NewRegistry(6 * time.Second)
	running := Heartbeat{Instance: "running", Service: "intake", Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 6, Sequence: 1}
	late := Heartbeat{Instance: "former", Service: "books", Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 6, Sequence: 40}
	mustHeartbeat(t, r, running, start)
	mustHeartbeat(t, r, late, start.Add(time.Second))
	running.Sequence++
	mustHeartbeat(t, r, running, start.Add(2*time.Second))
	if service := r.Service(); service != "intake" {
		t.Errorf("service %q after the next heartbeat", service)
	}
	r.Expire(start.Add(20 * time.Second))
	if service := r.Service(); service != "intake" {
		t.Errorf("service %q while no worker is heard", service)
	}
}
