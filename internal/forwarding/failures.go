package forwarding

import (
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/levertide/levertide/pkg/outcome"
)

const (
	// failureWeight is the weight of one more request in the share that fails.
	failureWeight = 0.1
	// failureMemory is the time after which a share that is not observed any more
	// has fallen to 1/e: a worker that is left alone is tried again.
	failureMemory = 2 * time.Second
)

// failureShare is the share of requests that fail at a worker lately. The zero value
// is a worker that none has failed at.
type failureShare struct {
	mu       sync.Mutex
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

// now returns the share at a moment.
func (f *failureShare) now(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.at(now)
}

// at returns the share at a moment. The mutex is held.
func (f *failureShare) at(now time.Time) float64 {
	if f.share == 0 {
		return 0
	}
	return f.share * math.Exp(-float64(now.Sub(f.observed))/float64(failureMemory))
}

// failedAtWorker reports whether what became of a request speaks against the worker:
// it broke off, said nothing in time, turned the request away although it had a slot,
// or answered with a fault of its own.
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
