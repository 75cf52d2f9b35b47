package hosted

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

// rejectedEntries limits the log lines on entries that were not written by a node. It is safe for
// concurrent use.
type rejectedEntries struct {
	lines *rate.Limiter
	// unlogged counts the entries since the last line.
	unlogged atomic.Uint64
}

func newRejectedEntries() *rejectedEntries {
	return &rejectedEntries{lines: rate.NewLimiter(rejectionLogRate, rejectionLogBurst)}
}

// rejectEntry records an entry in the store that was not written by a node, and why.
func (a *Agent) rejectEntry(id string, err error) {
	a.documents.restores.rejected.Add(1)
	a.entries.unlogged.Add(1)
	if a.entries.lines.Allow() {
		a.config.Events.EntryRejected(shortened(id), err, a.entries.unlogged.Swap(0))
	}
}

// shortened returns the part of a text of others that is logged.
func shortened(text string) string { return text[:min(len(text), longestLoggedName)] }
