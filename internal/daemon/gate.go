package daemon

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/pkg/outcome"
)

const unreadyRetryAfter = time.Second

// gate stands before the handlers of calls and answers not-run while the node
// is not ready. The data plane itself refuses calls while it drains.
type gate struct {
	state atomic.Pointer[gateState]
}

// gateState says whether calls pass and, if not, what callers are told.
type gateState struct {
	ready  bool
	reason string
}

func newGate(reason string) *gate {
	closed := &gate{}
	closed.set(false, reason)
	return closed
}

// set opens or shuts the gate. Calls that have passed are not touched.
func (g *gate) set(ready bool, reason string) {
	g.state.Store(&gateState{ready: ready, reason: reason})
}

// wrap returns a handler that hands calls on while the gate is open.
func (g *gate) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		state := g.state.Load()
		if !state.ready {
			status := outcome.SetHeaders(writer.Header(), outcome.WithRetryAfter(outcome.NotReady, unreadyRetryAfter))
			http.Error(writer, state.reason, status)
			return
		}
		next.ServeHTTP(writer, request)
	})
}
