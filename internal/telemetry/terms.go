package telemetry

import (
	"sync"

	"golang.org/x/time/rate"

	"github.com/levertide/levertide/pkg/workers"
)

const (
	// termsLinesPerSecond and termsLinesBurst bound the log lines on workers that change their
	// limit, and unreadableLinesPerSecond and unreadableLinesBurst those on limits that cannot be
	// read: a worker may do either in each answer.
	termsLinesPerSecond      = 10
	termsLinesBurst          = 100
	unreadableLinesPerSecond = 0.2
	unreadableLinesBurst     = 5
)

// WorkerLimitChanged records a limit that a worker names, or that it names none any more.
func (l *Log) WorkerLimitChanged(change workers.TermsChange) {
	end(l.begin(eventWorkerLimit).Str("instance", change.Instance).Str("service", change.Service).Str("limit", change.Terms.Limit.String()).
		Str("source", change.Source).Int64("age_milliseconds", change.Age.Milliseconds()))
}

// WorkerLeaving records that a worker states that it leaves.
func (l *Log) WorkerLeaving(change workers.TermsChange) {
	end(l.begin(eventWorkerLeaving).Str("instance", change.Instance).Str("service", change.Service).Str("source", change.Source))
}

// WorkerLimitUnreadable records that a worker names a limit that cannot be read.
func (l *Log) WorkerLimitUnreadable(instance string, err error) {
	end(l.begin(eventLimitUnreadable).Str("instance", bounded(instance)).Str(fieldError, errorText(err)))
}

// termsLog writes the events on the terms of workers, within bounds. It is safe for concurrent use.
type termsLog struct {
	log             *Log
	changeLines     *rate.Limiter
	unreadableLines *rate.Limiter

	mu sync.Mutex
	// known holds the terms of each worker that were logged last and are not the usual ones.
	known map[string]workers.Terms
}

func newTermsLog(log *Log) *termsLog {
	return &termsLog{
		log:             log,
		changeLines:     rate.NewLimiter(termsLinesPerSecond, termsLinesBurst),
		unreadableLines: rate.NewLimiter(unreadableLinesPerSecond, unreadableLinesBurst),
		known:           map[string]workers.Terms{},
	}
}

// TermsChanged logs what differs from the terms of the worker that were logged last.
func (t *termsLog) TermsChanged(change workers.TermsChange) {
	t.mu.Lock()
	before := t.known[change.Instance]
	if change.Terms == (workers.Terms{}) {
		delete(t.known, change.Instance)
	} else {
		t.known[change.Instance] = change.Terms
	}
	t.mu.Unlock()
	if before.Limit != change.Terms.Limit && t.changeLines.Allow() {
		t.log.WorkerLimitChanged(change)
	}
	if !before.Leaving && change.Terms.Leaving && t.changeLines.Allow() {
		t.log.WorkerLeaving(change)
	}
}

// LimitUnreadable logs a limit that cannot be read.
func (t *termsLog) LimitUnreadable(instance string, err error) {
	if t.unreadableLines.Allow() {
		t.log.WorkerLimitUnreadable(instance, err)
	}
}
