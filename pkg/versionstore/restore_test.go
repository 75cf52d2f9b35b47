package versionstore_test

import (
	"fmt"
	"testing"

	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/store/memory"
	"github.com/levertide/levertide/pkg/versionstore"
)

func TestRestoredStoreIsRefusedUntilAdvancedPastKnownHead(t *testing.T) {
	backend := memory.New(memory.Options{})
	versions := open(backend)
	publish(t, versions, "apply-1", "ledger")
	older := backend.State()
	publish(t, versions, "apply-2", "archive")
	known := versions.NewestHead()
	backend.Restore(older)

	_, _, err := versions.ReadHead(t.Context(), false)
	requireType(t, err, versionstore.ErrStoreRegressed)
	_, err = versions.Propose(t.Context(), request("apply-3", 1, "listings"))
	requireType(t, err, versionstore.ErrStoreRegressed)
	_, err = versions.Commit(t.Context(), 2, "apply-2")
	requireType(t, err, versionstore.ErrStoreRegressed)

	newcomer := open(backend)
	newcomer.ObserveHead(known)
	_, _, err = newcomer.ReadHead(t.Context(), true)
	requireType(t, err, versionstore.ErrStoreRegressed)

	recovery := request("apply-3", known.Committed, "listings")
	recovery.KnownHead = &known
	result, err := versions.Propose(t.Context(), recovery)
	if err != nil || result.Version != 3 || result.Head.Generation != known.Generation+1 {
		t.Fatalf("recovery gave %+v, %v", result, err)
	}
	if head, err := newcomer.Commit(t.Context(), 3, "apply-3"); err != nil || head.Committed != 3 {
		t.Fatalf("commit after recovery gave %+v, %v", head, err)
	}
}

func TestAnotherHistoryUnderTheSameGenerationIsRefused(t *testing.T) {
	backend := memory.New(memory.Options{})
	versions := open(backend)
	older := backend.State()
	publish(t, versions, "apply-1", "ledger")
	backend.Restore(older)
	publish(t, open(backend), "apply-other", "archive")
	_, _, err := versions.ReadHead(t.Context(), true)
	requireType(t, err, versionstore.ErrStoreRegressed)
}

func TestRecoveryGivesUpWhatWasProposed(t *testing.T) {
	faults := map[string]memory.Fault{
		"answered":     memory.FaultNone,
		"answer lost":  memory.FaultLoseAnswer,
		"request lost": memory.FaultLoseRequest,
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			// Six transactions come before: two for each of the two earlier
			// proposals, one commit, and the resources of the recovery itself.
			const recoveryTransaction = 7
			backend := memory.New(memory.Options{Intercept: oneFault(memory.RequestTransact, recoveryTransaction, fault)})
			versions := open(backend)
			publish(t, versions, "apply-1", "ledger")
			older := backend.State()
			proposed, err := versions.Propose(t.Context(), request("apply-2", 1, "archive"))
			if err != nil {
				t.Fatal(err)
			}
			backend.Restore(older)
			recovery := request("apply-3", 1, "listings")
			recovery.KnownHead = &proposed.Head
			result, err := versions.Propose(t.Context(), recovery)
			if err != nil || result.Version != 3 || result.Head.Generation != proposed.Head.Generation+1 {
				t.Fatalf("recovery gave %+v, %v", result, err)
			}
			_, err = versions.Commit(t.Context(), 2, "apply-2")
			requireType(t, err, versionstore.ErrConflict)
			if head, err := versions.Commit(t.Context(), 3, "apply-3"); err != nil || head.Committed != 3 {
				t.Fatalf("commit gave %+v, %v", head, err)
			}
		})
	}
}

func TestRecoveryFromAnotherHistory(t *testing.T) {
	backend := memory.New(memory.Options{})
	versions := open(backend)
	empty := backend.State()
	publish(t, versions, "apply-1", "ledger")
	publish(t, versions, "apply-2", "archive")
	known := versions.NewestHead()
	backend.Restore(empty)
	diverged := open(backend)
	for i := range 3 {
		proposed, err := diverged.Propose(t.Context(), request(fmt.Sprintf("astray-%d", i), 0, "listings"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := diverged.Abort(t.Context(), proposed.Version, rollout.Rejection{}); err != nil {
			t.Fatal(err)
		}
	}
	ahead := diverged.NewestHead()
	recovery := request("apply-3", known.Committed, "archive")
	recovery.KnownHead = &known
	result, err := versions.Propose(t.Context(), recovery)
	if err != nil || result.Version != 4 || result.Head.Generation != ahead.Generation+1 || result.Head.Committed != 2 {
		t.Fatalf("recovery gave %+v, %v", result, err)
	}
	stale := known
	stale.Generation--
	recovery.KnownHead, recovery.ApplyID = &stale, "apply-4"
	backend.Restore(empty)
	_, err = versions.Propose(t.Context(), recovery)
	requireType(t, err, versionstore.ErrStoreRegressed)
}
