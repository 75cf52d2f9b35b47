package hosted

import (
	"errors"
	"net/http"
	"sync/atomic"

	"github.com/joomcode/errorx"
	"golang.org/x/time/rate"

	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/endpoint"
	"github.com/levertide/levertide/pkg/workers"
)

// RefusalReason says why a call to the address for workers cannot be used.
type RefusalReason string

// The reasons for which calls are refused.
const (
	// RefusedTooLarge: the body is longer than a call may be.
	RefusedTooLarge RefusalReason = "too-large"
	// RefusedUnreadable: the body cannot be read, or lacks a field.
	RefusedUnreadable RefusalReason = "unreadable"
	// RefusedAddress: no connection can be opened to the address.
	RefusedAddress RefusalReason = "address"
	// RefusedOtherAddress and RefusedService: no worker at the address or of the service is beside the node.
	RefusedOtherAddress RefusalReason = "other-address"
	RefusedService      RefusalReason = "service"
	// RefusedField: a field has a value that no worker has.
	RefusedField RefusalReason = "field"
)

// RefusalReasons returns all reasons.
func RefusalReasons() []RefusalReason {
	return []RefusalReason{RefusedTooLarge, RefusedUnreadable, RefusedAddress, RefusedOtherAddress, RefusedService, RefusedField}
}

// refusalReason returns why a call was refused with an error.
func refusalReason(err error) RefusalReason {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return RefusedTooLarge
	case errorx.IsOfType(err, endpoint.ErrInvalid):
		return RefusedAddress
	case errorx.IsOfType(err, workers.ErrOtherAddress):
		return RefusedOtherAddress
	case errorx.IsOfType(err, workers.ErrOtherService):
		return RefusedService
	case errorx.IsOfType(err, workers.ErrInvalid):
		return RefusedField
	default:
		return RefusedUnreadable
	}
}

const (
	// refusalLineRate and refusalLineBurst bound the log lines a second on refused calls of all instances. Each
	// has one line in five seconds at most.
	refusalLineRate  = 1
	refusalLineBurst = 10
	// maximumRefused bounds the instances whose refused calls are counted apart.
	maximumRefused = 64
)

// Refusal is a call that was refused.
type Refusal struct {
	Instance string
	Reason   RefusalReason
	// Calls is how many calls of the instance were refused since the last report of it.
	Calls int
	Err   error
}

// refusals counts and reports calls that cannot be used.
type refusals struct {
	events Events
	counts map[RefusalReason]*atomic.Uint64

	mu contain.Mutex
	// lines limits the reports of all instances, so that another identifier in each call fills no log.
	lines      *rate.Limiter
	byInstance map[string]*refusedInstance
}

// refusedInstance is what was refused of one instance.
type refusedInstance struct {
	lines *rate.Limiter
	calls int
}

func newRefusals(events Events) *refusals {
	r := &refusals{
		events: events, counts: map[RefusalReason]*atomic.Uint64{},
		lines: rate.NewLimiter(refusalLineRate, refusalLineBurst), byInstance: map[string]*refusedInstance{},
	}
	for _, reason := range RefusalReasons() {
		r.counts[reason] = new(atomic.Uint64)
	}
	return r
}

// observe records a refused call.
func (r *refusals) observe(instance string, err error) {
	instance = instance[:min(len(instance), longestLoggedName)]
	refusal := Refusal{Instance: instance, Reason: refusalReason(err), Err: err}
	r.counts[refusal.Reason].Add(1)
	if refusal.Calls = r.due(instance); refusal.Calls > 0 {
		r.events.HeartbeatRejected(refusal)
	}
}

// due counts a call of an instance. It returns how many are to be reported now; zero for none.
func (r *refusals) due(instance string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	refused, known := r.byInstance[instance]
	if !known {
		r.makeRoom()
		refused = &refusedInstance{lines: rate.NewLimiter(rejectionLogRate, 1)}
		r.byInstance[instance] = refused
	}
	refused.calls++
	if !refused.lines.Allow() || !r.lines.Allow() {
		return 0
	}
	calls := refused.calls
	refused.calls = 0
	return calls
}

// makeRoom forgets an instance when there are maximumRefused of them, one with few calls that are not reported yet.
// The caller holds the mutex.
func (r *refusals) makeRoom() {
	if len(r.byInstance) < maximumRefused {
		return
	}
	fewest := ""
	for instance, refused := range r.byInstance {
		if fewest == "" || refused.calls < r.byInstance[fewest].calls {
			fewest = instance
		}
	}
	delete(r.byInstance, fewest)
}

// Refusals returns how many calls of workers were refused since the node started, by reason.
func (a *Agent) Refusals() map[RefusalReason]uint64 {
	read := make(map[RefusalReason]uint64, len(a.refusals.counts))
	for reason, count := range a.refusals.counts {
		read[reason] = count.Load()
	}
	return read
}
