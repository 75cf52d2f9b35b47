package apply

import (
	"context"
	"crypto/rand"
	"fmt"

	"github.com/levertide/levertide/internal/command/changes"
	"github.com/levertide/levertide/internal/command/connect"
	"github.com/levertide/levertide/internal/command/console"
	"github.com/levertide/levertide/internal/command/exit"
	"github.com/levertide/levertide/internal/command/fileset"
	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/snapshot"
	"github.com/levertide/levertide/pkg/versionstore"
)

// attempt is one run of the command.
type attempt struct {
	options   options
	terminal  *console.Console
	resources []model.Resource
	versions  *connect.Store
	nodes     *connect.Nodes
	report    Report
	// knownHead is the newest head that the nodes hold; it is set with --after-restore.
	knownHead *rollout.Head
}

// run reads the set, opens the connections and applies the set.
func run(ctx context.Context, chosen options, terminal *console.Console) Report {
	resources, faults := chosen.files.Read()
	if len(faults) > 0 {
		return Report{Faults: faults}.with(exit.Rejected, fileset.Summary(faults))
	}
	nodes, err := chosen.nodes.Open()
	if err != nil {
		return Report{}.with(exit.Usage, err.Error())
	}
	defer nodes.Close()
	versions, err := chosen.store.Open(ctx)
	if err != nil {
		return notOpened(chosen, err)
	}
	defer versions.Close()
	current := &attempt{options: chosen, terminal: terminal, resources: resources, versions: versions, nodes: nodes}
	return current.run(ctx)
}

// notOpened reports a store that does not answer. If the identifier of an earlier
// attempt is given, that attempt may have written the set nevertheless.
func notOpened(chosen options, err error) Report {
	if chosen.applyID == "" {
		return Report{}.with(exit.CodeOfRead(err), "nothing was written: "+err.Error())
	}
	return Report{ApplyID: chosen.applyID}.with(exit.Unknown, earlierAttemptText+err.Error())
}

const earlierAttemptText = "this attempt has written nothing, but the earlier one may have: "

func (a *attempt) run(ctx context.Context) Report {
	if a.options.applyID != "" {
		return a.resume(ctx)
	}
	a.options.applyID = rand.Text()
	return a.start(ctx)
}

// resume waits for the outcome of an earlier attempt, or starts the apply if the
// earlier one has not written the set.
func (a *attempt) resume(ctx context.Context) Report {
	state, err := a.versions.Resolve(ctx, a.options.applyID)
	if err != nil {
		a.report.ApplyID = a.options.applyID
		return a.report.with(exit.Unknown, earlierAttemptText+err.Error())
	}
	if state.Phase == versionstore.ApplyNotWritten {
		return a.start(ctx)
	}
	a.report.ApplyID = a.options.applyID
	a.report.Version, a.report.Current = state.Version, state.Head.Committed
	return a.await(ctx)
}

// start chooses the base, shows the changes, and proposes the set.
func (a *attempt) start(ctx context.Context) Report {
	if stop := a.compareWithNodes(ctx); stop != nil {
		return *stop
	}
	if stop := a.chooseBase(ctx); stop != nil {
		return *stop
	}
	if stop := a.showChanges(ctx); stop != nil {
		return *stop
	}
	a.report.ApplyID = a.options.applyID
	a.terminal.Progress("apply %s by %s, based on version %d", a.options.applyID, a.options.operator, a.report.Base)
	return a.propose(ctx)
}

// chooseBase sets the base. It returns a report if the apply ends because of it.
func (a *attempt) chooseBase(ctx context.Context) *Report {
	head := a.versions.Head
	if a.options.afterRestore {
		known, err := a.nodes.NewestHead(ctx)
		if err != nil {
			return a.stop(exit.Unreachable, "nothing was written: "+err.Error())
		}
		if !versionstore.Regressed(head, known) {
			return a.stop(exit.Conflict, "nothing was written: the store is not behind the nodes, so that --after-restore does not apply")
		}
		head, a.knownHead = known, &known
	}
	a.report.Current = head.Committed
	a.report.Base = head.Committed
	if a.options.base == latestBase {
		return nil
	}
	a.report.Base = uint64(a.options.base)
	if a.report.Base != head.Committed {
		report := a.conflict(ctx, head)
		return &report
	}
	return nil
}

func (a *attempt) stop(code exit.Code, message string) *Report {
	report := a.report.with(code, message)
	return &report
}

// showChanges writes the changes, and returns a report if there are none. With
// --after-restore the base is not in the store, so that nothing can be compared.
func (a *attempt) showChanges(ctx context.Context) *Report {
	if a.knownHead != nil {
		return nil
	}
	target, err := snapshot.New(0, a.resources)
	if err != nil {
		return a.stop(exit.Rejected, err.Error())
	}
	base, err := a.versions.Version(ctx, a.report.Base, nil)
	if err != nil {
		return a.stop(exit.CodeOfRead(err), "nothing was written: "+err.Error())
	}
	a.report.Changes = changes.Between(base, target)
	if len(a.report.Changes) == 0 {
		return a.stop(exit.Accepted, fmt.Sprintf("nothing to change: the set is version %d", a.report.Base))
	}
	changes.Write(a.terminal.Err, a.report.Changes)
	a.terminal.Progress("%s", changes.Summary(a.report.Changes))
	return nil
}

// compareWithNodes returns a report if the store is behind the nodes. The nodes are
// queried before the store is read again, so that an up-to-date store never appears to
// be behind. If no node answers, the apply goes on without the comparison.
func (a *attempt) compareWithNodes(ctx context.Context) *Report {
	if !a.options.nodes.Given() || a.options.afterRestore {
		return nil
	}
	answer, err := a.nodes.Status(ctx)
	if err != nil {
		a.terminal.Progress("no node answers: %v", err)
		return nil
	}
	a.versions.ObserveHead(controlpb.HeadOf(answer.GetHead()))
	head, _, err := a.versions.ReadHead(ctx, true)
	if err != nil {
		return a.stop(exit.CodeOfRead(err), "nothing was written: "+err.Error()+restoreHint(err))
	}
	a.versions.Head = head
	return nil
}
