package versionstore_test

import (
	"context"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/store"
	"github.com/levertide/levertide/pkg/store/memory"
	"github.com/levertide/levertide/pkg/store/ratelimit"
	"github.com/levertide/levertide/pkg/versionstore"
)

// outageAfterSweep loses the first write of the head, changes the sweep record
// just before the second, so that it conflicts, and refuses all requests from
// then on.
type outageAfterSweep struct {
	store    *memory.Store
	sweeping bool
	down     bool
	writes   int
	reads    int
	onRead   func(reads int)
}

func (o *outageAfterSweep) intercept(request memory.Request) memory.Fault {
	switch {
	case o.sweeping:
		return memory.FaultNone
	case o.down:
		o.reads++
		o.onRead(o.reads)
		return memory.FaultRefuse
	case request.Kind != memory.RequestTransact || len(request.Operations) != 3:
		return memory.FaultNone
	}
	o.writes++
	if o.writes == 1 {
		return memory.FaultLoseRequest
	}
	o.sweeping = true
	_ = o.store.Transact(context.Background(), []store.Operation{{Verb: store.VerbSet, Key: "levertide/sweep", Value: []byte("1")}})
	o.sweeping, o.down = false, true
	return memory.FaultNone
}

// TestReadBackEndsInAnOutageAfterAConflict guards against a fault in reading back a
// lost write: a conflict on the second write, followed by an outage, made it loop
// without a pause and beyond its time limit.
func TestReadBackEndsInAnOutageAfterAConflict(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const readsBeforeCancel = 3
	fault := &outageAfterSweep{onRead: func(reads int) {
		if reads == readsBeforeCancel {
			cancel()
		}
	}}
	fault.store = memory.New(memory.Options{Intercept: fault.intercept})
	versions := versionstore.New(versionstore.Config{
		Store:         fault.store,
		Rate:          ratelimit.Options{RequestsPerSecond: 1e9, Burst: 1 << 30},
		SettleTimeout: time.Hour,
	})
	resources := []model.Resource{{Key: model.Key{Kind: model.KindService, Name: "s"}, Service: &model.Service{Slots: 1}}}
	_, err := versions.Propose(ctx, versionstore.ProposeRequest{ApplyID: "a", Resources: resources})
	if !errorx.IsOfType(err, versionstore.ErrUnknownOutcome) {
		t.Errorf("got %v, want an unknown outcome", err)
	}
	if fault.reads != readsBeforeCancel {
		t.Errorf("%d reads were made, want none after the context ended", fault.reads)
	}
}
