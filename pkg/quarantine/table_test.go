package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func request(n int) Fingerprint { return Request{Target: fmt.Sprint("/", n)}.Fingerprint() }

// crashWorker records that a worker ended while running a request. The run began with the
// level that the table knows. It reports whether the request is quarantined.
func crashWorker(t *Table, f Fingerprint, instance string, now time.Time) bool {
	level, _ := t.Level(f, now)
	_, found := t.Crashed(f, instance, level, now)
	return found
}

func TestThirdCrashInARowQuarantines(t *testing.T) {
	table, now := New(Options{}), start
	for n, want := range []bool{false, false, true} {
		if found := crashWorker(table, request(1), fmt.Sprint("w", n), now); found != want {
			t.Errorf("crash %d: quarantined %v, want %v", n+1, found, want)
		}
		now = now.Add(time.Second)
	}
	if _, quarantined := table.Level(request(1), now); !quarantined {
		t.Error("the request is not quarantined")
	}
	if level, quarantined := table.Level(request(2), now); level != 0 || quarantined {
		t.Errorf("another request has level %d, quarantined %v", level, quarantined)
	}
}

// TestWorkersThatEndTogetherCountOnce has many workers end at the same moment while running
// copies of the same request, as when a rack loses power.
func TestWorkersThatEndTogetherCountOnce(t *testing.T) {
	table := New(Options{})
	for n := range 20 {
		if _, found := table.Crashed(request(1), fmt.Sprint("w", n), 0, start); found {
			t.Fatal("one loss of many workers quarantines a request")
		}
	}
	if level, _ := table.Level(request(1), start); level != 1 {
		t.Errorf("level %d, want 1", level)
	}
}

// TestCopiesInEachRoundAreStopped sends three copies of a request at once, repeatedly.
func TestCopiesInEachRoundAreStopped(t *testing.T) {
	table, now, ended := New(Options{}), start, 0
	for range 10 {
		level, quarantined := table.Level(request(1), now)
		if quarantined {
			break
		}
		for range 3 {
			ended++
			table.Crashed(request(1), fmt.Sprint("w", ended), level, now)
		}
		now = now.Add(time.Second)
	}
	if ended != 6 {
		t.Errorf("%d workers ended, want 6: two rounds", ended)
	}
}

func TestAnswerSpeaksForARequest(t *testing.T) {
	table, now := New(Options{}), start
	crashWorker(table, request(1), "w1", now)
	crashWorker(table, request(1), "w2", now)
	if _, reported := table.Answered(request(1), now.Add(time.Second)); !reported {
		t.Error("the first answer of a suspect gives no report")
	}
	if _, reported := table.Answered(request(1), now.Add(2*time.Second)); reported {
		t.Error("a second answer one second later gives a report")
	}
	if _, reported := table.Answered(request(2), now); reported {
		t.Error("an answer to a request without evidence against it gives a report")
	}
	// Crashes soon after the answer do not count; later ones do.
	soon, late := now.Add(answerMemory/2), now.Add(2*answerMemory)
	for n := range 3 {
		if crashWorker(table, request(1), fmt.Sprint("soon", n), soon) {
			t.Error("crashes soon after an answer quarantine the request")
		}
	}
	found := false
	for n := range 3 {
		found = crashWorker(table, request(1), fmt.Sprint("late", n), late)
	}
	if !found {
		t.Error("crashes long after the answer do not quarantine the request")
	}
}

func TestCrashesOfAQuarantinedRequestSpeakAgainstNoOther(t *testing.T) {
	table, now := New(Options{}), start
	for n := range 3 {
		crashWorker(table, request(2), fmt.Sprint("w", n), now)
		crashWorker(table, request(1), fmt.Sprint("w", n), now)
		if n == 0 {
			now = now.Add(time.Second)
		}
	}
	// The request that is quarantined first explains the exits of the three workers.
	if level, quarantined := table.Level(request(1), now); level != 0 || quarantined {
		t.Errorf("level %d, quarantined %v", level, quarantined)
	}
}

