package hosted

import (
	"fmt"
	"testing"

	"github.com/levertide/levertide/pkg/workers"
)

// entryLines records the lines on entries that were not written by a node.
type entryLines struct {
	discardEvents
	reasons []string
	entries uint64
}

func (l *entryLines) EntryRejected(_ string, err error, entries uint64) {
	l.reasons = append(l.reasons, err.Error())
	l.entries += entries
}

// TestRejectedHeartbeatsDoNotHideRejectedEntries guards against a log that does not tell of odd entries while
// odd heartbeats come.
func TestRejectedHeartbeatsDoNotHideRejectedEntries(t *testing.T) {
	lines := &entryLines{}
	a := New(Config{Events: lines, Source: struct{ Source }{}, Directory: struct{ Directory }{}})
	for i := range 2 * refusalLineBurst {
		a.Reject(fmt.Sprint("i", i), workers.ErrInvalid.New("odd"))
	}
	const odd = 7
	for range odd {
		a.rejectEntry("a", ErrInvalidEntry.New("odd"))
	}
	if len(lines.reasons) == 0 || len(lines.reasons) > rejectionLogBurst {
		t.Fatalf("lines %q", lines.reasons)
	}
	if left := a.entries.unlogged.Load(); lines.entries+left != odd {
		t.Errorf("%d entries in lines and %d left, of %d", lines.entries, left, odd)
	}
}
