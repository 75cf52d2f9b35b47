package versionstore_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/snapshot"
	"github.com/levertide/levertide/pkg/store"
	"github.com/levertide/levertide/pkg/store/memory"
	"github.com/levertide/levertide/pkg/versionstore"
)

func TestProposeCommitLoad(t *testing.T) {
	versions := open(memory.New(memory.Options{}))
	proposed, err := versions.Propose(t.Context(), request("apply-1", 0, "ledger"))
	if err != nil {
		t.Fatal(err)
	}
	if proposed.Version != 1 || proposed.Head.Generation != 1 || proposed.Head.Proposed != 1 {
		t.Fatalf("unexpected proposal %+v", proposed)
	}
	if _, err := versions.Propose(t.Context(), request("apply-2", 0, "ledger")); !errorx.IsOfType(err, versionstore.ErrRolloutInProgress) {
		t.Fatalf("a second proposal gave %v", err)
	}
	head, err := versions.Commit(t.Context(), 1, "apply-1")
	if err != nil || head.Committed != 1 || head.Proposed != 0 || head.Generation != 2 {
		t.Fatalf("commit gave %+v, %v", head, err)
	}
	again, err := versions.Commit(t.Context(), 1, "apply-1")
	if err != nil || again.Generation != 2 {
		t.Fatalf("the second commit gave %+v, %v", again, err)
	}
	loaded, err := versions.LoadSnapshot(t.Context(), 1, nil)
	if err != nil || loaded.Version() != 1 || loaded.Len() != 2 {
		t.Fatalf("load gave %v, %v", loaded, err)
	}
}

func TestConflictCarriesTheCurrentHead(t *testing.T) {
	versions := open(memory.New(memory.Options{}))
	publish(t, versions, "apply-1", "ledger")
	_, err := versions.Propose(t.Context(), request("apply-2", 0, "archive"))
	requireType(t, err, versionstore.ErrConflict)
	if head, found := versionstore.CurrentHead(err); !found || head.Committed != 1 {
		t.Fatalf("the conflict carries %+v, %v", head, found)
	}
}

func TestAbortedNumberIsNeverUsedAgain(t *testing.T) {
	versions := open(memory.New(memory.Options{}))
	if _, err := versions.Propose(t.Context(), request("apply-1", 0, "ledger")); err != nil {
		t.Fatal(err)
	}
	head, err := versions.Abort(t.Context(), 1, rollout.Rejection{Node: "node-7", Reason: "no worker"})
	if err != nil || head.Proposed != 0 || head.LastRejected == nil || head.LastRejected.ApplyID != "apply-1" {
		t.Fatalf("abort gave %+v, %v", head, err)
	}
	_, err = versions.Commit(t.Context(), 1, "apply-1")
	requireType(t, err, versionstore.ErrConflict)
	second := publish(t, versions, "apply-2", "ledger")
	if second != 2 {
		t.Fatalf("the next version is %d", second)
	}
	_, err = versions.Abort(t.Context(), 2, rollout.Rejection{})
	requireType(t, err, versionstore.ErrConflict)
	for applyID, want := range map[string]versionstore.ApplyPhase{
		"apply-1": versionstore.ApplyAborted,
		"apply-2": versionstore.ApplyCommitted,
		"apply-3": versionstore.ApplyNotWritten,
	} {
		state, err := versions.Resolve(t.Context(), applyID)
		if err != nil || state.Phase != want {
			t.Errorf("%s resolves to %v, %v", applyID, state.Phase, err)
		}
	}
}

func TestLostAnswersAreSettled(t *testing.T) {
	faults := []struct {
		name  string
		fault memory.Fault
	}{
		{"request lost", memory.FaultLoseRequest},
		{"answer lost", memory.FaultLoseAnswer},
		{"request held back", memory.FaultHoldBack},
	}
	// The transactions of an apply are: resources, proposal, commit.
	for _, fault := range faults {
		for transaction := 1; transaction <= 3; transaction++ {
			t.Run(fmt.Sprintf("%s of transaction %d", fault.name, transaction), func(t *testing.T) {
				backend := memory.New(memory.Options{Intercept: oneFault(memory.RequestTransact, transaction, fault.fault)})
				versions := open(backend)
				publish(t, versions, "apply-1", "ledger")
				backend.DeliverHeld()
				head, _, err := versions.ReadHead(t.Context(), true)
				if err != nil || head.Generation != 2 || head.Committed != 1 || head.HighestUsed != 1 {
					t.Fatalf("the head is %+v, %v", head, err)
				}
			})
		}
	}
}

func TestAbortWithLostAnswer(t *testing.T) {
	backend := memory.New(memory.Options{Intercept: oneFault(memory.RequestTransact, 3, memory.FaultLoseAnswer)})
	versions := open(backend)
	if _, err := versions.Propose(t.Context(), request("apply-1", 0, "ledger")); err != nil {
		t.Fatal(err)
	}
	head, err := versions.Abort(t.Context(), 1, rollout.Rejection{Reason: "refused"})
	if err != nil || head.Generation != 2 || head.LastRejected == nil {
		t.Fatalf("abort gave %+v, %v", head, err)
	}
}

