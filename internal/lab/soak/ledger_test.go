package soak

import (
	"strings"
	"testing"
	"time"
)

// TestLedgerDetectsEachViolation records, one at a time, the events that must never
// happen, and expects one violation for each.
func TestLedgerDetectsEachViolation(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		enter func(l *ledger)
		want  string
	}{
		"run twice":   {func(l *ledger) { l.recordCall("a", false); l.recordRun("a", "w", now); l.recordRun("a", "w", now) }, "ran 2 times"},
		"run unasked": {func(l *ledger) { l.recordRun("a", "w", now) }, "no caller sent"},
		"run after refusal": {func(l *ledger) {
			l.recordCall("a", true)
			l.recordOutcome("a", statusRefused, "")
			l.recordRun("a", "w", now)
		}, "told that it would not"},
		"refused after run": {func(l *ledger) {
			l.recordCall("a", true)
			l.recordRun("a", "w", now)
			l.recordOutcome("a", statusRefused, "")
		}, "told not to have run"},
		"another's answer": {func(l *ledger) {
			l.recordCall("a", true)
			l.recordRun("a", "w", now)
			l.recordOutcome("a", statusServed, answerTo("b"))
		}, "was answered with"},
		"never ran": {func(l *ledger) { l.recordCall("a", true); l.recordOutcome("a", statusServed, answerTo("a")) }, "never ran"},
		"work after leave": {func(l *ledger) {
			l.recordCall("a", true)
			l.recordDrainCommitment("w", now)
			l.recordRun("a", "w", now.Add(drainSlack+time.Millisecond))
		}, "after its leave was acknowledged"},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger(1)
			test.enter(l)
			if violations := l.result().Violations; len(violations) != 1 || !strings.Contains(violations[0], test.want) {
				t.Errorf("violations %q", violations)
			}
		})
	}
}

func TestLedgerAcceptsWhatMayHappen(t *testing.T) {
	l, now := newLedger(1), time.Unix(1000, 0)
	l.recordCall("repeatable", true)
	l.recordRun("repeatable", "w", now)
	l.recordRun("repeatable", "w", now)
	l.recordOutcome("repeatable", statusServed, answerTo("repeatable"))
	l.recordCall("refused", false)
	l.recordOutcome("refused", statusRefused, "")
	l.recordCall("unknown", false)
	l.recordRun("unknown", "w", now)
	l.recordOutcome("unknown", 0, "")
	l.recordDrainCommitment("w", now)
	l.recordCall("on its way", false)
	l.recordRun("on its way", "w", now.Add(drainSlack/2))
	if violations := l.result().Violations; len(violations) != 0 {
		t.Errorf("violations %q", violations)
	}
}
