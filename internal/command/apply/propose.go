package apply

import (
	"context"
	"fmt"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/internal/command/changes"
	"github.com/levertide/levertide/internal/command/exit"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/versionstore"
)

// propose writes the set as the proposed version and waits for the decision.
func (a *attempt) propose(ctx context.Context) Report {
	result, err := a.versions.Propose(ctx, versionstore.ProposeRequest{
		ApplyID:   a.options.applyID,
		Operator:  a.options.operator,
		Base:      a.report.Base,
		Resources: a.resources,
		KnownHead: a.knownHead,
	})
	if err != nil {
		return a.notProposed(ctx, err)
	}
	a.report.Version = result.Version
	a.terminal.Progress("proposed as version %d", result.Version)
	return a.await(ctx)
}

func (a *attempt) notProposed(ctx context.Context, err error) Report {
	switch code := exit.CodeOfWrite(err); code {
	case exit.Conflict:
		return a.refused(ctx, err)
	case exit.Unknown:
		a.terminal.Progress("the answer of the store was lost; reading back")
		return a.await(ctx)
	default:
		a.report.ApplyID = ""
		return a.report.with(code, "nothing was applied: "+err.Error()+restoreHint(err))
	}
}

func restoreHint(err error) string {
	if !errorx.IsOfType(err, versionstore.ErrStoreRegressed) {
		return ""
	}
	return "; the nodes hold a newer head than the store: put a newer copy of the store back, or see --after-restore"
}

// refused reports a conflict that Propose found.
func (a *attempt) refused(ctx context.Context, err error) Report {
	head, found := versionstore.CurrentHead(err)
	if !found {
		head = a.versions.NewestHead()
	}
	if errorx.IsOfType(err, versionstore.ErrRolloutInProgress) {
		a.report.ApplyID = ""
		a.report.Current = head.Committed
		return a.report.with(exit.Conflict, fmt.Sprintf(
			"nothing was applied: version %d (apply %s) is being rolled out; wait for its end and look at the difference again",
			head.Proposed, head.ApplyID))
	}
	return a.conflict(ctx, head)
}

// conflict reports that the base is no longer the committed version, with the changes
// since.
func (a *attempt) conflict(ctx context.Context, head rollout.Head) Report {
	a.report.ApplyID = ""
	a.report.Current = head.Committed
	message := fmt.Sprintf("nothing was applied: the set is based on version %d, but version %d is committed",
		a.report.Base, head.Committed)
	moved, err := a.changesSince(ctx, head)
	if err != nil {
		return a.report.with(exit.Conflict, message+"; what changed in between cannot be shown: "+err.Error())
	}
	a.report.Moved = moved
	return a.report.with(exit.Conflict, fmt.Sprintf("%s (%s in between); bring the set up to date and apply it with --base %d",
		message, changes.Summary(moved), head.Committed))
}

func (a *attempt) changesSince(ctx context.Context, head rollout.Head) ([]changes.Change, error) {
	base, err := a.versions.Version(ctx, a.report.Base, nil)
	if err != nil {
		return nil, err
	}
	current, err := a.versions.Version(ctx, head.Committed, base)
	if err != nil {
		return nil, err
	}
	return changes.Between(base, current), nil
}
