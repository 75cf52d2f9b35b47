package dataplane

import (
	"time"

	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/outcome"
)

// The listeners for calls, as panics name them.
const (
	callersName = "callers"
	callsName   = "calls"
)

// faultRetryAfter is the Retry-After of the answer to a call that a fault of the node has ended.
const faultRetryAfter = time.Second

// contain answers a call whose handling has panicked, as one that has not run if nothing was offered to
// a worker. Once its answer may have begun, the panic goes on, and the connection ends. Defer it.
func (c *inboundCall) contain(listener string) {
	value := recover()
	if value == nil {
		return
	}
	if c.begun {
		panic(value)
	}
	if c.plane.config.Panicked != nil {
		c.plane.config.Panicked(contain.Recovered(listener, value))
	}
	c.relay.close()
	c.fail(panicFailure(c.offered))
	// What follows may panic, too: by then the answer is on its way.
	_ = c.control.Flush()
}

// panicFailure returns the failure of a call whose handling has panicked.
func panicFailure(mayHaveRun bool) error {
	if mayHaveRun {
		return outcome.New(outcome.Internal)
	}
	return outcome.WithRetryAfter(outcome.InternalBeforeStart, faultRetryAfter)
}

// giveBack does what follows an answer. The answer goes out whole although this panics.
func (c *inboundCall) giveBack(work func()) {
	contain.Run(contain.Request, callsName, c.plane.config.Panicked, work)
}
