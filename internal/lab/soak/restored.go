package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/levertide/levertide/internal/lab/hostedstore"
)

const (
	// longestRewrite bounds how long operators take to write again what a store lacks that
	// came back from a copy.
	longestRewrite = 2 * time.Second
	// rewriteTime is how long nodes have to write their entries again.
	rewriteTime = 3 * time.Second
)

// restoreStore has the store away for a moment and come back from a copy, twice at times; the
// operators write their newest document again in their own time.
func (f *faults) restoreStore(ctx context.Context, away time.Duration) {
	saved, again := f.saved, f.random.IntN(3) == 0
	rewrite := time.Duration(f.random.Int64N(int64(longestRewrite)))
	f.options.Log("store: away for %v, back from a copy, again %t, written again %v later", away, again, rewrite)
	f.store.SetFaults("", hostedstore.Faults{Silent: true})
	f.running.Go(func() {
		wait(ctx, away)
		f.restore(saved)
		f.store.SetFaults("", hostedstore.Faults{})
		wait(ctx, rewrite/2)
		if again {
			f.restore(saved)
		}
		wait(ctx, rewrite/2)
		f.store.Rewrite()
	})
}

// restore has the store come back from a copy.
func (f *faults) restore(saved *hostedstore.Copy) {
	f.mutex.Lock()
	f.restoredAt = time.Now()
	several := len(f.busy) > 1
	f.mutex.Unlock()
	f.store.Restore(saved)
	if several {
		f.forgetIfRestored()
	}
}

// forgetIfRestored tells the ledger of a crash of several nodes while the store lacks what they
// knew: what they were told before is known to nobody any more, but to the workers.
func (f *faults) forgetIfRestored() {
	f.mutex.Lock()
	lacking := time.Since(f.restoredAt) < rewriteTime
	f.mutex.Unlock()
	if lacking {
		f.options.Log("what nodes were told is lost: the store came back from a copy while several nodes crashed")
		f.ledger.forgetReported()
	}
}

// restartWithLateHeartbeats has the worker crash and start again, and heartbeats of its former life come
// after those of the new one.
func (f *faults) restartWithLateHeartbeats(ctx context.Context, m *machine) {
	m.worker.kill()
	previous, err := m.startNextWorker()
	if err != nil {
		f.recordError(err)
		return
	}
	wait(ctx, 2*heartbeatInterval)
	previous.sendLateHeartbeats(ctx, m)
}

// foreignEntries has another program write where nodes keep their entries.
func (f *faults) foreignEntries() {
	f.options.Log("entries of another writer")
	for n, content := range []string{"", "{}", "\xff\x00", `{"state":"dancing"}`} {
		f.store.PutForeign(fmt.Sprint("foreign", n), []byte(content))
	}
}

// loseDrainCommitment lets a worker leave, has the store come back from a copy that lacks the promise,
// and then crashes all nodes: what nodes have written again is all that is left of it.
func (f *faults) loseDrainCommitment(ctx context.Context, m *machine) {
	saved := f.store.Copy()
	leaving := m.worker
	leaving.draining.Store(true)
	wait(ctx, 2*heartbeatInterval)
	f.restore(saved)
	f.store.Rewrite()
	wait(ctx, rewriteTime)
	leaving.heartbeatsPaused.Store(true)
	f.forgetIfRestored()
	for _, other := range f.machines {
		if other != m {
			f.onMachine(other, "crash of the node, with all others", func() { f.restart(ctx, other, false, 0) })
		}
	}
	f.restartUnderLeaving(ctx, m, leaving)
}
