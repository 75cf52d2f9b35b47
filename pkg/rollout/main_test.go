package rollout_test

import (
	"errors"
	"flag"
	"os"
	"testing"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/snapshot"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// errTooLarge is the error with which the validators of these tests refuse a snapshot.
var errTooLarge = errors.New("too many routes")

func snapshotOf(version uint64) *snapshot.Snapshot {
	service := model.Resource{
		Key:     model.Key{Kind: model.KindService, Name: "ledger"},
		Service: &model.Service{Slots: int(version)},
	}
	built, err := snapshot.New(version, []model.Resource{service})
	if err != nil {
		panic(err)
	}
	return built
}

func committedHead(generation uint64, version rollout.Version) rollout.Head {
	return rollout.Head{Generation: generation, Committed: version, HighestUsed: version, ApplyID: applyOf(version)}
}

func proposedHead(generation uint64, committed, proposed rollout.Version) rollout.Head {
	return rollout.Head{
		Generation: generation, Committed: committed, Proposed: proposed,
		HighestUsed: proposed, ApplyID: applyOf(proposed),
	}
}

func abortedHead(generation uint64, committed, aborted rollout.Version) rollout.Head {
	return rollout.Head{
		Generation: generation, Committed: committed, HighestUsed: aborted, ApplyID: applyOf(aborted),
		LastRejected: &rollout.Rejection{Version: aborted, ApplyID: applyOf(aborted)},
	}
}

func applyOf(version rollout.Version) string { return "apply-" + string(rune('a'+version)) }

// actionsOf splits actions by their kind.
type actionsOf struct {
	fetched   []rollout.Version
	activated []rollout.Version
	alarms    int
	changed   bool
}

func sorted(actions []rollout.Action) actionsOf {
	var kinds actionsOf
	for _, action := range actions {
		switch action := action.(type) {
		case rollout.FetchVersion:
			kinds.fetched = append(kinds.fetched, action.Version)
		case rollout.Activate:
			kinds.activated = append(kinds.activated, action.Snapshot.Version())
		case rollout.RaiseAlarm:
			kinds.alarms++
		case rollout.StateChanged:
			kinds.changed = true
		}
	}
	return kinds
}

func inForce(p *rollout.Participant) rollout.Version {
	if snapshot := p.State().InForce; snapshot != nil {
		return snapshot.Version()
	}
	return 0
}
