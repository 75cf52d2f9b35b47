package workers

import (
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func beat(instance string, sequence uint64, draining bool) Heartbeat {
	return Heartbeat{Instance: instance, Service: "ledger", Address: "127.0.0.1:1", Slots: 6, Sequence: sequence, Draining: draining}
}

func mustBeat(t *testing.T, r *Registry, b Heartbeat, now time.Time) Change {
	t.Helper()
	change, err := r.Heartbeat(b, now)
	if err != nil {
		t.Fatal(err)
	}
	return change
}

func TestLateHeartbeatNeverUndoesADrain(t *testing.T) {
	r := NewRegistry(time.Minute)
	mustBeat(t, r, beat("i1", 3, false), start)
	if change := mustBeat(t, r, beat("i1", 5, true), start); !change.Changed {
		t.Fatal("the drain was not a change")
	}
	for _, late := range []uint64{4, 6} {
		mustBeat(t, r, beat("i1", late, false), start)
		if _, ok := r.Ready("ledger"); ok {
			t.Fatalf("heartbeat %d brought the worker back", late)
		}
	}
}

func TestSignOffOfAnUnknownWorkerBinds(t *testing.T) {
	r := NewRegistry(time.Minute)
	if _, err := r.Leave(Incarnation{Instance: "i1"}, start); err != nil {
		t.Fatal(err)
	}
	mustBeat(t, r, beat("i1", 9, false), start)
	if _, ok := r.Ready(""); ok {
		t.Fatal("a late heartbeat brought in a worker that had signed off")
	}
}

// bornBeat is a heartbeat of a life that tells when it began.
func bornBeat(instance string, born int64, sequence uint64, draining bool) Heartbeat {
	b := beat(instance, sequence, draining)
	b.StartedAt = born
	return b
}

// TestWorkerStartsAgainUnderItsInstance has a worker leave, end, and start again under the
// instance that it had, with its sequence anew.
func TestWorkerStartsAgainUnderItsInstance(t *testing.T) {
	for name, end := range map[string]func(r *Registry) error{
		"drained":    func(r *Registry) error { _, err := r.Heartbeat(bornBeat("i1", 100, 90, true), start); return err },
		"signed off": func(r *Registry) error { _, err := r.Leave(Incarnation{Instance: "i1"}, start); return err },
		"signed off with its birth": func(r *Registry) error {
			_, err := r.Leave(Incarnation{Instance: "i1", StartedAt: 100}, start)
			return err
		},
		"crashed": func(*Registry) error { return nil },
	} {
		r := NewRegistry(time.Minute)
		mustBeat(t, r, bornBeat("i1", 100, 50, false), start)
		if err := end(r); err != nil {
			t.Fatal(err)
		}
		change := mustBeat(t, r, bornBeat("i1", 200, 1, false), start)
		worker, ready := r.Ready("ledger")
		if !change.Changed || !ready || worker.StartedAt != 200 || worker.Sequence != 1 {
			t.Errorf("%s: %+v, ready %t", name, change, ready)
		}
	}
}

// TestLateHeartbeatOfAFormerLifeIsNoNews sends what the former life has said, after the next
// one has been heard from.
func TestLateHeartbeatOfAFormerLifeIsNoNews(t *testing.T) {
	r := NewRegistry(time.Minute)
	mustBeat(t, r, bornBeat("i1", 100, 5, false), start)
	mustBeat(t, r, bornBeat("i1", 200, 1, false), start)
	for _, late := range []Heartbeat{bornBeat("i1", 100, 6, true), bornBeat("i1", 100, 99, false)} {
		if change := mustBeat(t, r, late, start); change.Changed {
			t.Errorf("%+v changed something", late)
		}
	}
	if change, err := r.Leave(Incarnation{Instance: "i1", StartedAt: 100}, start); err != nil || change.Changed {
		t.Errorf("a sign-off of the former life: %+v, %v", change, err)
	}
	if changed := r.Learn([]Worker{{Instance: "i1", StartedAt: 100, State: StateGone}}, start); len(changed) != 0 {
		t.Errorf("a promise of the former life changed %+v", changed)
	}
	if _, err := r.Heartbeat(beat("i1", 7, true), start); !errorx.IsOfType(err, ErrInvalid) {
		t.Errorf("a heartbeat without a birth: %v", err)
	}
	if worker, ready := r.Ready("ledger"); !ready || worker.StartedAt != 200 || worker.Sequence != 1 {
		t.Errorf("%+v, ready %t", worker, ready)
	}
}

// TestWorkerWhoseClockWasSetBackIsFound starts a worker again under its instance after the clock
// of its machine was set back: by its birth it is the earlier life.
func TestWorkerWhoseClockWasSetBackIsFound(t *testing.T) {
	const silence = 6 * time.Second
	r := NewRegistry(silence)
	mustBeat(t, r, bornBeat("i1", 200, 50, false), start)
	for n := range 20 {
		now := start.Add(time.Duration(n+1) * time.Second)
		mustBeat(t, r, bornBeat("i1", 100, uint64(n+1), false), now)
		r.Expire(now)
	}
	if worker, ready := r.Ready("ledger"); !ready || worker.StartedAt != 100 || worker.Sequence != 20 {
		t.Errorf("%+v, ready %t", worker, ready)
	}
}

// TestLateHeartbeatsDoNotReplaceASilentLife has all heartbeats of a former life that were held up
// come together, after the next life has fallen silent.
func TestLateHeartbeatsDoNotReplaceASilentLife(t *testing.T) {
	const silence = 6 * time.Second
	r := NewRegistry(silence)
	mustBeat(t, r, bornBeat("i1", 200, 1, false), start)
	for n := range 8 {
		mustBeat(t, r, bornBeat("i1", 100, uint64(40+n), false), start.Add(time.Minute+time.Duration(n)*100*time.Millisecond))
	}
	if worker, _ := r.Ready("ledger"); worker.StartedAt == 100 {
		t.Errorf("%+v", worker)
	}
}

// TestLivesHaveNamesOfTheirOwn names lives of one instance: what counts crashes by these names
// must not take two lives for one.
func TestLivesHaveNamesOfTheirOwn(t *testing.T) {
	names := map[string]bool{}
	for born := range int64(4) {
		names[Incarnation{Instance: "i1", StartedAt: born}.String()] = true
	}
	if len(names) != 4 {
		t.Errorf("%v", names)
	}
}

// TestBirthThatBecomesKnownIsNoNewLife introduces a worker that tells its birth later.
func TestBirthThatBecomesKnownIsNoNewLife(t *testing.T) {
	r := NewRegistry(time.Minute)
	if _, err := r.RegisterProbed(beat("i1", 0, false), start); err != nil {
		t.Fatal(err)
	}
	change := mustBeat(t, r, bornBeat("i1", 100, 7, false), start)
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

func TestRestartedNodeLearnsPromises(t *testing.T) {
	former := NewRegistry(time.Minute)
	mustBeat(t, former, beat("i1", 3, true), start)
	restarted := NewRegistry(time.Minute)
	mustBeat(t, restarted, beat("i1", 2, false), start)
	if changed := restarted.Learn(former.Workers(), start); len(changed) != 1 {
		t.Fatalf("changed %v", changed)
	}
	if _, ok := restarted.Ready("ledger"); ok {
		t.Fatal("the promise of the former life is not kept")
	}
}

func TestSilentWorkerComesBackWithItsNextHeartbeat(t *testing.T) {
	r := NewRegistry(5 * time.Second)
	mustBeat(t, r, beat("i1", 1, false), start)
	if changed := r.Expire(start.Add(6 * time.Second)); len(changed) != 1 || changed[0].State != StateUnresponsive {
		t.Fatalf("changed %v", changed)
	}
	mustBeat(t, r, beat("i1", 2, false), start.Add(7*time.Second))
	if _, ok := r.Ready("ledger"); !ok {
		t.Fatal("not back")
	}
}

func TestNewestInstanceTakesTheRequests(t *testing.T) {
	r := NewRegistry(time.Minute)
	mustBeat(t, r, beat("old", 1, false), start)
	other := beat("new", 1, false)
	other.Service = "archive"
	mustBeat(t, r, other, start.Add(time.Second))
	if worker, _ := r.Ready(""); worker.Instance != "new" || r.Service() != "archive" {
		t.Fatalf("worker %v, service %v", worker, r.Service())
	}
}

func TestInvalidHeartbeatIsRefused(t *testing.T) {
	r := NewRegistry(time.Minute)
	for _, bad := range []Heartbeat{{}, {Instance: "i", Service: "s", Address: "a"}, {Instance: "i", Service: "s", Slots: 1}} {
		if _, err := r.Heartbeat(bad, start); !errorx.IsOfType(err, ErrInvalid) {
			t.Errorf("%+v: %v", bad, err)
		}
	}
	if len(r.Workers()) != 0 {
		t.Fatal("something was registered")
	}
}

// TestPromisesAreFinal lets heartbeats come in any order and checks that a
// worker that was seen to drain or to sign off never gets work again.
func TestPromisesAreFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRegistry(3 * time.Second)
		now, promised := start, map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			instance := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "instance")
			sequence := rapid.Uint64Range(1, 20).Draw(t, "sequence")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				_, _ = r.Heartbeat(beat(instance, sequence, false), now)
			case 1:
				if change, _ := r.Heartbeat(beat(instance, sequence, true), now); change.Worker.State.DrainCommitted() {
					promised[instance] = true
				}
			case 2:
				_, _ = r.Leave(Incarnation{Instance: instance}, now)
				promised[instance] = true
			case 3:
				r.Expire(now)
			}
			if worker, ok := r.Ready(""); ok && promised[worker.Instance] {
				t.Fatalf("%s gets work after the promise", worker.Instance)
			}
		}
	})
}

