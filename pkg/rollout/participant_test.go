package rollout_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/snapshot"
)

func running(t *testing.T, version rollout.Version) *rollout.Participant {
	t.Helper()
	p := rollout.NewParticipant(rollout.ParticipantOptions{Node: "node-1"})
	p.LearnFloor(version)
	p.ObserveHead(committedHead(10, version))
	p.Deliver(snapshotOf(version))
	if inForce(p) != version {
		t.Fatalf("in force: %d, want %d", inForce(p), version)
	}
	return p
}

func TestNothingIsActivatedBeforeTheFloorIsKnown(t *testing.T) {
	p := rollout.NewParticipant(rollout.ParticipantOptions{Node: "node-1"})
	if got := sorted(p.ObserveHead(committedHead(5, 3))); !slices.Equal(got.fetched, []rollout.Version{3}) {
		t.Fatalf("fetched %v", got.fetched)
	}
	if got := sorted(p.Deliver(snapshotOf(3))); got.activated != nil || p.State().Ready {
		t.Fatal("activated without a floor")
	}
	if got := sorted(p.LearnFloor(3)); !slices.Equal(got.activated, []rollout.Version{3}) || !p.State().Ready {
		t.Fatalf("activated %v, state %+v", got.activated, p.State())
	}
}

func TestNothingBelowTheFloorIsActivated(t *testing.T) {
	p := rollout.NewParticipant(rollout.ParticipantOptions{})
	p.LearnFloor(4)
	p.ObserveHead(committedHead(5, 3))
	if got := sorted(p.Deliver(snapshotOf(3))); got.activated != nil {
		t.Fatal("activated below the floor")
	}
	if reason := p.State().Reason; !strings.Contains(reason, "version 4 must be run at least") {
		t.Fatalf("reason %q", reason)
	}
	p.ObserveHead(committedHead(6, 4))
	if got := sorted(p.Deliver(snapshotOf(4))); !slices.Equal(got.activated, []rollout.Version{4}) {
		t.Fatal("not activated at the floor")
	}
}

func TestOlderHeadsAreIgnored(t *testing.T) {
	p := running(t, 3)
	p.ObserveHead(committedHead(12, 5))
	if got := p.ObserveHead(committedHead(11, 4)); got != nil {
		t.Fatalf("actions %v", got)
	}
	if got := sorted(p.Deliver(snapshotOf(4))); got.activated != nil {
		t.Fatal("activated a version that an older head had committed")
	}
}

func TestRegressedStoreRaisesAnAlarm(t *testing.T) {
	heads := map[string]rollout.Head{
		"committed":    committedHead(20, 4),
		"highest used": {Generation: 20, Committed: 5, HighestUsed: 5, ApplyID: applyOf(5)},
		"same generation": {
			Generation: 12, Committed: 5, Proposed: 7, HighestUsed: 7, ApplyID: "other",
		},
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			p := running(t, 5)
			p.ObserveHead(abortedHead(12, 5, 6))
			if got := sorted(p.ObserveHead(head)); got.alarms != 1 || got.activated != nil {
				t.Fatalf("actions %+v", got)
			}
			if inForce(p) != 5 || !p.State().Ready || len(p.State().Alarms) != 1 {
				t.Fatalf("state %+v", p.State())
			}
			if got := sorted(p.ObserveHead(head)); got.alarms != 0 {
				t.Fatal("alarm raised twice")
			}
		})
	}
}

func TestAbortedVersionIsDropped(t *testing.T) {
	p := running(t, 3)
	p.ObserveHead(proposedHead(11, 3, 4))
	p.Deliver(snapshotOf(4))
	if staged := p.State().Staged; staged == nil || staged.Version() != 4 {
		t.Fatal("not staged")
	}
	p.ObserveHead(abortedHead(12, 3, 4))
	if p.State().Staged != nil || inForce(p) != 3 {
		t.Fatal("still staged")
	}
}

func TestStagedVersionOfAnotherApplyIsFetchedAgain(t *testing.T) {
	p := running(t, 3)
	p.ObserveHead(proposedHead(11, 3, 4))
	p.Deliver(snapshotOf(4))
	other := committedHead(13, 4)
	other.ApplyID = "after-restore"
	got := sorted(p.ObserveHead(other))
	if got.activated != nil || !slices.Equal(got.fetched, []rollout.Version{4}) {
		t.Fatalf("actions %+v", got)
	}
}

func TestRefusedVersionIsNeverRun(t *testing.T) {
	refuse := func(s *snapshot.Snapshot) error {
		if s.Version() == 4 {
			return errTooLarge
		}
		return nil
	}
	p := rollout.NewParticipant(rollout.ParticipantOptions{Node: "node-1", Validate: refuse})
	p.LearnFloor(3)
	p.ObserveHead(committedHead(10, 3))
	p.Deliver(snapshotOf(3))
	p.ObserveHead(proposedHead(11, 3, 4))
	p.Deliver(snapshotOf(4))
	refused := p.State().Readiness("node-1", 1).Refused
	if len(refused) != 1 || refused[0] != (rollout.NodeReason{Node: "node-1", Reason: errTooLarge.Error()}) {
		t.Fatalf("refused %v", refused)
	}
	p.ObserveHead(committedHead(12, 4))
	state := p.State()
	if state.Ready || !strings.Contains(state.Reason, errTooLarge.Error()) || inForce(p) != 3 {
		t.Fatalf("state %+v", state)
	}
	p.ObserveHead(committedHead(14, 5))
	p.Deliver(snapshotOf(5))
	if !p.State().Ready || p.State().Refusal != nil {
		t.Fatal("not ready after a version that it can run")
	}
}

func TestEmptySystemIsNotReady(t *testing.T) {
	p := rollout.NewParticipant(rollout.ParticipantOptions{})
	p.LearnFloor(0)
	p.ObserveHead(rollout.Head{})
	if state := p.State(); state.Ready || state.Reason != "no configuration has been committed" {
		t.Fatalf("state %+v", state)
	}
}

func TestFailedFetchIsAskedForAgain(t *testing.T) {
	p := running(t, 3)
	head := proposedHead(11, 3, 4)
	p.ObserveHead(head)
	if got := sorted(p.ObserveHead(head)); got.fetched != nil {
		t.Fatal("requested again while the fetch is pending")
	}
	p.FetchFailed(4)
	if got := sorted(p.ObserveHead(head)); !slices.Equal(got.fetched, []rollout.Version{4}) {
		t.Fatal("not requested again after the fetch failed")
	}
}
