package storeprotocol_test

import (
	"fmt"

	"github.com/anishathalye/porcupine"

	"github.com/levertide/levertide/pkg/rollout"
)

// action is the operation that a client requested.
type action uint8

const (
	actionRead action = iota
	actionPropose
	actionCommit
	actionAbort
)

// verdict is the result that a client got.
type verdict uint8

const (
	// verdictDone means that the operation took effect or the head was read.
	verdictDone verdict = iota
	// verdictRefused means that the head did not allow the operation.
	verdictRefused
	// verdictNoEffect means that the operation failed and certainly had no effect.
	verdictNoEffect
	// verdictUnknown means that the operation may have taken effect, then or later.
	verdictUnknown
)

// input and output are the two halves of one recorded operation.
type input struct {
	action  action
	applyID string
	// version is the base of a proposal, or the version to commit or abort.
	version rollout.Version
}

type output struct {
	verdict verdict
	// version is the version number assigned to a proposal.
	version rollout.Version
	// head is what a read returned.
	head headModel
}

// headModel is the part of the head record that the protocol governs.
type headModel struct {
	committed, proposed, highest, rejected rollout.Version
	applyID                                string
}

// historyModel is the sequential specification of the head.
func historyModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{headModel{}} },
		Step: func(state, in, out any) []any { return step(state.(headModel), in.(input), out.(output)) },
		DescribeOperation: func(in, out any) string {
			return fmt.Sprintf("%+v -> %+v", in, out)
		},
	}
	return model.ToModel()
}

// step returns the heads that may follow, or none if the output is impossible.
func step(head headModel, in input, out output) []any {
	next, allowed := apply(head, in)
	switch out.verdict {
	case verdictNoEffect:
		return []any{head}
	case verdictUnknown:
		if allowed {
			return []any{head, next}
		}
		return []any{head}
	case verdictRefused:
		return headIf(!allowed, head)
	}
	if in.action == actionRead {
		return headIf(out.head == head, head)
	}
	if in.action == actionPropose {
		return headIf(allowed && out.version == next.proposed, next)
	}
	return headIf(allowed, next)
}

func headIf(possible bool, head headModel) []any {
	if !possible {
		return nil
	}
	return []any{head}
}

// apply returns the head after an action and whether the head allows the action.
func apply(head headModel, in input) (headModel, bool) {
	next := head
	switch in.action {
	case actionPropose:
		next.highest++
		next.proposed = next.highest
		next.applyID = in.applyID
		return next, head.proposed == 0 && head.committed == in.version
	case actionCommit:
		if head.committed == in.version {
			return head, true
		}
		next.committed, next.proposed = in.version, 0
		return next, head.proposed == in.version && head.applyID == in.applyID
	case actionAbort:
		if head.rejected == in.version {
			return head, true
		}
		next.rejected, next.proposed = in.version, 0
		return next, head.proposed == in.version
	default:
		return head, true
	}
}
