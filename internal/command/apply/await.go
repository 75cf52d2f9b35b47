package apply

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/internal/command/applied"
	"github.com/levertide/levertide/internal/command/connect"
	"github.com/levertide/levertide/internal/command/exit"
	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/versionstore"
)

const (
	// watchHold is how long one blocking read of the head may take.
	watchHold = 10 * time.Second
	// minimumPause and maximumPause bound the pauses, with full jitter, after a
	// failed request to the store.
	minimumPause = 100 * time.Millisecond
	maximumPause = 2 * time.Second
	// statusPause is the pause between two status requests to the nodes.
	statusPause = 300 * time.Millisecond
)

// await waits until the apply is decided, and with --wait in-force until it is in
// force on every live node.
func (a *attempt) await(ctx context.Context) Report {
	var index uint64
	var lastErr error
	for failures := 0; ; {
		state, next, err := a.applyState(ctx, index)
		if err == nil {
			failures, lastErr, index = 0, nil, next
			if report := a.decided(ctx, state); report != nil {
				return *report
			}
			if state.Phase == versionstore.ApplyNotWritten {
				failures = 1
			}
		} else {
			lastErr = err
			failures++
			if report := a.decidedByNodes(ctx); report != nil {
				return *report
			}
		}
		if errorx.IsOfType(err, versionstore.ErrStoreRegressed) || !pause(ctx, failures) {
			return a.undecided(lastErr)
		}
	}
}

// applyState returns the state of the apply once the head has changed since index, or
// watchHold has passed.
func (a *attempt) applyState(ctx context.Context, index uint64) (versionstore.ApplyState, uint64, error) {
	head, next, err := a.versions.WatchHead(ctx, index, watchHold)
	if err != nil {
		return versionstore.ApplyState{}, 0, err
	}
	if head.Proposed != 0 && head.Proposed == a.report.Version {
		return versionstore.ApplyState{Phase: versionstore.ApplyProposed, Version: head.Proposed, Head: head}, next, nil
	}
	state, err := a.versions.Resolve(ctx, a.options.applyID)
	return state, next, err
}

// decided returns a report once the apply is committed or aborted.
func (a *attempt) decided(ctx context.Context, state versionstore.ApplyState) *Report {
	a.report.Current = state.Head.Committed
	if state.Version != 0 {
		a.report.Version = state.Version
	}
	switch state.Phase {
	case versionstore.ApplyCommitted:
		report := a.committed(ctx)
		return &report
	case versionstore.ApplyAborted:
		return a.stop(exit.Rejected, applied.RejectionText(state.Version, state.Rejection))
	default:
		return nil
	}
}

// decidedByNodes requests the head from the nodes, if any are named, while the store
// does not answer. The head decides only if it names this apply's version as committed
// or this apply as rejected.
func (a *attempt) decidedByNodes(ctx context.Context) *Report {
	if !a.options.nodes.Given() || a.report.Version == 0 {
		return nil
	}
	answer, err := a.nodes.Status(ctx)
	if err != nil {
		return nil
	}
	head := controlpb.HeadOf(answer.GetHead())
	state := versionstore.ApplyState{Version: a.report.Version, Head: head, Rejection: head.LastRejected}
	switch {
	case head.Committed == a.report.Version:
		state.Phase = versionstore.ApplyCommitted
	case head.LastRejected != nil && head.LastRejected.ApplyID == a.options.applyID:
		state.Phase = versionstore.ApplyAborted
	default:
		return nil
	}
	return a.decided(ctx, state)
}

// undecided reports that the command timed out, was interrupted or found a regressed
// store before the apply was decided.
func (a *attempt) undecided(lastErr error) Report {
	message := "it is not known whether the set was written"
	if a.report.Version != 0 {
		message = fmt.Sprintf("version %d is proposed and not decided yet", a.report.Version)
	}
	if lastErr != nil {
		message += ": " + lastErr.Error()
	}
	return a.report.with(exit.Unknown, message)
}

// committed ends the command, or waits until the version is in force.
func (a *attempt) committed(ctx context.Context) Report {
	message := fmt.Sprintf("version %d is committed", a.report.Version)
	if a.options.wait == string(waitCommitted) {
		return a.report.with(exit.Accepted, message)
	}
	a.terminal.Progress("%s; waiting for it to be in force", message)
	lagging := "no node has answered"
	for {
		answer, err := a.nodes.Status(ctx)
		if err == nil {
			progress := connect.ProgressOf(answer, a.report.Version)
			if progress.Everywhere {
				return a.report.with(exit.Accepted, fmt.Sprintf("version %d is in force on all %d live nodes", a.report.Version, progress.Live))
			}
			lagging = progress.String()
		}
		if !sleep(ctx, statusPause) {
			return a.report.with(exit.Unknown, message+", but it is not known yet to be in force everywhere: "+lagging)
		}
	}
}

// pause waits for a time that grows with the number of failures. It returns false
// when the context has ended.
func pause(ctx context.Context, failures int) bool {
	if failures == 0 {
		return ctx.Err() == nil
	}
	bound := min(minimumPause<<min(failures, 8), maximumPause)
	return sleep(ctx, minimumPause+rand.N(bound))
}

func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