func TestUnreachableStoreWritesNothing(t *testing.T) {
	for _, kind := range []memory.RequestKind{memory.RequestGetMany, memory.RequestTransact} {
		backend := memory.New(memory.Options{Intercept: oneFault(kind, 1, memory.FaultRefuse)})
		versions := open(backend)
		_, err := versions.Propose(t.Context(), request("apply-1", 0, "ledger"))
		requireType(t, err, store.ErrUnreachable)
		if state := backend.State(); len(state.Records) != 0 {
			t.Errorf("%s refused, but the store holds %d records", kind, len(state.Records))
		}
	}
}

func TestSameApplyIsNotWrittenTwice(t *testing.T) {
	versions := open(memory.New(memory.Options{}))
	publish(t, versions, "apply-1", "ledger")
	publish(t, versions, "apply-2", "archive")
	result, err := versions.Propose(t.Context(), request("apply-1", 0, "ledger"))
	if err != nil || result.Version != 1 {
		t.Fatalf("the repeated apply gave %+v, %v", result, err)
	}
}

// overtakenStore calls overtake once, after a read and before its result is returned.
type overtakenStore struct {
	store.Store
	overtake func()
}

func (s *overtakenStore) Get(ctx context.Context, key string, options store.ReadOptions) (store.Record, uint64, error) {
	record, index, err := s.Store.Get(ctx, key, options)
	if overtake := s.overtake; overtake != nil {
		s.overtake = nil
		overtake()
	}
	return record, index, err
}

func TestAnswerOvertakenByAWriteIsNoRegression(t *testing.T) {
	backend := &overtakenStore{Store: memory.New(memory.Options{})}
	versions := open(backend)
	publish(t, versions, "apply-1", "ledger")
	backend.overtake = func() { publish(t, versions, "apply-2", "archive") }
	head, _, err := versions.ReadHead(t.Context(), true)
	if err != nil || head.Committed != 1 {
		t.Fatalf("the overtaken read gave %+v, %v", head, err)
	}
	if newest := versions.NewestHead(); newest.Committed != 2 {
		t.Errorf("the newest head known is %+v", newest)
	}
}

func TestLoadFetchesOnlyWhatTheBaseLacks(t *testing.T) {
	backend := memory.New(memory.Options{})
	versions := open(backend)
	publish(t, versions, "apply-1", names(100)...)
	base, err := versions.LoadSnapshot(t.Context(), 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	publish(t, versions, "apply-2", append(names(100), "another")...)
	before := versions.Requests()
	loaded, err := versions.LoadSnapshot(t.Context(), 2, base)
	if err != nil || loaded.Len() != 202 {
		t.Fatalf("load gave %v, %v", loaded, err)
	}
	const recordAndOneBatch = 2
	if sent := versions.Requests() - before; sent != recordAndOneBatch {
		t.Errorf("the load took %d requests", sent)
	}
	if _, err := versions.LoadSnapshot(t.Context(), 3, base); !errorx.IsOfType(err, versionstore.ErrVersionNotFound) {
		t.Errorf("a missing version gave %v", err)
	}
}

func TestLargeVersionTakesFewRequests(t *testing.T) {
	versions := open(memory.New(memory.Options{}))
	publish(t, versions, "apply-1", names(500)...)
	before := versions.Requests()
	if _, err := versions.LoadSnapshot(t.Context(), 1, snapshot.Empty()); err != nil {
		t.Fatal(err)
	}
	const recordAndListing = 2
	if sent := versions.Requests() - before; sent != recordAndListing {
		t.Errorf("the load took %d requests", sent)
	}
}

func TestAlteredContentIsRefused(t *testing.T) {
	backend := memory.New(memory.Options{})
	versions := open(backend)
	publish(t, versions, "apply-1", "ledger")
	records, err := backend.List(t.Context(), versionstore.DefaultPrefix+"resource/")
	if err != nil {
		t.Fatal(err)
	}
	altered := store.Operation{Verb: store.VerbSet, Key: records[0].Key, Value: []byte("{}")}
	if err := backend.Transact(t.Context(), []store.Operation{altered}); err != nil {
		t.Fatal(err)
	}
	_, err = versions.LoadSnapshot(t.Context(), 1, nil)
	requireType(t, err, versionstore.ErrCorrupt)
}

func TestRequestsThatCanNeverSucceed(t *testing.T) {
	versions := versionstore.New(versionstore.Config{
		Store:            memory.New(memory.Options{}),
		MaxResources:     4,
		MaxResourceBytes: 1000,
	})
	_, err := versions.Propose(t.Context(), request("", 0, "ledger"))
	requireType(t, err, versionstore.ErrInvalidRequest)
	_, err = versions.Propose(t.Context(), request("apply-1", 0))
	requireType(t, err, versionstore.ErrInvalidRequest)
	_, err = versions.Propose(t.Context(), request("apply-1", 0, names(3)...))
	requireType(t, err, versionstore.ErrTooLarge)
	large := request("apply-1", 0, "ledger")
	large.Resources[1].Route.Match.PathPrefix = fmt.Sprintf("/%01000d", 0)
	_, err = versions.Propose(t.Context(), large)
	requireType(t, err, versionstore.ErrTooLarge)
	dangling := request("apply-1", 0, "ledger")
	dangling.Resources = dangling.Resources[1:]
	_, err = versions.Propose(t.Context(), dangling)
	requireType(t, err, versionstore.ErrInvalidRequest)
}