func TestQuarantineEndsAndOneCrashIsEnoughThen(t *testing.T) {
	table, now := New(Options{Duration: time.Minute}), start
	for n := range 3 {
		crashWorker(table, request(1), fmt.Sprint("w", n), now)
	}
	now = now.Add(time.Minute)
	if _, quarantined := table.Level(request(1), now); quarantined {
		t.Error("the quarantine lasts longer than it should")
	}
	if !crashWorker(table, request(1), "w9", now) {
		t.Error("one more crash is not enough")
	}
}

func TestMemoryIsBounded(t *testing.T) {
	table, now := New(Options{Suspects: 10, Verdicts: 4}), start
	crashWorker(table, request(0), "w1", now)
	crashWorker(table, request(0), "w2", now)
	for n := 1; n < 1000; n++ {
		now = now.Add(time.Millisecond)
		crashWorker(table, request(n), "x", now)
	}
	if suspects := table.Suspects(); suspects > 10 {
		t.Errorf("%d suspects", suspects)
	}
	if level, _ := table.Level(request(0), now); level != 2 {
		t.Errorf("the request with the most crashes was forgotten: level %d", level)
	}
	for n := range 20 {
		for w := range 3 {
			crashWorker(table, request(2000+n), fmt.Sprint(n, "-", w), now)
		}
	}
	if verdicts := table.Verdicts(now); len(verdicts) > 4 {
		t.Errorf("%d verdicts", len(verdicts))
	}
	table.Expire(now.Add(2 * DefaultDuration))
	table.Expire(now.Add(4 * DefaultDuration))
	if !table.Empty() {
		t.Errorf("%d suspects are kept for ever", table.Suspects())
	}
}

func TestVerdictOfABadClockEndsInTime(t *testing.T) {
	table := New(Options{Duration: time.Hour})
	table.Restore([]Verdict{
		{Fingerprint: request(1), Since: start, Until: start.Add(1000 * time.Hour)},
		{Fingerprint: request(2), Since: start.Add(-2 * time.Hour), Until: start.Add(-time.Hour)},
	}, false, start)
	if _, quarantined := table.Level(request(1), start.Add(2*time.Hour)); quarantined {
		t.Error("a verdict lasts longer than any that is given now")
	}
	if _, quarantined := table.Level(request(2), start); quarantined {
		t.Error("a verdict that has ended is taken")
	}
}

// TestReportsBringTwoTablesTogether records random events in two tables, which then
// exchange their reports: afterwards both hold the same evidence, and a request that was
// answered within answerMemory is quarantined in neither.
func TestReportsBringTwoTablesTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables, now := []*Table{New(Options{}), New(Options{})}, start
		answered := map[Fingerprint]bool{}
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "pause")) * time.Millisecond)
			table := tables[rapid.IntRange(0, 1).Draw(t, "table")]
			f := request(rapid.IntRange(0, 3).Draw(t, "request"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				if _, reported := table.Answered(f, now); reported {
					answered[f] = true
				}
			default:
				crashWorker(table, f, fmt.Sprint("w", step), now)
			}
		}
		now = now.Add(time.Second)
		for range 3 {
			for n, table := range tables {
				other := tables[1-n]
				other.Merge(table.Reports(1000, now), now)
				other.Restore(table.Verdicts(now), false, now)
			}
		}
		if tables[0].Digest() != tables[1].Digest() {
			t.Errorf("the tables differ: %v, %v; %v, %v", tables[0].Verdicts(now), tables[1].Verdicts(now), tables[0].Reports(100, now), tables[1].Reports(100, now))
		}
		for f := range answered {
			if _, quarantined := tables[0].Level(f, now); quarantined {
				t.Errorf("%v was answered within %v and is quarantined", f, answerMemory)
			}
		}
	})
}

// BenchmarkFingerprint computes the fingerprint of a read without a body: the additional
// cost of each call while the table holds a suspect or a verdict.
func BenchmarkFingerprint(b *testing.B) {
	r := Request{Method: "GET", Host: "mesh.example", Target: "/ledger/2026/0815?page=3&sort=new"}
	for b.Loop() {
		r.Fingerprint()
	}
}

// BenchmarkEmpty queries an empty table: the additional cost of each call otherwise.
func BenchmarkEmpty(b *testing.B) {
	table := New(Options{})
	for b.Loop() {
		table.Empty()
	}
}
