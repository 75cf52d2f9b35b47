package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// crashingPrefix begins the paths of crashing requests, which crash each worker that
	// runs them.
	crashingPrefix = safePrefix + "crashing-"
	// crashDelay is how long such a request runs before its worker crashes.
	crashDelay = 20 * time.Millisecond
	// shortestDown and longestDown bound how long a crashed worker stays down.
	shortestDown = 500 * time.Millisecond
	longestDown  = 2 * time.Second
	// shortestRetryPause and longestRetryPause bound the pause after which such a
	// request is sent again, and crashingTime is for how long it is.
	shortestRetryPause = 50 * time.Millisecond
	longestRetryPause  = 400 * time.Millisecond
	crashingTime       = 8 * time.Second
	// toleratedCrashes is how many workers such a request may crash before it must be
	// quarantined, and crashReportTime how long after the last of them it may still reach
	// any number of workers, while the nodes learn of it. Later it may reach no more than
	// toleratedLateRuns.
	toleratedCrashes  = 3
	crashReportTime   = 3 * time.Second
	toleratedLateRuns = 3
)

func isCrashing(path string) bool { return strings.HasPrefix(path, crashingPrefix) }

// crashingRequest counts what one crashing request has done.
type crashingRequest struct {
	crashedWorkers int
	quarantineDue  time.Time // when the last tolerated crash happened
	lateRuns       int       // runs later than crashReportTime after that
}

// recordCrashingRun records that a worker has begun a request that will crash it.
func (l *ledger) recordCrashingRun(path string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c, known := l.crashing[path]
	if !known {
		c = &crashingRequest{}
		l.crashing[path] = c
	}
	if c.quarantineDue.IsZero() || now.Sub(c.quarantineDue) < crashReportTime {
		return
	}
	if c.lateRuns++; c.lateRuns > toleratedLateRuns {
		l.violate("request %s reached workers %d times, %v after it had crashed %d; %d have ended in all",
			path, c.lateRuns, now.Sub(c.quarantineDue), toleratedCrashes, c.crashedWorkers)
	}
}

// recordCrash records that a worker has crashed under a crashing request.
func (l *ledger) recordCrash(path string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.report.Crashes++
	c, known := l.crashing[path]
	if !known {
		c = &crashingRequest{}
		l.crashing[path] = c
	}
	if c.crashedWorkers++; c.crashedWorkers == toleratedCrashes {
		c.quarantineDue = now
	}
}

// crash ends the worker as a fault of its own program would. It returns false if the worker
// has crashed before.
func (w *worker) crash() bool {
	if !w.crashed.CompareAndSwap(false, true) {
		return false
	}
	w.end()
	_ = w.server.Close()
	return true
}

// sendCrashing sends a new crashing request again and again, each time to a random machine,
// for the given duration.
func (f *faults) sendCrashing(ctx context.Context, duration time.Duration) {
	f.requests++
	name := fmt.Sprintf("%d-%d", f.options.Seed, f.requests)
	random := rand.New(rand.NewPCG(f.options.Seed, uint64(f.requests)))
	f.options.Log("request that crashes its workers: %s%s", crashingPrefix, name)
	f.running.Go(func() {
		client := newClient(f.options.Network.Callers(), 2*callBound)
		defer client.CloseIdleConnections()
		bounded, cancel := context.WithTimeout(ctx, duration)
		defer cancel()
		for number := 0; bounded.Err() == nil; number++ {
			id := fmt.Sprintf("crashing-%s-%d", name, number)
			f.ledger.recordCall(id, true)
			m := f.machines[random.IntN(len(f.machines))]
			status, body, err := send(context.WithoutCancel(ctx), client, m, http.MethodGet, crashingPrefix+name, id)
			if err != nil {
				status = 0
			}
			f.ledger.recordCrashingOutcome(id, status, body)
			wait(bounded, shortestRetryPause+time.Duration(random.Int64N(int64(longestRetryPause-shortestRetryPause))))
		}
	})
}

// recordCrashingOutcome records the outcome that the caller of a crashing request was
// given.
func (l *ledger) recordCrashingOutcome(id string, status int, body string) {
	if status == statusQuarantined {
		l.count(&l.report.Quarantined)
		return
	}
	l.recordOutcome(id, status, body)
}

// restartCrashedLater starts the next incarnation of a crashed worker, after a random time.
func (f *faults) restartCrashedLater(m *machine) {
	f.mutex.Lock()
	down := shortestDown + time.Duration(f.downtimes.Int64N(int64(longestDown-shortestDown)))
	f.mutex.Unlock()
	f.running.Go(func() {
		time.Sleep(down)
		for !f.onMachine(m, "restart of the worker", func() { f.restartCrashed(m) }) {
			time.Sleep(settleInterval)
		}
	})
}

// restartCrashed starts the next incarnation of a crashed worker, unless another fault has
// replaced it already.
func (f *faults) restartCrashed(m *machine) {
	if m.worker.crashed.Load() {
		_, err := m.startNextWorker()
		f.recordError(err)
	}
}
