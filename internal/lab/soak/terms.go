package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/levertide/levertide/pkg/workers"
)

const (
	// instanceHeader, limitHeader and leavingHeader are written by the soak's workers.
	instanceHeader = "X-Instance"
	limitHeader    = "X-Limit"
	leavingHeader  = "X-Leaving"

	// limitGrace is how long a limit may be exceeded after the worker first named it, limitWindow
	// the window in which requests are counted after that, and toldAfter how long after it has
	// passed on an answer with the limit a machine counts as told.
	limitGrace  = time.Second
	limitWindow = 4 * time.Second
	toldAfter   = 500 * time.Millisecond
	// leastLimit and mostLimit bound the limits, in requests per second; a worker of the soak gets
	// some 60 without one. shortestLimit and longestLimit bound how long one lasts.
	leastLimit    = 1.0
	mostLimit     = 20.0
	shortestLimit = time.Second
	longestLimit  = 5 * time.Second
)

// allowedIn returns how many requests a worker with a limit may get in limitWindow.
func allowedIn(perSecond float64) int { return int(1.5*perSecond*limitWindow.Seconds() + 5) }

// workerTerms reads the terms that workers of the soak state in their answers.
func workerTerms(header http.Header) (workers.Terms, error) {
	limit, err := workers.ParseLimit(header[limitHeader])
	return workers.Terms{Limit: limit, Leaving: header.Get(leavingHeader) != "", LimitUnreadable: err != nil}, err
}

// stateTerms writes the terms of a worker into the header of an answer.
func (w *worker) stateTerms(header http.Header) {
	header.Set(instanceHeader, w.incarnation.String())
	if limit := w.limit.Load(); limit != nil {
		header.Set(limitHeader, limit.String())
	}
	if rand.Uint32N(100) < w.machine.oddAnswerPercent.Load() {
		header.Set(oddHeader, "1")
	}
	if w.leavingByAnswers.Load() {
		header.Set(leavingHeader, "1")
	}
}

// termsLedger checks that no worker gets more than the limit that it names, and nothing that a
// caller has sent to a machine long after that one has passed on that the worker leaves. It is safe
// for concurrent use.
type termsLedger struct {
	mu sync.Mutex
	// origins holds where each request began.
	origins map[string]origin
	// limits are by worker.
	limits map[string]*limitPeriod
	// leavingSince holds when a machine has passed on first that a worker leaves.
	leavingSince map[machineAndWorker]time.Time
}

// origin is where and when a request began.
type origin struct {
	machine string
	sentAt  time.Time
}

type machineAndWorker struct{ machine, worker string }

// limitPeriod is a time in which a worker names one limit.
type limitPeriod struct {
	perSecond float64
	since     time.Time
	// told holds when each machine has passed on an answer with the limit first.
	told map[string]time.Time
	// runs are the requests that began at machines which had been told, in limitWindow.
	runs []time.Time
}

func newTermsLedger() *termsLedger {
	return &termsLedger{origins: map[string]origin{}, limits: map[string]*limitPeriod{}, leavingSince: map[machineAndWorker]time.Time{}}
}

// recordSent records that a request is sent to a machine.
func (l *termsLedger) recordSent(id, machine string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.origins[id] = origin{machine: machine, sentAt: now}
}

// recordAnswer records the header of an answer that a machine has passed on.
func (l *termsLedger) recordAnswer(machine string, header http.Header, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	worker := header.Get(instanceHeader)
	period := l.limits[worker]
	if period != nil && header.Get(limitHeader) == limitOf(period.perSecond).String() {
		if _, before := period.told[machine]; !before {
			period.told[machine] = now
		}
	}
	key := machineAndWorker{machine, worker}
	if _, before := l.leavingSince[key]; !before && header.Get(leavingHeader) != "" {
		l.leavingSince[key] = now
	}
}

func limitOf(perSecond float64) workers.Limit { return workers.Limit{PerSecond: perSecond, Set: true} }

// beginLimit records that a worker names a limit from now on.
func (l *termsLedger) beginLimit(worker string, perSecond float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits[worker] = &limitPeriod{perSecond: perSecond, since: now, told: map[string]time.Time{}}
}

// endLimit records that a worker names no limit any more.
func (l *termsLedger) endLimit(worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.limits, worker)
}

// forget records that a machine's node has started again, and so knows nothing.
func (l *termsLedger) forget(machine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, period := range l.limits {
		delete(period.told, machine)
	}
	for key := range l.leavingSince {
		if key.machine == machine {
			delete(l.leavingSince, key)
		}
	}
}

// recordRun records that a worker has begun a request. It returns the violation that this is; empty
// when it is none.
func (l *termsLedger) recordRun(id, worker string, now time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := l.origins[id]
	if at, told := l.leavingSince[machineAndWorker{from.machine, worker}]; told && from.sentAt.Sub(at) > drainSlack {
		return fmt.Sprintf("worker %s got request %s, sent to %s %v after that had passed on that the worker leaves", worker, id, from.machine, from.sentAt.Sub(at))
	}
	period := l.limits[worker]
	if period == nil {
		return ""
	}
	if at, told := period.told[from.machine]; !told || now.Sub(at) < toldAfter {
		return ""
	}
	return period.recordRun(worker, now)
}

func (p *limitPeriod) recordRun(worker string, now time.Time) string {
	p.runs = append(p.runs, now)
	for now.Sub(p.runs[0]) >= limitWindow {
		p.runs = p.runs[1:]
	}
	if now.Sub(p.since) < limitGrace || len(p.runs) <= allowedIn(p.perSecond) {
		return ""
	}
	return fmt.Sprintf("worker %s, with a limit of %v a second, got %d requests in %v from machines that knew it, allowed %d",
		worker, p.perSecond, len(p.runs), limitWindow, allowedIn(p.perSecond))
}

// limitWorker has a worker name one to three limits, one after the other.
func (f *faults) limitWorker(ctx context.Context, m *machine) {
	limited, random := m.currentWorker(), rand.New(rand.NewPCG(f.random.Uint64(), 0))
	f.options.Log("%s: worker %s names limits", m.id, limited.incarnation)
	f.running.Go(func() {
		for range 1 + random.IntN(3) {
			limit := limitOf(leastLimit + (mostLimit-leastLimit)*random.Float64()*random.Float64())
			f.ledger.terms.beginLimit(limited.incarnation.String(), limit.PerSecond, time.Now())
			f.ledger.count(&f.ledger.report.Limits)
			limited.limit.Store(&limit)
			wait(ctx, shortestLimit+time.Duration(random.Int64N(int64(longestLimit-shortestLimit))))
		}
		f.ledger.terms.endLimit(limited.incarnation.String())
		limited.limit.Store(nil)
	})
}

// leaveByAnswers has a worker leave whose heartbeats say until its end that it serves.
func (f *faults) leaveByAnswers(ctx context.Context, m *machine) {
	m.worker.leavingByAnswers.Store(true)
	wait(ctx, drainSlack+lateHeartbeats*heartbeatInterval)
	m.worker.kill()
	_, err := m.startNextWorker()
	f.recordError(err)
}
