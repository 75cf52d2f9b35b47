package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/levertide/levertide/internal/lab/hostedstore"
)

const (
	// longestRewrite bounds how long operators take to write their documents again after
	// the store was restored from a copy that lacks them.
	longestRewrite = 2 * time.Second
	// rewriteTime is how long nodes have to write their entries again after a restore.
	rewriteTime = 3 * time.Second
)

// restoreStore makes the store unresponsive for a time and then restores it from a copy,
// sometimes twice; the operators write their newest document again after a random delay.
func (f *faults) restoreStore(ctx context.Context, away time.Duration) {
	saved, again := f.saved, f.random.IntN(3) == 0
	rewrite := time.Duration(f.random.Int64N(int64(longestRewrite)))
	f.options.Log("store: unresponsive for %v, then restored from a copy, restored twice %t, written again %v later", away, again, rewrite)
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

// restore restores the store from a copy.
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

// lackEntries records that the store lacks entries of nodes now.
func (f *faults) lackEntries() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.restoredAt = time.Now()
}

// forgetIfRestored is called when several nodes crash and when the store is restored while
// several have faults. If the restored store still lacks the nodes' entries, the ledger
// forgets what was reported to them before: only the workers still know of it.
func (f *faults) forgetIfRestored() {
	f.mutex.Lock()
	lacking := time.Since(f.restoredAt) < rewriteTime
	f.mutex.Unlock()
	if lacking {
		f.options.Log("reports to nodes are lost: the store was restored from a copy while several nodes crashed")
		f.ledger.forgetReported()
	}
}

// restartWithLateHeartbeats crashes the worker and starts it again, and sends heartbeats of its
// previous incarnation after those of the new one.
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

// foreignEntries writes entries where nodes store theirs, as another program might.
func (f *faults) foreignEntries() {
	f.options.Log("store: foreign entries written where nodes store theirs")
	for n, content := range []string{"", "{}", "\xff\x00", `{"state":"dancing"}`} {
		f.store.PutForeign(fmt.Sprint("foreign", n), []byte(content))
	}
}

// loseDrainCommitment drains a worker, restores the store from a copy that lacks the drain
// commitment, and then crashes all nodes: only the entries that nodes have written again
// since the restore still hold it.
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
