package workers

import (
	"strconv"
	"strings"
	"time"
)

const (
	// longestLimit bounds the text of a limit, in bytes: longer texts are no numbers that a worker
	// would send, and reading them costs time on the path of calls.
	longestLimit = 32
	// longestToldLimit bounds the text by which nodes tell each other a limit: String may need more
	// bytes for a number than the worker did.
	longestToldLimit = 2 * longestLimit
)

// Limit is how many requests a worker takes from all nodes together. The zero value stands for no
// limit.
type Limit struct {
	// PerSecond is the number of requests per second; zero when the worker takes none at present.
	PerSecond float64
	// Set is true when there is a limit. It distinguishes a limit of zero from none.
	Set bool
}

// Below reports whether the limit allows less than another one.
func (l Limit) Below(other Limit) bool {
	return l.Set && (!other.Set || l.PerSecond < other.PerSecond)
}

// String formats the limit for logs and messages, as a decimal number; empty when there is none.
func (l Limit) String() string {
	if !l.Set {
		return ""
	}
	return strconv.FormatFloat(l.PerSecond, 'f', -1, 64)
}

// ParseLimit parses the values of the header in which a worker names its limit: one decimal number, digits
// with at most one point among them. No values mean no limit. Other programs may write the header, too, so anything else
// is an ErrInvalid, and must neither set nor end a limit.
func ParseLimit(values []string) (Limit, error) {
	if len(values) == 0 {
		return Limit{}, nil
	}
	if len(values) > 1 {
		return Limit{}, ErrInvalid.New("a limit is named %d times", len(values))
	}
	text := values[0]
	if len(text) > longestLimit {
		return Limit{}, ErrInvalid.New("a limit has %d bytes", len(text))
	}
	return parseDecimal(text)
}

// parseDecimal parses a limit of digits with at most one point among them. The names of infinities, signs,
// exponents and other bases, which ParseFloat accepts, are refused.
func parseDecimal(text string) (Limit, error) {
	whole, part, _ := strings.Cut(text, ".")
	if whole+part == "" || !isDigits(whole) || !isDigits(part) {
		return Limit{}, ErrInvalid.New("limit %q is no decimal number", text)
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return Limit{}, ErrInvalid.New("limit %q is no number of requests", text)
	}
	return Limit{PerSecond: number, Set: true}, nil
}

// isDigits reports whether a text has decimal digits only; true for an empty one.
func isDigits(text string) bool { return strings.Trim(text, "0123456789") == "" }

// Terms are what a worker states in an answer about the requests that it takes.
type Terms struct {
	Limit Limit
	// Leaving is set when the worker takes no new requests.
	Leaving bool
	// LimitUnreadable is set when the answer names a limit that cannot be parsed; Limit is not
	// valid then.
	LimitUnreadable bool
}

// TermsTracker keeps the terms of one incarnation of a worker. It accepts answers in any order. It
// is not safe for concurrent use.
type TermsTracker struct {
	terms Terms
	// statedAt is when the limit was last stated, leftAt when the worker last stated that it leaves.
	statedAt, leftAt time.Time
	// heard is set once an answer of the worker was observed.
	heard bool
}

// Observe records the terms of an answer that arrived now, to a request that was sent at sentAt. It
// reports whether the known terms have changed.
//
// Stricter terms count at once. A higher limit, or none, counts only from an answer to a request
// that was sent after the known limit was stated: other answers may have set out before it was. The
// same holds for a worker that states no more that it leaves.
func (t *TermsTracker) Observe(stated Terms, sentAt, now time.Time) (changed bool) {
	before := t.terms
	t.heard = true
	stale := t.terms.Limit.Below(stated.Limit) && !sentAt.After(t.statedAt)
	if !stated.LimitUnreadable && !stale {
		t.terms.Limit, t.statedAt = stated.Limit, now
	}
	switch {
	case stated.Leaving:
		t.terms.Leaving, t.leftAt = true, now
	case sentAt.After(t.leftAt):
		t.terms.Leaving = false
	}
	return t.terms != before
}

// Adopt records terms that another node has learned, at learnedAt. Answers of the worker itself
// count more: once one was observed, nothing is adopted. It reports whether the known terms have
// changed.
func (t *TermsTracker) Adopt(told Terms, learnedAt time.Time) (changed bool) {
	if t.heard {
		return false
	}
	before := t.terms
	if told.Limit.Set && (!t.terms.Limit.Set || learnedAt.After(t.statedAt)) {
		t.terms.Limit, t.statedAt = told.Limit, learnedAt
	}
	if told.Leaving {
		t.terms.Leaving, t.leftAt = true, learnedAt
	}
	return t.terms != before
}

// Terms returns the known terms.
func (t *TermsTracker) Terms() Terms { return t.terms }

// StatedAt returns when the limit was last stated; zero when no answer was observed.
func (t *TermsTracker) StatedAt() time.Time { return t.statedAt }
