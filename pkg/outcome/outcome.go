package outcome

import "net/http"

// The response headers that carry an outcome.
const (
	// Header carries an Outcome. It is absent from a worker's own answer.
	Header = "Levertide-Outcome"
	// ReasonHeader carries a Reason, always beside Header.
	ReasonHeader = "Levertide-Reason"
)

// Outcome says what became of a request.
type Outcome string

// The outcomes.
const (
	// Answered: the worker's own answer follows. The header is left out then.
	Answered Outcome = "answered"
	// NotRun: nothing of the request reached the worker, or the worker itself
	// reported that it did not run it. The caller may send any request again.
	NotRun Outcome = "not-run"
	// Unknown: the request may have run. Only a repeatable request may be sent again.
	Unknown Outcome = "unknown"
)

// FromResponse returns the outcome and the reason that a node put into the
// headers of its response. A response without Header is Answered. A value of
// Header that is not defined here counts as Unknown, which is always safe.
func FromResponse(header http.Header) (Outcome, Reason) {
	values := header[Header]
	if len(values) == 0 {
		return Answered, ""
	}
	reason := Reason(header.Get(ReasonHeader))
	if len(values) == 1 && Outcome(values[0]) == NotRun {
		return NotRun, reason
	}
	return Unknown, reason
}

// RefusedByWorker reports whether a worker's response says that the worker did
// not run the request: status 503 with Header set to NotRun, once.
func RefusedByWorker(status int, header http.Header) bool {
	if status != http.StatusServiceUnavailable {
		return false
	}
	values := header[Header]
	return len(values) == 1 && Outcome(values[0]) == NotRun
}
