package telemetry

import (
	"sync"
	"time"

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
func (l *Log) WorkerLimitChanged(service, instance string, limit workers.Limit, source string, age time.Duration) {
	end(l.begin(eventWorkerLimit).Str("instance", instance).Str("service", service).Str("limit", limit.String()).
		Str("source", source).Int64("age_milliseconds", age.Milliseconds()))
}

// WorkerLeaving records that a worker states that it leaves.
func (l *Log) WorkerLeaving(service, instance, source string) {
	end(l.begin(eventWorkerLeaving).Str("instance", instance).Str("service", service).Str("source", source))
}

// WorkerLimitUnreadable records that a worker names a limit that cannot be read.
func (l *Log) WorkerLimitUnreadable(instance string, err error) {
	end(l.begin(eventLimitUnreadable).Str("instance", instance).Str(fieldError, err.Error()))
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

// changed logs what differs from the terms of the worker that were logged last.
func (t *termsLog) changed(service, instance string, terms workers.Terms, source string, age time.Duration) {
	t.mu.Lock()
	before := t.known[instance]
	if terms == (workers.Terms{}) {
		delete(t.known, instance)
	} else {
		t.known[instance] = terms
	}
	t.mu.Unlock()
	if before.Limit != terms.Limit && t.changeLines.Allow() {
		t.log.WorkerLimitChanged(service, instance, terms.Limit, source, age)
	}
	if !before.Leaving && terms.Leaving && t.changeLines.Allow() {
		t.log.WorkerLeaving(service, instance, source)
	}
}

// unreadable logs a limit that cannot be read.
func (t *termsLog) unreadable(instance string, err error) {
	if t.unreadableLines.Allow() {
		t.log.WorkerLimitUnreadable(instance, err)
	}
}
