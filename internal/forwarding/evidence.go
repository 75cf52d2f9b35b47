package forwarding

import (
	"net/http"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/outcome"
)

// Evidence says by what it is known that a call has not run and never will.
type Evidence string

// The evidence for the outcome not-run.
const (
	// NothingSent: the node has written nothing of the call to a worker or to another node.
	NothingSent Evidence = "nothing-sent"
	// BodyWithheld: another node has the head of the call, and begins nothing without the body.
	BodyWithheld Evidence = "body-withheld"
	// NodeReported: the node beside the worker has reported it.
	NodeReported Evidence = "node-reported"
	// WorkerMarked: the worker's answer bears the mark of a refusal.
	WorkerMarked Evidence = "worker-marked"
	// WorkerMisdirected: the worker has answered with status 421.
	WorkerMisdirected Evidence = "worker-misdirected"
)

// decision says who decided that a call is not run, and by which evidence.
type decision struct {
	// by is the node, or the worker's incarnation.
	by       string
	evidence Evidence
}

var propertyDecision = errorx.RegisterProperty("decision")

// withDecision attaches a decision to a failure.
func withDecision(err error, decided decision) error {
	if typed := errorx.Cast(err); typed != nil {
		return typed.WithProperty(propertyDecision, decided)
	}
	return err
}

// decisionOf returns the decision behind a failure: that of the given node, which has sent nothing,
// unless another one is attached. It is empty unless the outcome is not-run.
func decisionOf(err error, node string) decision {
	if outcome.Of(err) != outcome.NotRun {
		return decision{}
	}
	value, _ := errorx.ExtractProperty(err, propertyDecision)
	decided, ok := value.(decision)
	if !ok {
		decided.evidence = NothingSent
	}
	if decided.by == "" {
		decided.by = node
	}
	return decided
}

// PromisesNotRun reports whether callers take a status for the promise that the request has not run
// and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
