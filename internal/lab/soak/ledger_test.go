package soak

import (
	"strings"
	"testing"
	"time"
)

// TestLedgerCatchesEachBrokenPromise enters what must never happen and expects
// each to be told.
func TestLedgerCatchesEachBrokenPromise(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		enter func(l *ledger)
		want  string
	}{
		"run twice":         {func(l *ledger) { l.began("a", false); l.ran("a", "w", now); l.ran("a", "w", now) }, "ran 2 times"},
		"run unasked":       {func(l *ledger) { l.ran("a", "w", now) }, "no caller sent"},
		"run after refusal": {func(l *ledger) { l.began("a", true); l.told("a", statusRefused, ""); l.ran("a", "w", now) }, "told that it would not"},
		"refused after run": {func(l *ledger) { l.began("a", true); l.ran("a", "w", now); l.told("a", statusRefused, "") }, "told not to have run"},
		"another's answer":  {func(l *ledger) { l.began("a", true); l.ran("a", "w", now); l.told("a", statusServed, answerTo("b")) }, "was answered with"},
		"never ran":         {func(l *ledger) { l.began("a", true); l.told("a", statusServed, answerTo("a")) }, "never ran"},
		"work after leave": {func(l *ledger) {
			l.began("a", true)
			l.acknowledged("w", now)
			l.ran("a", "w", now.Add(promiseSlack+time.Millisecond))
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
	l.began("repeatable", true)
	l.ran("repeatable", "w", now)
	l.ran("repeatable", "w", now)
	l.told("repeatable", statusServed, answerTo("repeatable"))
	l.began("refused", false)
	l.told("refused", statusRefused, "")
	l.began("unknown", false)
	l.ran("unknown", "w", now)
	l.told("unknown", 0, "")
	l.acknowledged("w", now)
	l.began("on its way", false)
	l.ran("on its way", "w", now.Add(promiseSlack/2))
	if violations := l.result().Violations; len(violations) != 0 {
		t.Errorf("violations %q", violations)
	}
}
