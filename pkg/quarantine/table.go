package quarantine

import (
	"sync"
	"sync/atomic"
	"time"
)

// The defaults of Options.
const (
	// DefaultLimit is the crashes that are taken before a request is quarantined. With
	// two, an innocent request that is lost twice would be refused; each further one
	// costs a worker, and everything it has in hand, once more.
	DefaultLimit = 3
	// DefaultDuration is how long a request stays quarantined. Then it may run once: if
	// it still crashes its worker, it is quarantined again.
	DefaultDuration = time.Hour
	// DefaultMemory is how long a crash speaks against a request that did not reach the
	// limit.
	DefaultMemory = 10 * time.Minute
	// DefaultSuspects and DefaultVerdicts bound the requests that are remembered: some
	// 200 bytes each.
	DefaultSuspects = 512
	DefaultVerdicts = 64
)

const (
	// answerMemory is how long a whole answer outweighs crashes that come after it: a
	// request that many callers send may be in hand wherever workers end. It is bounded
	// since a new version of the workers may crash by what the former one answered.
	answerMemory = 30 * time.Second
	// answerPause is how long after a whole answer of a suspect a further one is told
	// to others again.
	answerPause = answerMemory / 2
	// maximumCrashes bounds the crashes that are remembered of one request.
	maximumCrashes = 8
)

// Options set up a Table. Zero fields take the defaults.
type Options struct {
	// Limit is how many workers a request may crash before it is quarantined.
	Limit int
	// Duration is how long a request stays quarantined, Memory how long a crash speaks
	// against one that is not.
	Duration, Memory time.Duration
	// Suspects and Verdicts bound the requests that are remembered.
	Suspects, Verdicts int
}

func (o Options) withDefaults() Options {
	if o.Limit <= 0 {
		o.Limit = DefaultLimit
	}
	if o.Duration <= 0 {
		o.Duration = DefaultDuration
	}
	if o.Memory <= 0 {
		o.Memory = DefaultMemory
	}
	if o.Suspects <= 0 {
		o.Suspects = DefaultSuspects
	}
	if o.Verdicts <= 0 {
		o.Verdicts = DefaultVerdicts
	}
	return o
}

// Table is what one node knows of requests that crash workers. It is safe for
// concurrent use. Use New.
type Table struct {
	options Options

	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	verdicts map[Fingerprint]Verdict
	// vouched are the requests of which this node has seen a crash itself.
	vouched map[Fingerprint]bool
	// ends are the workers that have ended lately, and when.
	ends map[string]time.Time
	// known counts suspects and verdicts, so that a node that knows of none need not
	// take fingerprints.
	known atomic.Int64
}

// New returns an empty table.
func New(options Options) *Table {
	return &Table{
		options:  options.withDefaults(),
		suspects: map[Fingerprint]*suspect{},
		verdicts: map[Fingerprint]Verdict{},
		vouched:  map[Fingerprint]bool{},
		ends:     map[string]time.Time{},
	}
}

// Empty reports whether the table holds no suspect and no verdict. A node need not
// compute fingerprints then.
func (t *Table) Empty() bool { return t.known.Load() == 0 }

// Level returns how many crashes speak against a request, and whether it is
// quarantined: then it must not be given to a worker.
func (t *Table) Level(f Fingerprint, now time.Time) (level int, quarantined bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, found := t.verdict(f, now); found {
		return t.options.Limit, true
	}
	s, found := t.suspects[f]
	if !found {
		return 0, false
	}
	level, _ = t.weigh(s, now)
	return level, false
}

// Crashed takes that a worker has ended which had a request in hand. Level is what was
// known of the request when its run began, here or at the node that it came from. It
// returns the report for other nodes, and whether the request is quarantined by it.
func (t *Table) Crashed(f Fingerprint, instance string, level int, now time.Time) (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vouched[f] = true
	report := Report{Fingerprint: f, Instance: instance, Level: min(max(level, 0), t.options.Limit+mostExtra-1) + 1}
	return report, t.take(report, now)
}

// Answered takes that a worker has answered a request whole. The report is for other
// nodes; there is none when nothing speaks against the request, or when the same was
// told just now.
func (t *Table) Answered(f Fingerprint, now time.Time) (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, sentenced := t.verdicts[f]
	s, suspected := t.suspects[f]
	if !sentenced && (!suspected || now.Sub(s.answered) < answerPause) {
		return Report{}, false
	}
	report := Report{Fingerprint: f, Answered: true}
	t.take(report, now)
	return report, true
}

// Lift has a quarantined request run again, on the word of an operator. The report is for
// other nodes; there is none when the request is not quarantined.
func (t *Table) Lift(f Fingerprint, now time.Time) (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, sentenced := t.verdicts[f]; !sentenced {
		return Report{}, false
	}
	report := Report{Fingerprint: f, Lifted: true}
	t.take(report, now)
	return report, true
}

// Merge takes the reports of another node. It returns the requests that are
// quarantined by them.
func (t *Table) Merge(reports []Report, now time.Time) []Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []Fingerprint
	for _, report := range reports {
		if report.Age > t.options.Memory {
			continue
		}
		if t.take(report, now.Add(-max(report.Age, 0))) {
			found = append(found, report.Fingerprint)
		}
	}
	return found
}

// take enters a report. It reports whether the request is quarantined by it. The mutex
// is held.
func (t *Table) take(report Report, at time.Time) bool {
	if _, sentenced := t.verdicts[report.Fingerprint]; sentenced && !report.Answered && !report.Lifted {
		return false
	}
	s, found := t.suspects[report.Fingerprint]
	if !found {
		t.makeRoom()
		s = &suspect{}
		t.suspects[report.Fingerprint] = s
	}
	s.touched = later(s.touched, at)
	if report.Answered || report.Lifted {
		if report.Lifted {
			s.lifted = later(s.lifted, at)
		} else {
			s.answered = later(s.answered, at)
		}
		t.drop(report.Fingerprint)
		return false
	}
	s.enter(crash{instance: report.Instance, level: report.Level, at: at})
	t.enterEnd(report.Instance, at)
	t.count()
	if !t.guilty(s, at) {
		return false
	}
	t.sentence(report.Fingerprint, s, at)
	return true
}

// Expire forgets what is too old to count.
func (t *Table) Expire(now time.Time) {
	if t.Empty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, s := range t.suspects {
		if now.Sub(s.touched) > t.options.Memory {
			delete(t.suspects, f)
			delete(t.vouched, f)
		}
	}
	for f := range t.verdicts {
		t.verdict(f, now)
	}
	t.count()
}

func (t *Table) count() { t.known.Store(int64(len(t.suspects) + len(t.verdicts))) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