func TestIntroducedWorkerGivesWayToWhatIsKnown(t *testing.T) {
	now := time.Now()
	r := NewRegistry(time.Minute)
	asked := Heartbeat{Instance: "w1", Service: "ledger", Address: "10.0.0.1:80", Slots: 4}
	change, err := r.RegisterProbed(asked, now)
	if err != nil || !change.Changed || change.Worker.State != StateReady {
		t.Fatalf("%+v, %v", change, err)
	}
	beat := asked
	beat.Sequence, beat.Draining = 7, true
	if change, err = r.Heartbeat(beat, now); err != nil || !change.Changed || change.Worker.State != StateDraining {
		t.Fatalf("%+v, %v", change, err)
	}
	if change, err = r.RegisterProbed(asked, now); err != nil || change.Changed {
		t.Fatalf("an answer undoes a promise: %+v, %v", change, err)
	}
	other := asked
	other.Instance, other.Sequence = "w2", 1
	if _, err = r.Heartbeat(other, now); err != nil {
		t.Fatal(err)
	}
	late := asked
	late.Instance = "w3"
	if change, err = r.RegisterProbed(late, now); err != nil || change.Changed {
		t.Fatalf("an answer goes before a heartbeat: %+v, %v", change, err)
	}
	if _, err = r.RegisterProbed(Heartbeat{Instance: "w4"}, now); err == nil {
		t.Fatal("a worker without an address was taken")
	}
}

// TestOneWorkerIsReadyAtAnAddress lets a worker crash and come back as another instance
// at its address, and a late heartbeat of the former one arrive.
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
	mustBeat(t, r, beat("a-former", 3, false), start)
	if change := mustBeat(t, r, beat("b-next", 1, false), start.Add(time.Second)); !change.Changed {
		t.Error("others are not told of the next instance")
	}
	expect("b-next", start.Add(time.Second))
	if change := mustBeat(t, r, beat("a-former", 4, false), start.Add(2*time.Second)); !change.Changed {
		t.Error("others are not told of a change")
	}
	expect("a-former", start.Add(2*time.Second))
	if change := mustBeat(t, r, beat("b-next", 2, false), start.Add(3*time.Second)); !change.Changed {
		t.Error("others are not told that the living instance is back")
	}
	expect("b-next", start.Add(3*time.Second))
}
