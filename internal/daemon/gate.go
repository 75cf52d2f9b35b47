package daemon

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/pkg/outcome"
)

// unreadyRetryAfter is when callers that the gate refuses are asked to retry.
const unreadyRetryAfter = time.Second

// gate wraps the handlers of calls and answers with outcome not-run while the node
// is not ready. While it drains, the data plane itself refuses calls.
type gate struct {
	state atomic.Pointer[gateState]
}

// gateState says whether calls pass and, if not, the reason given to callers.
type gateState struct {
	ready  bool
	reason string
}

func newGate(reason string) *gate {
	closed := &gate{}
	closed.set(false, reason)
	return closed
}

// set opens or closes the gate. Calls that have passed it already are not affected.
func (g *gate) set(ready bool, reason string) {
	g.state.Store(&gateState{ready: ready, reason: reason})
}

// wrap returns a handler that passes calls to next while the gate is open.
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
