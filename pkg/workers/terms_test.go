package workers

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"pgregory.net/rapid"
)

func TestLimitIsOneDecimalNumber(t *testing.T) {
	for text, want := range map[string]float64{"5.5": 5.5, "0": 0, "12": 12, "0.25": 0.25, ".5": 0.5, "5.": 5, "1000": 1000, "007": 7, "0.000000001": 1e-9} {
		if limit, err := ParseLimit([]string{text}); err != nil || limit != (Limit{PerSecond: want, Set: true}) {
			t.Errorf("%q: %+v, %v", text, limit, err)
		}
	}
	if limit, err := ParseLimit(nil); err != nil || limit.Set {
		t.Errorf("without a header: %+v, %v", limit, err)
	}
	for _, values := range [][]string{
		{""}, {"-1"}, {"-0"}, {"NaN"}, {"Inf"}, {"+Inf"}, {"1e400"}, {"0x1p3"}, {"1_0"}, {"5,6"}, {"5;q=1"}, {" 5"}, {"5", "6"}, {"5", "5"},
		{"five"}, {".."}, {"e"}, {"."}, {"1.2.3"}, {"+5"}, {"5-"}, {"1e3"}, {"1e-320"}, {"5E0"}, {"1e-3"}, {"infinity"}, {"٥"}, {strings.Repeat("0", 32) + "1"},
		{strings.Repeat("9", 1<<20)},
	} {
		limit, err := ParseLimit(values)
		if !errorx.IsOfType(err, ErrInvalid) || limit.Set {
			t.Errorf("%.40q: %+v, %v", values, limit, err)
		}
		if err != nil && len(err.Error()) > 200 {
			t.Errorf("an error of %d bytes", len(err.Error()))
		}
	}
}

func FuzzLimit(f *testing.F) {
	for _, seed := range []string{"5.5", "", "-1", "NaN", "Inf", "1e400", "0x10", "5,5", "1e300", "1e-320", strings.Repeat("9", 32), "." + strings.Repeat("0", 30) + "1"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		limit, err := ParseLimit([]string{text})
		if err == nil != limit.Set || math.IsNaN(limit.PerSecond) || math.IsInf(limit.PerSecond, 0) || math.Signbit(limit.PerSecond) {
			t.Errorf("%q: %+v, %v", text, limit, err)
		}
		told := TermsNews{Terms: Terms{Limit: limit}}
		if again, ok := ParseTermsNews([]string{told.Encode()}); !ok || again != told {
			t.Errorf("%q is told as %q", text, told.Encode())
		}
	})
}

// at returns a moment a number of milliseconds after a fixed one.
func at(milliseconds int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(milliseconds) * time.Millisecond)
}

func limited(perSecond float64) Terms {
	return Terms{Limit: Limit{PerSecond: perSecond, Set: true}}
}

func TestAnswersThatSetOutBeforeTheLimitDoNotEndIt(t *testing.T) {
	var tracker TermsTracker
	tracker.Observe(limited(5), at(0), at(100))
	if tracker.Observe(Terms{}, at(50), at(120)) || tracker.Terms() != limited(5) {
		t.Errorf("an older answer leaves %+v", tracker.Terms())
	}
	if tracker.Observe(limited(9), at(50), at(130)) {
		t.Error("an older answer raises the limit")
	}
	if !tracker.Observe(limited(2), at(50), at(140)) || tracker.Terms() != limited(2) {
		t.Errorf("a lower limit leaves %+v", tracker.Terms())
	}
	if !tracker.Observe(limited(9), at(141), at(200)) || tracker.Terms() != limited(9) {
		t.Errorf("a newer answer leaves %+v", tracker.Terms())
	}
	if !tracker.Observe(Terms{}, at(201), at(300)) || tracker.Terms() != (Terms{}) {
		t.Errorf("a newer answer without a limit leaves %+v", tracker.Terms())
	}
	if !tracker.Observe(limited(3), at(202), at(301)) {
		t.Error("a limit that begins again is ignored")
	}
}

func TestUnreadableLimitNeitherSetsNorEndsOne(t *testing.T) {
	var tracker TermsTracker
	if tracker.Observe(Terms{LimitUnreadable: true}, at(0), at(1)) || tracker.Terms() != (Terms{}) {
		t.Errorf("%+v", tracker.Terms())
	}
	tracker.Observe(limited(5), at(2), at(3))
	if tracker.Observe(Terms{LimitUnreadable: true}, at(4), at(5)) || tracker.Terms() != limited(5) {
		t.Errorf("%+v", tracker.Terms())
	}
}

func TestAnswersThatSetOutBeforeAWorkerLeavesDoNotTakeThatBack(t *testing.T) {
	var tracker TermsTracker
	if !tracker.Observe(Terms{Leaving: true}, at(0), at(10)) {
		t.Error("leaving is no change")
	}
	if tracker.Observe(Terms{}, at(5), at(12)) || !tracker.Terms().Leaving {
		t.Errorf("after an older answer: %+v", tracker.Terms())
	}
	if tracker.Observe(Terms{Leaving: true}, at(5), at(13)) || !tracker.Terms().Leaving {
		t.Errorf("after another answer: %+v", tracker.Terms())
	}
	if !tracker.Observe(Terms{}, at(14), at(20)) || tracker.Terms().Leaving {
		t.Errorf("after an answer of the next run: %+v", tracker.Terms())
	}
}

func TestOtherNodesCountUntilTheWorkerItselfIsHeard(t *testing.T) {
	var tracker TermsTracker
	if !tracker.Adopt(limited(5), at(100)) || tracker.Terms() != limited(5) {
		t.Errorf("adopted: %+v", tracker.Terms())
	}
	if tracker.Adopt(limited(9), at(50)) {
		t.Error("older news is adopted")
	}
	tracker.Observe(Terms{}, at(200), at(300))
	if tracker.Adopt(limited(5), at(400)) || tracker.Terms().Limit.Set {
		t.Errorf("after an answer: %+v", tracker.Terms())
	}
}

// TestTrackerEndsAtTheNewestTerms delivers the answers of a worker whose limit changes at random in
// any order, and then one more: the terms of that one must be known.
func TestTrackerEndsAtTheNewestTerms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker TermsTracker
		now := 0
		for range rapid.IntRange(0, 20).Draw(t, "answers") {
			sent := now - rapid.IntRange(0, 50).Draw(t, "age")
			now += rapid.IntRange(1, 10).Draw(t, "step")
			tracker.Observe(drawTerms(t), at(sent), at(now))
		}
		last := drawTerms(t)
		tracker.Observe(last, at(now+1), at(now+2))
		if tracker.Terms().Limit != last.Limit {
			t.Fatalf("%+v is known after %+v", tracker.Terms(), last)
		}
	})
}

func drawTerms(t *rapid.T) Terms {
	if rapid.Bool().Draw(t, "unlimited") {
		return Terms{}
	}
	return limited(float64(rapid.IntRange(0, 9).Draw(t, "limit")))
}
