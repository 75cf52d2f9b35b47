package forwarding

import (
	"time"

	"github.com/levertide/levertide/pkg/contain"
)

// runningCalls holds the calls that workers beside this node run, by their ids. Nested calls that
// a worker makes for one of them carry no key and may be repeats; the node beside the worker is
// the only one that sees both.
type runningCalls struct {
	mu   contain.Mutex
	runs map[string]*run
	// sweepAt is the number of runs at which those that are over are removed.
	sweepAt int
}

// run is what is known of a call at a worker.
type run struct {
	// running counts the workers that run the call now, repeats those of them that run it
	// although another worker received it before.
	running, repeats int
	// parent is what nested calls inherit; nil when the configuration version in force where the
	// call began has no tenants.
	parent *parentCall
	// until is until when parent may be looked up after the last run: a worker may not have
	// noticed that its node has given the call up.
	until time.Time
}

// parentCall is what a nested call inherits from its parent.
type parentCall struct {
	tenant string
	rank   int
}

// leastSweep is the number of runs below which none are removed.
const leastSweep = 256

// begin records that a worker receives a call.
func (r *runningCalls) begin(requestID string, call *workerCall, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs, r.sweepAt = map[string]*run{}, leastSweep
	}
	if len(r.runs) >= r.sweepAt {
		r.sweep(now)
	}
	known := r.runs[requestID]
	if known == nil || known.over(now) {
		known = &run{}
		r.runs[requestID] = known
	}
	known.running++
	if call.repeat {
		known.repeats++
	}
	// Of two calls with the same id the first one's parent is kept: a caller that copies the id
	// of another call must not take over its nested calls.
	if call.principal.checked && known.parent == nil {
		known.parent = &parentCall{tenant: call.principal.tenant, rank: call.claim.rank}
	}
	if known.parent != nil && call.end.After(known.until) {
		known.until = call.end
	}
}

// end records that a worker no longer runs the call.
func (r *runningCalls) end(requestID string, repeat bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.runs[requestID]
	if known == nil {
		return
	}
	known.running--
	if repeat {
		known.repeats--
	}
	if known.over(now) {
		delete(r.runs, requestID)
	}
}

func (r *run) over(now time.Time) bool { return r.running <= 0 && !now.Before(r.until) }

// sweep removes the runs that are over. The mutex must be held.
func (r *runningCalls) sweep(now time.Time) {
	for id, known := range r.runs {
		if known.over(now) {
			delete(r.runs, id)
		}
	}
	r.sweepAt = max(2*len(r.runs), leastSweep)
}

// repeats reports whether a worker beside this node runs the call as a repeat.
func (r *runningCalls) repeats(requestID string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.runs[requestID]
	return known != nil && known.repeats > 0
}

// parent returns what nested calls of the given one inherit; nil when no worker beside this node
// runs it.
func (r *runningCalls) parent(requestID string, now time.Time) *parentCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.runs[requestID]
	if known == nil || known.over(now) {
		return nil
	}
	return known.parent
}
