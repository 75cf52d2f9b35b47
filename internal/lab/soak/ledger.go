package soak

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maximumViolations bounds how many violations are kept.
	maximumViolations = 20
	// drainSlack is how long after an acknowledged leave a request that was on
	// its way may still arrive.
	drainSlack = 2 * time.Second
	// timeSlack is by how much a further worker may be given time for longer than the
	// first.
	timeSlack = 500 * time.Millisecond
)

// ledger is what callers were told and what workers ran.
type ledger struct {
	mutex      sync.Mutex
	report     Report
	runs       map[string]int
	refused    map[string]bool
	repeatable map[string]bool
	// disturbedAt is until when a machine was suspended or cut off last: what had been sent to it
	// came later, with the time that was left when it was sent.
	disturbedAt time.Time
	// firstDeadlines is until when the first worker was given a request.
	firstDeadlines map[string]time.Time
	// drainCommitted is when a worker's leave was acknowledged.
	drainCommitted map[string]time.Time
	// crashing are the requests that crash their workers, by path.
	crashing map[string]*crashingRequest
}

func newLedger(seed uint64) *ledger {
	return &ledger{
		report: Report{Seed: seed, Violations: []string{}},
		runs:   map[string]int{}, refused: map[string]bool{}, repeatable: map[string]bool{},
		firstDeadlines: map[string]time.Time{},
		drainCommitted: map[string]time.Time{}, crashing: map[string]*crashingRequest{},
	}
}

// violate records a violation. The mutex is held.
func (l *ledger) violate(format string, arguments ...any) {
	if len(l.report.Violations) < maximumViolations {
		l.report.Violations = append(l.report.Violations, fmt.Sprintf(format, arguments...))
	}
}

// recordCall records that a caller sends a request.
func (l *ledger) recordCall(id string, repeatable bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.report.Calls++
	l.repeatable[id] = repeatable
}

// recordDisturbance records that a machine was suspended or cut off until now.
func (l *ledger) recordDisturbance(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.disturbedAt = now
}

// recordTimeLimit records the time that a worker was recordTimeLimit for a request, in milliseconds. A node
// counts from when it has read the request, which the first worker's time shows.
func (l *ledger) recordTimeLimit(id, milliseconds string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count, err := strconv.ParseInt(milliseconds, 10, 64)
	end := now.Add(time.Duration(count) * time.Millisecond)
	first, again := l.firstDeadlines[id]
	undisturbed := now.Sub(l.disturbedAt) > callBound
	if !again && undisturbed {
		// A machine that takes itself to have been suspended gives less.
		l.firstDeadlines[id] = end
	}
	if err != nil || count > callBound.Milliseconds() || again && undisturbed && end.After(first.Add(timeSlack)) {
		l.violate("a worker was given %q ms for request %s, the first one until %v before", milliseconds, id, end.Sub(first))
	}
}

// recordRun records that a worker has begun a request.
func (l *ledger) recordRun(id, instance string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.report.Runs++
	l.runs[id]++
	repeatable, known := l.repeatable[id]
	switch {
	case !known:
		l.violate("worker %s ran request %s that no caller sent", instance, id)
	case !repeatable && l.runs[id] > 1:
		l.violate("unrepeatable request %s ran %d times", id, l.runs[id])
	}
	if l.refused[id] {
		l.violate("request %s ran after its caller was told that it would not", id)
	}
	if at, leaving := l.drainCommitted[instance]; leaving && now.Sub(at) > drainSlack {
		l.violate("worker %s got request %s %v after its leave was acknowledged", instance, id, now.Sub(at))
	}
}

// recordDrainCommitment records that a worker was told that it gets nothing new.
func (l *ledger) recordDrainCommitment(instance string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, before := l.drainCommitted[instance]; !before {
		l.report.DrainCommitments++
		l.drainCommitted[instance] = now
	}
}

// forgetReported forgets what nodes were told before, and nobody knows any more: promises, and which
// requests crash their workers.
func (l *ledger) forgetReported() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	clear(l.drainCommitted)
	clear(l.crashing)
}

// recordOutcome records what a caller was recordOutcome.
func (l *ledger) recordOutcome(id string, status int, body string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch status {
	case statusServed:
		l.report.Served++
		if body != answerTo(id) {
			l.violate("request %s was answered with %q", id, body)
		}
		if l.runs[id] == 0 {
			l.violate("request %s was answered and never ran", id)
		}
	case statusRefused:
		l.report.Refused++
		l.refused[id] = true
		if l.runs[id] > 0 {
			l.violate("request %s was told not to have run, and has run", id)
		}
	case statusUnauthenticated:
		l.report.Unauthenticated++
		l.refused[id] = true
		if !strings.HasPrefix(id, unknownCallerPrefix) || l.runs[id] > 0 {
			l.violate("request %s was refused for its key, after %d runs", id, l.runs[id])
		}
	case statusQuarantined:
		l.report.QuarantinedWrongly++
		l.violate("request %s was taken for one that crashes its workers", id)
	default:
		l.report.Unknown++
	}
}

func (l *ledger) countFault()    { l.count(&l.report.Faults) }
func (l *ledger) countDocument() { l.count(&l.report.Documents) }

func (l *ledger) count(counter *int) {
	l.mutex.Lock()
	*counter++
	l.mutex.Unlock()
}

// fail records a violation that the run as a whole has shown.
func (l *ledger) fail(format string, arguments ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.violate(format, arguments...)
}

func (l *ledger) result() Report {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.report
}
