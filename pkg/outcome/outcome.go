// Package outcome defines what a caller can be told about a request: a small
// set of values, the header that carries them, and the errors that stand for them.
package outcome

// Header is the response header that carries an Outcome.
const Header = "Levertide-Outcome"

// Outcome says what became of a request.
type Outcome string

// The outcomes.
const (
	// Answered: the worker's own answer follows. The header is left out then.
	Answered Outcome = "answered"
	// NotRun: nothing of the request reached the worker, or the worker itself
	// said that it did not run it. The caller may send any request again.
	NotRun Outcome = "not-run"
	// Unknown: the request may have run. Only a repeatable request may be sent again.
	Unknown Outcome = "unknown"
)
