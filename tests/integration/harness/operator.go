package harness

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/platform/consul"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/store"
	"github.com/levertide/levertide/pkg/versionstore"
)

const resolveInterval = 50 * time.Millisecond

// Operator applies file sets to the store, as the command line does. Its methods
// are safe for concurrent use.
type Operator struct {
	name     string
	t        *testing.T
	client   *consul.Client
	versions *versionstore.VersionStore
	applies  atomic.Uint64

	mutex     sync.Mutex
	committed []uint64
}

// NewOperator adds an operator to the mesh and returns it.
func (m *Mesh) NewOperator(name string) *Operator {
	client := consul.New(consul.Config{Address: "http://" + m.storeAddress, Client: name})
	operator := &Operator{
		name: name, t: m.t, client: client,
		versions: versionstore.New(versionstore.Config{Store: client}),
	}
	m.operators = append(m.operators, operator)
	return operator
}

// Propose writes a set as the next version and returns the apply's identifier
// and the version. It returns the errors of versionstore.Propose.
func (o *Operator) Propose(base uint64, resources []model.Resource) (apply string, version uint64, err error) {
	return o.propose(versionstore.ProposeRequest{Base: base, Resources: resources})
}

// ProposeAfterRestore is like Propose, for a store that was restored from an
// older copy while the nodes hold the given head.
func (o *Operator) ProposeAfterRestore(known rollout.Head, resources []model.Resource) (apply string, version uint64, err error) {
	return o.propose(versionstore.ProposeRequest{Base: known.Committed, Resources: resources, KnownHead: &known})
}

func (o *Operator) propose(request versionstore.ProposeRequest) (apply string, version uint64, err error) {
	request.ApplyID = fmt.Sprintf("%s-%d", o.name, o.applies.Add(1))
	request.Operator = o.name
	ctx, cancel := context.WithTimeout(o.t.Context(), Bound)
	defer cancel()
	result, err := o.versions.Propose(ctx, request)
	return request.ApplyID, result.Version, err
}

// Outcome waits until an apply is committed or aborted and returns its state.
func (o *Operator) Outcome(apply string) versionstore.ApplyState {
	o.t.Helper()
	state, done := o.await(apply, Bound, func(phase versionstore.ApplyPhase) bool {
		return phase == versionstore.ApplyCommitted || phase == versionstore.ApplyAborted
	})
	if !done {
		o.t.Errorf("apply %s was not decided: %v", apply, state.Phase)
	}
	return state
}

// AwaitSettled is like Outcome, for an apply whose proposal may have failed and so
// may never have been written.
func (o *Operator) AwaitSettled(apply string) {
	o.t.Helper()
	if !o.AwaitSettledWithin(apply, Bound) {
		o.t.Errorf("apply %s was not decided", apply)
	}
}

// AwaitSettledWithin is AwaitSettled with a bound; it returns false if the bound passed first.
func (o *Operator) AwaitSettledWithin(apply string, bound time.Duration) bool {
	_, done := o.await(apply, bound, func(phase versionstore.ApplyPhase) bool {
		return phase != versionstore.ApplyProposed
	})
	return done
}

func (o *Operator) await(apply string, bound time.Duration, decided func(versionstore.ApplyPhase) bool) (versionstore.ApplyState, bool) {
	deadline := time.After(bound)
	poll := time.NewTicker(resolveInterval)
	defer poll.Stop()
	for {
		state, err := o.versions.Resolve(o.t.Context(), apply)
		if err == nil && decided(state.Phase) {
			o.recordDecision(state)
			return state, true
		}
		select {
		case <-poll.C:
		case <-deadline:
			return state, false
		}
	}
}

func (o *Operator) recordDecision(state versionstore.ApplyState) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if state.Phase == versionstore.ApplyCommitted {
		o.committed = append(o.committed, state.Version)
	}
}

// RecordCommitted records a committed version that was not applied through this operator.
func (o *Operator) RecordCommitted(version uint64) {
	o.recordDecision(versionstore.ApplyState{Phase: versionstore.ApplyCommitted, Version: version})
}

// LastCommitted returns the highest version that this operator observed as committed.
func (o *Operator) LastCommitted() uint64 {
	var highest uint64
	for _, version := range o.committedVersions() {
		highest = max(highest, version)
	}
	return highest
}

// committedVersions returns the versions that this operator observed as committed.
func (o *Operator) committedVersions() []uint64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return slices.Clone(o.committed)
}

// Apply proposes a set based on the committed version and requires that it is committed.
func (o *Operator) Apply(resources []model.Resource) uint64 {
	o.t.Helper()
	apply, _, err := o.Propose(o.Head().Committed, resources)
	if err != nil {
		o.t.Fatal(err)
	}
	return o.ExpectCommit(apply)
}

// ExpectCommit waits until an apply is decided, requires that it is committed, and returns its version.
func (o *Operator) ExpectCommit(apply string) uint64 {
	o.t.Helper()
	state := o.Outcome(apply)
	if state.Phase != versionstore.ApplyCommitted {
		o.t.Fatalf("apply %s is %s: %+v", apply, state.Phase, state.Rejection)
	}
	return state.Version
}

// Head returns the head record of the store.
func (o *Operator) Head() rollout.Head {
	o.t.Helper()
	head, _, err := o.versions.ReadHead(o.t.Context(), true)
	if err != nil {
		o.t.Fatal(err)
	}
	return head
}

// Overwrite replaces the value of one key in the store, to simulate corruption.
func (o *Operator) Overwrite(key, value string) {
	o.t.Helper()
	err := o.client.Transact(o.t.Context(), []store.Operation{{Verb: store.VerbSet, Key: key, Value: []byte(value)}})
	if err != nil {
		o.t.Fatal(err)
	}
}
