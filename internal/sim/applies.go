package sim

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/store"
	"github.com/levertide/levertide/pkg/versionstore"
)

// How often operators apply, and how many at once.
const (
	applyPeriod   = 4 * time.Second
	maximumRacers = 3
)

// applies simulates the operators, who apply file sets.
type applies struct {
	world     *World
	number    int
	processes []*process
}

// schedule plans the next concurrent applies, of one to three operators. From a
// restore of the store, about which the nodes raise an alarm, until its recovery
// only the operator who recovers it applies.
func (x *applies) schedule() {
	delay := x.world.random.duration(2 * applyPeriod)
	x.world.scheduler.after(delay, "operators", func() {
		if !x.world.settling && !x.world.oracle.restored {
			for range 1 + x.world.random.IntN(maximumRacers) {
				x.world.Apply(nil)
			}
		}
		x.schedule()
	})
}

// underWay reports whether an operator's command is running.
func (x *applies) underWay() bool {
	x.processes = slices.DeleteFunc(x.processes, func(p *process) bool { return !p.alive })
	return len(x.processes) > 0
}

func (x *applies) end() {
	for _, p := range x.processes {
		p.end()
	}
}

// Apply has an operator apply a new file set on top of the committed version.
// known is nil except to recover from a restore of the store; it is then the
// newest head that the nodes know of.
func (w *World) Apply(known *rollout.Head) {
	unsupported := w.random.percent(unsupportedPercent)
	w.applySet(newFileSet(w.random, w.applies.number+1, unsupported), known)
}

func (w *World) applySet(set fileSet, known *rollout.Head) {
	w.applies.number++
	id := fmt.Sprint("apply-", w.applies.number)
	applied := &appliedSet{fileSet: set}
	if known != nil {
		applied.recovers = w.oracle.restores
	}
	w.oracle.sets[id] = applied
	p := w.newProcess(id)
	w.applies.processes = append(w.applies.processes, p)
	versions := w.newVersionStore()
	p.store.run("apply", func(ctx context.Context) func() {
		base, err := w.baseOf(ctx, versions, known)
		if err != nil {
			return func() { w.refusedApply(p, id) }
		}
		_, err = versions.Propose(ctx, versionstore.ProposeRequest{
			ApplyID: id, Operator: p.name, Base: base, Resources: set.resources, KnownHead: known,
		})
		return func() {
			w.log("%s on version %d: %v", id, base, err)
			if err != nil && certainlyNotWritten(err) {
				w.refusedApply(p, id)
			}
			p.end()
		}
	})
}

func (w *World) baseOf(ctx context.Context, versions *versionstore.VersionStore, known *rollout.Head) (rollout.Version, error) {
	if known != nil {
		return known.Committed, nil
	}
	head, _, err := versions.ReadHead(ctx, true)
	return head.Committed, err
}

func (w *World) refusedApply(p *process, id string) {
	w.oracle.sets[id].refused = true
	p.end()
}

// certainlyNotWritten reports whether the error tells the operator for certain
// that nothing was written.
func certainlyNotWritten(err error) bool {
	return store.NotWritten(err) ||
		errorx.IsOfType(err, versionstore.ErrConflict) ||
		errorx.IsOfType(err, versionstore.ErrRolloutInProgress) ||
		errorx.IsOfType(err, versionstore.ErrStoreRegressed)
}

// Recover applies a set that moves a restored store past every version that the
// nodes know, as an operator does after the alarm. It starts from the newest head
// of any node that has seen a newer one than the store now holds.
func (w *World) Recover() {
	w.faults.count("store recovered")
	known := w.oracle.head
	for _, n := range w.nodes {
		if n.process.alive {
			known = n.agent.raise(known)
		}
	}
	w.Apply(&known)
}

// raise returns the newest of the given head and those that the node has seen,
// with its version numbers raised to the highest that the node knows of.
func (a *agent) raise(known rollout.Head) rollout.Head {
	state := a.participant.State()
	for _, seen := range []rollout.Head{state.Head, a.reader.versions.NewestHead()} {
		if seen.Generation >= known.Generation && versionstore.Regressed(known, seen) {
			seen.Committed = max(seen.Committed, known.Committed)
			seen.HighestUsed = max(seen.HighestUsed, known.HighestUsed)
			known = seen
		}
	}
	known.Committed = max(known.Committed, state.Floor, a.reported.committed)
	known.HighestUsed = max(known.HighestUsed, known.Committed, a.reported.proposed)
	return known
}
