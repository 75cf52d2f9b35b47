package quarantine

import "time"

// Report is one piece of evidence. A report that was handed out is never changed.
type Report struct {
	Fingerprint Fingerprint
	// Instance is the worker that has ended; empty when Answered or Lifted.
	Instance string
	// Level is how many crashes of the request were known one after the other, this
	// one included: the run that ended began when Level-1 were known.
	Level int
	// Answered tells that a worker has answered the request whole.
	Answered bool
	// Lifted tells that an operator has lifted what spoke against the request.
	Lifted bool
	// Age is how long ago that was, when the report was made.
	Age time.Duration
}

// Verdict tells that a request is quarantined.
type Verdict struct {
	Fingerprint Fingerprint
	// Since and Until are times of day: a verdict outlasts all processes, and no other
	// clock does.
	Since, Until time.Time
	// Instances are the workers that have ended, as far as they are known.
	Instances []string
}
