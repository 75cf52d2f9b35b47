package quarantine

import (
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/pkg/contain"
)

// The defaults of Options.
const (
	// DefaultLimit is the number of crashes after which a request is quarantined. With a
	// limit of two, an innocent request that is lost twice would be refused; each further
	// crash costs one more worker and all requests that it is running.
	DefaultLimit = 3
	// DefaultDuration is how long a request stays quarantined. Afterwards it may run once:
	// if it still crashes its worker, it is quarantined again.
	DefaultDuration = time.Hour
	// DefaultMemory is how long a crash counts against a request that did not reach the
	// limit.
	DefaultMemory = 10 * time.Minute
	// DefaultSuspects and DefaultVerdicts bound the number of remembered requests. Each
	// takes some 200 bytes.
	DefaultSuspects = 512
	DefaultVerdicts = 64
)

const (
	// answerMemory is how long a complete answer outweighs crashes that come after it: a
	// request that many callers send is likely to be running wherever a worker ends. It is
	// bounded since a new version of the workers may crash on a request that the previous
	// version answered.
	answerMemory = 30 * time.Second
	// answerReportInterval is the least time between two reports to other nodes that the
	// same suspect was answered completely.
	answerReportInterval = answerMemory / 2
	// maximumCrashes bounds the crashes that are remembered of one request.
	maximumCrashes = 8
)

// Options set up a Table. Zero fields take the defaults.
type Options struct {
	// Limit is how many workers a request may crash before it is quarantined.
	Limit int
	// Duration is how long a request stays quarantined, Memory how long a crash counts
	// against a request that is not quarantined.
	Duration, Memory time.Duration
	// Suspects and Verdicts bound the number of remembered requests.
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

// Table holds what one node knows of requests that crash workers. It is safe for
// concurrent use. Create one with New.
type Table struct {
	options Options

	mu       contain.Mutex
	suspects map[Fingerprint]*suspect
	verdicts map[Fingerprint]Verdict
	// confirmed are the requests of which this node has itself seen a crash, and those of
	// verdicts restored from its previous incarnation.
	confirmed map[Fingerprint]bool
	// exits holds the time at which each recently ended worker ended.
	exits map[string]time.Time
	// entryCount is the number of suspects and verdicts, readable without the mutex, so
	// that a node whose table is empty need not compute fingerprints.
	entryCount atomic.Int64
}

// New returns an empty table.
func New(options Options) *Table {
	return &Table{
		options:   options.withDefaults(),
		suspects:  map[Fingerprint]*suspect{},
		verdicts:  map[Fingerprint]Verdict{},
		confirmed: map[Fingerprint]bool{},
		exits:     map[string]time.Time{},
	}
}

// Empty reports whether the table holds no suspect and no verdict. A node need not
// compute fingerprints then.
func (t *Table) Empty() bool { return t.entryCount.Load() == 0 }

// Level returns the number of successive crashes that count against a request, and whether
// it is quarantined. A quarantined request must not be given to a worker.
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
	level, _ = t.countCrashes(s, now)
	return level, false
}

// Crashed records that a worker ended while it was running a request. The parameter level
// is the result of Table.Level when the run began, here or at the node that the request
// came from. Crashed returns the report for other nodes, and whether it quarantines the
// request.
func (t *Table) Crashed(f Fingerprint, instance string, level int, now time.Time) (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmed[f] = true
	report := Report{Fingerprint: f, Instance: instance, Level: min(max(level, 0), t.options.Limit+maximumExtraCrashes-1) + 1}
	return report, t.record(report, now)
}

// Answered records that a worker has answered a request completely. The report is for other
// nodes; there is none when there is no evidence against the request, or when the same was
// reported within answerReportInterval.
func (t *Table) Answered(f Fingerprint, now time.Time) (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, quarantined := t.verdicts[f]
	s, suspected := t.suspects[f]
	if !quarantined && (!suspected || now.Sub(s.answeredAt) < answerReportInterval) {
		return Report{}, false
	}
	report := Report{Fingerprint: f, Answered: true}
	t.record(report, now)
	return report, true
}

// Lift ends the quarantine of a request at the command of an operator. The report is for
// other nodes; there is none when the request is not quarantined.
func (t *Table) Lift(f Fingerprint, now time.Time) (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, quarantined := t.verdicts[f]; !quarantined {
		return Report{}, false
	}
	report := Report{Fingerprint: f, Lifted: true}
	t.record(report, now)
	return report, true
}

// Merge records the reports of another node. It returns the requests that are
// quarantined by them.
func (t *Table) Merge(reports []Report, now time.Time) []Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var quarantined []Fingerprint
	for _, report := range reports {
		if report.Age > t.options.Memory {
			continue
		}
		if t.record(report, now.Add(-max(report.Age, 0))) {
			quarantined = append(quarantined, report.Fingerprint)
		}
	}
	return quarantined
}

// record adds a report to the table, and returns whether it quarantines the request. The
// mutex is held.
func (t *Table) record(report Report, at time.Time) bool {
	if _, quarantined := t.verdicts[report.Fingerprint]; quarantined && !report.Answered && !report.Lifted {
		return false
	}
	s, found := t.suspects[report.Fingerprint]
	if !found {
		t.evictWeakestSuspect()
		s = &suspect{}
		t.suspects[report.Fingerprint] = s
	}
	s.updatedAt = later(s.updatedAt, at)
	if report.Answered || report.Lifted {
		if report.Lifted {
			s.liftedAt = later(s.liftedAt, at)
		} else {
			s.answeredAt = later(s.answeredAt, at)
		}
		t.removeVerdict(report.Fingerprint)
		return false
	}
	s.addCrash(crash{instance: report.Instance, level: report.Level, at: at})
	t.addExit(report.Instance, at)
	t.updateEntryCount()
	if !t.shouldQuarantine(s, at) {
		return false
	}
	t.quarantine(report.Fingerprint, s, at)
	return true
}

// Expire removes evidence and verdicts that are too old to count.
func (t *Table) Expire(now time.Time) {
	if t.Empty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, s := range t.suspects {
		if now.Sub(s.updatedAt) > t.options.Memory {
			delete(t.suspects, f)
			delete(t.confirmed, f)
		}
	}
	for f := range t.verdicts {
		t.verdict(f, now)
	}
	t.updateEntryCount()
}

func (t *Table) updateEntryCount() { t.entryCount.Store(int64(len(t.suspects) + len(t.verdicts))) }

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
