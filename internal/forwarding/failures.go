package forwarding

import (
	"math"
	"net/http"
	"time"

	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/outcome"
)

const (
	// failureWeight is the weight of one more request in the share of failed requests.
	failureWeight = 0.1
	// failureMemory is the time after which a share without further observations has decayed to
	// 1/e, so that a worker that gets no calls is tried again.
	failureMemory = 2 * time.Second
)

// failureShare is the recent share of requests that fail at a worker. The zero value is a worker
// without failures.
type failureShare struct {
	mu       contain.Mutex
	share    float64
	observed time.Time
}

// observe counts one request.
func (f *failureShare) observe(failed bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	share := f.at(now)
	if failed {
		share += failureWeight * (1 - share)
	} else {
		share -= failureWeight * share
	}
	f.share, f.observed = share, now
}

// now returns the share at the given time.
func (f *failureShare) now(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.at(now)
}

// at returns the share at the given time. The mutex must be held.
func (f *failureShare) at(now time.Time) float64 {
	if f.share == 0 {
		return 0
	}
	return f.share * math.Exp(-float64(now.Sub(f.observed))/float64(failureMemory))
}

// failedAtWorker reports whether the result of a request counts as a failure of the worker: it
// broke off, did not answer in time, refused the request although it had a slot, or answered with
// a server error.
func failedAtWorker(result *answer, err error) bool {
	if err == nil {
		return result.status >= http.StatusInternalServerError
	}
	switch outcome.ReasonOf(err) {
	case outcome.Timeout, outcome.ConnectionLost, outcome.WorkerCrashed, outcome.InvalidAnswer, outcome.RefusedByOwnWorker, outcome.Unreachable:
		return true
	}
	return false
}
