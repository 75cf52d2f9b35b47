package workers

import "strconv"

// Incarnation identifies one run of a worker process. A worker may restart under the same
// instance name, and then has no state from its previous run.
type Incarnation struct {
	Instance string
	// StartedAt is the start time of the process, in Unix milliseconds by the worker's clock;
	// zero when it is not known.
	StartedAt int64
}

// Same reports whether both may be the same incarnation. An unknown start time
// matches any.
func (i Incarnation) Same(other Incarnation) bool {
	return i.Instance == other.Instance && (i.StartedAt == 0 || other.StartedAt == 0 || i.StartedAt == other.StartedAt)
}

// String returns a name that is unique to the incarnation.
func (i Incarnation) String() string {
	if i.StartedAt == 0 {
		return i.Instance
	}
	return i.Instance + "@" + strconv.FormatInt(i.StartedAt, 10)
}
