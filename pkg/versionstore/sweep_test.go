package versionstore_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/store"
	"github.com/levertide/levertide/pkg/store/memory"
	"github.com/levertide/levertide/pkg/versionstore"
)

// interruptedStore calls before immediately before each transaction.
type interruptedStore struct {
	store.Store
	before func()
}

func (s *interruptedStore) Transact(ctx context.Context, operations []store.Operation) error {
	s.before()
	return s.Store.Transact(ctx, operations)
}

func openSweeping(backend *memory.Store) *versionstore.VersionStore {
	return versionstore.New(versionstore.Config{Store: backend, Rate: unlimited, Retain: 2, SweepSlack: 1})
}

func TestSweepKeepsTheNewestAndWhatTheHeadNames(t *testing.T) {
	backend := memory.New(memory.Options{})
	versions := openSweeping(backend)
	publish(t, versions, "apply-committed", "ledger")
	for i := range 5 {
		applyID := fmt.Sprintf("apply-%d", i)
		proposed, err := versions.Propose(t.Context(), request(applyID, 1, applyID))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := versions.Abort(t.Context(), proposed.Version, rollout.Rejection{}); err != nil {
			t.Fatal(err)
		}
	}
	result, err := versions.Sweep(t.Context())
	if err != nil || result != (versionstore.SweepResult{Versions: 3, Resources: 6}) {
		t.Fatalf("sweep gave %+v, %v", result, err)
	}
	if _, err := versions.LoadSnapshot(t.Context(), 1, nil); err != nil {
		t.Errorf("the committed version: %v", err)
	}
	kept, err := versions.ListVersions(t.Context(), 10)
	if err != nil || len(kept) != 3 || kept[0].Number != 6 || kept[2].Number != 1 {
		t.Errorf("kept %+v, %v", kept, err)
	}
	if result, err := versions.Sweep(t.Context()); err != nil || result != (versionstore.SweepResult{}) {
		t.Errorf("the second sweep gave %+v, %v", result, err)
	}
}

// TestSweepDuringProposal removes a resource by a sweep after a proposal has
// written it and before the proposed version references it.
func TestSweepDuringProposal(t *testing.T) {
	var beforeProposal func()
	transactions := 0
	backend := memory.New(memory.Options{})
	interrupted := &interruptedStore{Store: backend, before: func() {
		transactions++
		const proposalTransaction = 2 // the first writes the resources
		if transactions == proposalTransaction {
			beforeProposal()
		}
	}}
	sweeping := openSweeping(backend)
	for i := range 4 {
		publish(t, sweeping, fmt.Sprintf("apply-%d", i), fmt.Sprintf("service-%d", i))
	}
	beforeProposal = func() {
		result, err := sweeping.Sweep(t.Context())
		if err != nil || result.Resources == 0 {
			t.Errorf("sweep gave %+v, %v", result, err)
		}
	}
	// service-0 is already stored, and only a version to be swept references it.
	proposed, err := open(interrupted).Propose(t.Context(), request("apply-again", 4, "service-0"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := sweeping.LoadSnapshot(t.Context(), proposed.Version, nil); err != nil {
		t.Fatalf("the proposed version cannot be loaded: %v", err)
	}
}

// TestProposalDuringSweep proposes a version that uses a resource after a sweep
// has found the resource unreferenced and before the sweep removes it.
func TestProposalDuringSweep(t *testing.T) {
	backend := memory.New(memory.Options{})
	proposing := open(backend)
	for i := range 4 {
		publish(t, proposing, fmt.Sprintf("apply-%d", i), fmt.Sprintf("service-%d", i))
	}
	var proposed versionstore.ProposeResult
	interrupted := &interruptedStore{Store: backend, before: func() {
		if proposed.Version != 0 {
			return
		}
		var err error
		proposed, err = proposing.Propose(t.Context(), request("apply-again", 4, "service-0"))
		if err != nil {
			t.Error(err)
		}
	}}
	sweeping := versionstore.New(versionstore.Config{Store: interrupted, Rate: unlimited, Retain: 2, SweepSlack: 1})
	result, err := sweeping.Sweep(t.Context())
	requireType(t, err, store.ErrConflict)
	if result != (versionstore.SweepResult{}) {
		t.Errorf("sweep removed %+v", result)
	}
	if _, err := proposing.LoadSnapshot(t.Context(), proposed.Version, nil); err != nil {
		t.Fatalf("the proposed version cannot be loaded: %v", err)
	}
}
