package harness

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/lab/observe"
	"github.com/levertide/levertide/internal/platform/consul"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/versionstore"
)

const resolveInterval = 50 * time.Millisecond

// Operator applies file sets to the store, as the command line does.
type Operator struct {
	t        *testing.T
	client   *consul.Client
	versions *versionstore.VersionStore
	applies  atomic.Uint64

	mutex     sync.Mutex
	committed []uint64
}

func newOperator(t *testing.T, storeAddress string) *Operator {
	client := consul.New(consul.Config{Address: "http://" + storeAddress, Client: "operator"})
	return &Operator{t: t, client: client, versions: versionstore.New(versionstore.Config{Store: client})}
}

// Second returns another operator beside this one.
func (m *Mesh) Second(address string) *Operator { return newOperator(m.t, address) }

func (o *Operator) close() { o.client.Close() }

// Propose writes a set as the next version and returns the apply's identifier
// and the version; it fails as versionstore.Propose does.
func (o *Operator) Propose(base uint64, resources []model.Resource) (apply string, version uint64, err error) {
	apply = fmt.Sprintf("%s-%d", o.t.Name(), o.applies.Add(1))
	ctx, cancel := context.WithTimeout(o.t.Context(), Bound)
	defer cancel()
	result, err := o.versions.Propose(ctx, versionstore.ProposeRequest{
		ApplyID: apply, Operator: o.t.Name(), Base: base, Resources: resources,
	})
	return apply, result.Version, err
}

// Outcome waits until an apply is decided and returns what became of it.
func (o *Operator) Outcome(apply string) versionstore.ApplyState {
	o.t.Helper()
	deadline := time.Now().Add(Bound)
	for time.Now().Before(deadline) {
		state, err := o.versions.Resolve(o.t.Context(), apply)
		if err == nil && (state.Phase == versionstore.ApplyCommitted || state.Phase == versionstore.ApplyAborted) {
			o.note(state)
			return state
		}
		time.Sleep(resolveInterval)
	}
	o.t.Fatalf("apply %s was not decided", apply)
	return versionstore.ApplyState{}
}

func (o *Operator) note(state versionstore.ApplyState) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if state.Phase == versionstore.ApplyCommitted {
		o.committed = append(o.committed, state.Version)
	}
}

// Apply proposes on top of the committed version and expects a commit.
func (o *Operator) Apply(resources []model.Resource) uint64 {
	o.t.Helper()
	apply, _, err := o.Propose(o.Committed(), resources)
	if err != nil {
		o.t.Fatal(err)
	}
	state := o.Outcome(apply)
	if state.Phase != versionstore.ApplyCommitted {
		o.t.Fatalf("apply %s is %s", apply, state.Phase)
	}
	return state.Version
}

// Committed returns the committed version that the store's head names.
func (o *Operator) Committed() uint64 {
	o.t.Helper()
	head, _, err := o.versions.ReadHead(o.t.Context(), true)
	if err != nil {
		o.t.Fatal(err)
	}
	return head.Committed
}

func (o *Operator) reportCommitted(recorder *observe.Recorder) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	recorder.CheckCommitted(o.committed)
}
