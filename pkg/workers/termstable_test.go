package workers

import (
	"strconv"
	"testing"
	"time"
)

func TestNewsOfTermsAreParsedAsTheyWereEncoded(t *testing.T) {
	for _, news := range []TermsNews{
		{},
		{Terms: limited(5.5), Age: 3 * time.Second, NextStart: 180 * time.Millisecond},
		{Terms: limited(0), NextStart: 10 * time.Second},
		{Terms: Terms{Leaving: true}, Age: time.Microsecond},
	} {
		if parsed, ok := ParseTermsNews([]string{news.Encode()}); !ok || parsed != news {
			t.Errorf("%+v is parsed as %+v, %v", news, parsed, ok)
		}
	}
	for _, values := range [][]string{nil, {""}, {"5"}, {"5,,1,2", "5,,1,2"}, {"NaN,,1,2"}, {"5,,-1,2"}, {"5,,1,-2"}, {"5,,1,99999999999999999"}, {"5,,x,2"}, {"5,,1,2,3"}} {
		if parsed, ok := ParseTermsNews(values); ok {
			t.Errorf("%q is parsed as %+v", values, parsed)
		}
	}
}

func TestIntervalOfLimits(t *testing.T) {
	for limit, want := range map[Limit]time.Duration{
		{}: 0, {Set: true}: longestInterval, {Set: true, PerSecond: 4}: 250 * time.Millisecond, {Set: true, PerSecond: 1e300}: 1,
		{Set: true, PerSecond: 1e-300}: longestInterval,
	} {
		if got := limit.Interval(); got != want {
			t.Errorf("%+v: %v, want %v", limit, got, want)
		}
	}
}

// TestTableKeepsOneIncarnation records terms of a worker that then starts again under its instance.
func TestTableKeepsOneIncarnation(t *testing.T) {
	var table TermsTable
	first, next := Incarnation{Instance: "w", StartedAt: 100}, Incarnation{Instance: "w", StartedAt: 200}
	if _, changed := table.Observe(first, Terms{}, at(0), at(1)); changed {
		t.Error("nothing is a change")
	}
	table.Observe(first, Terms{Leaving: true}, at(2), at(3))
	if !table.Leaving(first, at(4)) || table.Leaving(next, at(4)) {
		t.Error("the next incarnation is taken for the one that leaves")
	}
	table.Observe(next, limited(5), at(5), at(6))
	if news, known := table.Of(next, at(16)); !known || news.Terms != limited(5) || news.Age != 10*time.Millisecond {
		t.Errorf("%+v, %v", news, known)
	}
	table.Observe(next, Terms{}, at(20), at(21))
	if news, known := table.Of(next, at(22)); known {
		t.Errorf("after the end of the limit: %+v", news)
	}
}

func TestWorkerWithoutAKnownStartIsNotLeftOutForEver(t *testing.T) {
	var table TermsTable
	unknown := Incarnation{Instance: "w"}
	table.Observe(unknown, Terms{Leaving: true}, at(0), at(1))
	if !table.Leaving(unknown, at(1).Add(leavingRetention-time.Second)) || table.Leaving(unknown, at(1).Add(leavingRetention)) {
		t.Error("left out for too short or too long")
	}
}

func TestTableIsBounded(t *testing.T) {
	var table TermsTable
	for n := range maximumKnownTerms + 10 {
		table.Observe(Incarnation{Instance: strconv.Itoa(n)}, limited(5), at(n), at(n))
	}
	if count := table.count.Load(); count != maximumKnownTerms {
		t.Errorf("%d workers are kept", count)
	}
	if _, known := table.Of(Incarnation{Instance: "0"}, at(0)); known {
		t.Error("the oldest is kept")
	}
}
