package workers

import "strconv"

// Incarnation names one life of a worker: a worker may start again under the instance that it had,
// and then knows nothing of before.
type Incarnation struct {
	Instance string
	// StartedAt is when the life began, in milliseconds of the Unix time by the worker's clock;
	// zero when it is not known.
	StartedAt int64
}

// Same reports whether two names may be of the same life, as far as both tell.
func (l Incarnation) Same(other Incarnation) bool {
	return l.Instance == other.Instance && (l.StartedAt == 0 || other.StartedAt == 0 || l.StartedAt == other.StartedAt)
}

// Before reports whether the life is known to have ended when another one of the same
// instance began.
func (l Incarnation) Before(other Incarnation) bool {
	return l.Instance == other.Instance && l.StartedAt != 0 && l.StartedAt < other.StartedAt
}

// String returns a name that no other life has.
func (l Incarnation) String() string {
	if l.StartedAt == 0 {
		return l.Instance
	}
	return l.Instance + "@" + strconv.FormatInt(l.StartedAt, 10)
}
