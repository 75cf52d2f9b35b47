package soak

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maximumViolations bounds how many violations are recorded.
	maximumViolations = 20
	// drainSlack is how long after the acknowledgement of a drain a request that was already on
	// its way may still arrive.
	drainSlack = 2 * time.Second
	// timeSlack is by how much the deadline that a later worker is given may exceed that
	// of the first worker.
	timeSlack = 500 * time.Millisecond
)

// ledger records the outcomes that callers were given and the requests that workers ran,
// and checks them against the rules that must always hold.
type ledger struct {
	mutex      sync.Mutex
	report     Report
	runs       map[string]int
	refused    map[string]bool
	repeatable map[string]bool
	// bodies holds the lengths of bodies, by request.
	bodies map[string]int64
	// disturbedAt is when the last suspension or cut of a machine ended. Requests sent to it
	// before that arrive later, with the time limit that was left when they were sent.
	disturbedAt time.Time
	// firstDeadlines holds the deadlines that the first worker was given, by request.
	firstDeadlines map[string]time.Time
	// odd holds the versions that make nodes panic.
	odd map[uint64]bool
	// drainCommitted holds when a worker's drain was acknowledged, by worker.
	drainCommitted map[string]time.Time
	// crashing holds the crashing requests, by path.
	crashing map[string]*crashingRequest
	// terms checks the limits that workers name, and that they leave by their answers.
	terms *termsLedger
}

func newLedger(seed uint64) *ledger {
	return &ledger{
		report: Report{Seed: seed, Violations: []string{}},
		runs:   map[string]int{}, refused: map[string]bool{}, repeatable: map[string]bool{}, bodies: map[string]int64{}, odd: map[uint64]bool{},
		firstDeadlines: map[string]time.Time{},
		drainCommitted: map[string]time.Time{}, crashing: map[string]*crashingRequest{}, terms: newTermsLedger(),
	}
}

// violate records a violation. The caller must hold the mutex.
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
	if _, before := l.repeatable[id]; before {
		l.violate("two calls have the id %s", id)
	}
	l.repeatable[id] = repeatable
}

// recordDisturbance records that a machine was suspended or cut off until now.
func (l *ledger) recordDisturbance(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.disturbedAt = now
}

// recordTimeLimit records the time limit that a worker was given for a request, in
// milliseconds. No worker may be given a later deadline than the first one: a node counts
// the time from when it has read the request, which the limit of the first worker shows.
func (l *ledger) recordTimeLimit(id, milliseconds string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count, err := strconv.ParseInt(milliseconds, 10, 64)
	end := now.Add(time.Duration(count) * time.Millisecond)
	first, again := l.firstDeadlines[id]
	undisturbed := now.Sub(l.disturbedAt) > callBound
	if !again && undisturbed {
		// A machine that believes it was suspended gives a shorter limit, so that limit is
		// no bound for later ones.
		l.firstDeadlines[id] = end
	}
	if err != nil || count > callBound.Milliseconds() || again && undisturbed && end.After(first.Add(timeSlack)) {
		l.violate("a worker was given %q ms for request %s, the first one until %v before", milliseconds, id, end.Sub(first))
	}
}

// recordBody records the length of a request's body, in bytes.
func (l *ledger) recordBody(id string, length int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.bodies[id] = int64(length)
}

// checkBody checks the length of the body that a worker got. Some requests have none recorded.
func (l *ledger) checkBody(id string, length int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if sent, recorded := l.bodies[id]; recorded && sent != length {
		l.violate("request %s, sent with %d bytes, ran with %d", id, sent, length)
	}
}

// countPanics counts panics that the soak has drawn.
func (l *ledger) countPanics(panics int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.report.Panics += panics
}

// recordOdd records that a version makes nodes panic, before it is written.
func (l *ledger) recordOdd(version uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.odd[version] = true
}

// checkInForce checks that a version which a node has in force could be built.
func (l *ledger) checkInForce(node string, version uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.odd[version] {
		l.violate("%s has version %d in force, whose building panics", node, version)
	}
}

// recordRun records that a worker has begun a request.
func (l *ledger) recordRun(id, instance string, now time.Time) {
	violation := l.terms.recordRun(id, instance, now)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if violation != "" {
		l.violate("%s", violation)
	}
	l.report.Runs++
	l.runs[id]++
	repeatable, known := l.repeatable[id]
	switch {
	case !known:
		l.violate("worker %s ran request %s that no caller sent", instance, id)
	case strings.HasPrefix(id, panickingPrefix):
		l.violate("worker %s ran request %s, whose handling panics before it is offered", instance, id)
	case strings.HasPrefix(id, shortPathPrefix):
		l.violate("worker %s ran request %s, whose path no route begins", instance, id)
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

// recordDrainCommitment records that a node has acknowledged the drain of a worker, which
// must get no new requests from then on.
func (l *ledger) recordDrainCommitment(instance string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, before := l.drainCommitted[instance]; !before {
		l.report.DrainCommitments++
		l.drainCommitted[instance] = now
	}
}

// forgetReported forgets the drain commitments and crashing requests, when the nodes have lost
// the records of them that were reported before.
func (l *ledger) forgetReported() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	clear(l.drainCommitted)
	clear(l.crashing)
}

// recordOutcome records the outcome that a caller was given. Status 0 stands for a call
// without a complete response.
func (l *ledger) recordOutcome(id string, status int, body string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if promised(status, body, id, l.repeatable[id]) {
		l.report.Refused++
		l.refused[id] = true
		if l.runs[id] > 0 {
			l.violate("request %s was told not to have run by status %d, and has run", id, status)
		}
		return
	}
	if strings.HasPrefix(id, panickingPrefix) && status != 0 {
		l.violate("request %s, whose handling panics before it is offered, was answered %d", id, status)
	}
	switch status {
	case statusServed:
		l.report.Served++
		if body != answerTo(id) {
			l.violate("request %s was answered with %q", id, body)
		}
		if l.runs[id] == 0 {
			l.violate("request %s was answered and never ran", id)
		}
	case statusUnauthenticated:
		l.report.Unauthenticated++
		l.refused[id] = true
		if !strings.HasPrefix(id, unknownCallerPrefix) || l.runs[id] > 0 {
			l.violate("request %s was refused for its key, after %d runs", id, l.runs[id])
		}
	case statusNoRoute:
		l.report.NoRoute++
		if !strings.HasPrefix(id, shortPathPrefix) && !strings.HasPrefix(id, movingPrefix) {
			l.violate("request %s was refused, as if no route took it", id)
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

// fail records a violation that was found outside the ledger's own checks.
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
