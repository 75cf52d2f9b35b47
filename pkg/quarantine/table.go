package quarantine

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// recentEnds is how long the end of a worker tells that workers end for other reasons,
	// too, and maximumEnds bounds how many are remembered.
	recentEnds  = 10 * time.Second
	maximumEnds = 64
	// fewEnds and manyEnds are how many workers have ended lately without a request from
	// where on one and two crashes more are asked for. While one worker in four seconds
	// ends for a reason of its own, three in a row are lost by 0.66 of 10,000 innocent
	// tries, and five by none of 160,000 (TestWaysToTellGuiltyFromInnocent).
	fewEnds  = 1
	manyEnds = 4
	// mostExtra is how many crashes more are asked for at most.
	mostExtra = 2
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

// suspect is the evidence on one request that is not quarantined.
type suspect struct {
	crashes []crash
	// answered is when a worker has answered it whole; zero when none has.
	answered time.Time
	// lifted is when an operator has lifted what was known; zero when none has.
	lifted time.Time
	// touched is when evidence came last.
	touched time.Time
}

// crash is one worker that ended with the request in hand.
type crash struct {
	instance string
	level    int
	at       time.Time
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

// Quiet reports whether nothing is known of any request. A node may spare itself the
// fingerprints then.
func (t *Table) Quiet() bool { return t.known.Load() == 0 }

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

// guilty reports whether the evidence is enough to quarantine a request. The mutex is held.
func (t *Table) guilty(s *suspect, now time.Time) bool {
	level, crashes := t.weigh(s, now)
	limit := t.options.Limit + t.extra(s, now)
	// A request that comes several times at once would crash a worker for each copy of
	// each round: the last round may be left out when there are many.
	copies := level >= limit-1 && crashes > limit || level >= t.options.Limit-1 && crashes >= 2*t.options.Limit
	return level >= limit || copies
}

// extra returns how many crashes more than usual are asked for, since workers end without
// the request, too. The mutex is held.
func (t *Table) extra(s *suspect, now time.Time) int {
	others := 0
	for instance, at := range t.ends {
		if now.Sub(at) <= recentEnds && !s.has(instance) && !t.explained(instance) {
			others++
		}
	}
	switch {
	case others >= manyEnds:
		return mostExtra
	case others >= fewEnds:
		return 1
	default:
		return 0
	}
}

func (s *suspect) has(instance string) bool {
	return slices.ContainsFunc(s.crashes, func(c crash) bool { return c.instance == instance })
}

// enterEnd remembers that a worker has ended. The mutex is held.
func (t *Table) enterEnd(instance string, at time.Time) {
	t.ends[instance] = later(t.ends[instance], at)
	if len(t.ends) <= maximumEnds {
		return
	}
	oldest := instance
	for other, ended := range t.ends {
		if ended.Before(t.ends[oldest]) {
			oldest = other
		}
	}
	delete(t.ends, oldest)
}

// enter adds a crash. A worker that ended counts once, at the highest level that was told.
func (s *suspect) enter(c crash) {
	for i := range s.crashes {
		if s.crashes[i].instance == c.instance {
			s.crashes[i].level = max(s.crashes[i].level, c.level)
			return
		}
	}
	if len(s.crashes) == maximumCrashes {
		s.crashes = s.crashes[1:]
	}
	s.crashes = append(s.crashes, c)
}

// outweighs reports whether something speaks for the request that counts more than a crash
// at the given time.
func (s *suspect) outweighs(crash time.Time) bool {
	answered := !s.answered.IsZero() && crash.Sub(s.answered) < answerMemory
	return answered || !crash.After(s.lifted)
}

// weigh returns how many crashes one after the other speak against a request, and how
// many in all. The mutex is held.
func (t *Table) weigh(s *suspect, now time.Time) (level, crashes int) {
	for _, c := range s.crashes {
		if s.outweighs(c.at) || now.Sub(c.at) > t.options.Memory || t.explained(c.instance) {
			continue
		}
		level = max(level, c.level)
		crashes++
	}
	return min(level, crashes), crashes
}

// explained reports whether a worker has ended under a request that is quarantined: its
// end then speaks against no other one. The mutex is held.
func (t *Table) explained(instance string) bool {
	for _, v := range t.verdicts {
		if slices.Contains(v.Instances, instance) {
			return true
		}
	}
	return false
}

// sentence quarantines a request. The mutex is held.
func (t *Table) sentence(f Fingerprint, s *suspect, now time.Time) {
	v := Verdict{Fingerprint: f, Since: now, Until: now.Add(t.options.Duration)}
	for _, c := range s.crashes {
		v.Instances = append(v.Instances, c.instance)
	}
	delete(t.suspects, f)
	t.keep(v)
}

// keep adds a verdict; the one that ends first gives way when there are too many. The
// mutex is held.
func (t *Table) keep(v Verdict) {
	if _, found := t.verdicts[v.Fingerprint]; !found && len(t.verdicts) >= t.options.Verdicts {
		var first Verdict
		for _, held := range t.verdicts {
			if first.Until.IsZero() || held.Until.Before(first.Until) {
				first = held
			}
		}
		t.drop(first.Fingerprint)
	}
	t.verdicts[v.Fingerprint] = v
	t.count()
}

// drop removes a verdict. The mutex is held.
func (t *Table) drop(f Fingerprint) {
	delete(t.verdicts, f)
	delete(t.vouched, f)
	t.count()
}

// verdict returns the verdict on a request that is in force. One that has ended leaves
// the request suspected, so that one more crash is enough. The mutex is held.
func (t *Table) verdict(f Fingerprint, now time.Time) (Verdict, bool) {
	v, found := t.verdicts[f]
	if !found || now.Before(v.Until) {
		return v, found
	}
	delete(t.verdicts, f)
	t.makeRoom()
	s := &suspect{touched: now}
	for n, instance := range v.Instances {
		s.enter(crash{instance: instance, level: min(n+1, t.options.Limit-1), at: now})
	}
	s.crashes = s.crashes[:min(len(s.crashes), t.options.Limit-1)]
	t.suspects[f] = s
	t.count()
	return Verdict{}, false
}

// makeRoom forgets a request when there are too many: the one with the fewest crashes,
// and of these the one of which nothing was heard for longest. The mutex is held.
func (t *Table) makeRoom() {
	if len(t.suspects) < t.options.Suspects {
		return
	}
	var chosen Fingerprint
	var weakest *suspect
	for f, s := range t.suspects {
		if weakest == nil || len(s.crashes) < len(weakest.crashes) ||
			len(s.crashes) == len(weakest.crashes) && s.touched.Before(weakest.touched) {
			chosen, weakest = f, s
		}
	}
	delete(t.suspects, chosen)
	delete(t.vouched, chosen)
}

// Expire forgets what is too old to count.
func (t *Table) Expire(now time.Time) {
	if t.Quiet() {
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

// Verdicts returns the requests that are quarantined, in the order of their
// fingerprints.
func (t *Table) Verdicts(now time.Time) []Verdict {
	return t.list(now, func(Fingerprint) bool { return true })
}

// Vouched returns those of the verdicts that this node has seen a crash for, or has
// taken over from a former life: it keeps these for others.
func (t *Table) Vouched(now time.Time) []Verdict {
	return t.list(now, func(f Fingerprint) bool { return t.vouched[f] })
}

func (t *Table) list(now time.Time, wanted func(Fingerprint) bool) []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Verdict
	for f := range t.verdicts {
		if v, found := t.verdict(f, now); found && wanted(f) {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b Verdict) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return list
}

// Restore takes verdicts of another node, or with vouch of a former life of this one.
// It returns those that are new. A verdict that a whole answer has outweighed since is
// left out.
func (t *Table) Restore(verdicts []Verdict, vouch bool, now time.Time) []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var taken []Verdict
	for _, v := range verdicts {
		if _, found := t.verdicts[v.Fingerprint]; found {
			t.vouched[v.Fingerprint] = t.vouched[v.Fingerprint] || vouch
			continue
		}
		// No verdict lasts longer than one that is given now, whatever clock it came from.
		v.Until = earlier(v.Until, now.Add(t.options.Duration))
		s := t.suspects[v.Fingerprint]
		if !now.Before(v.Until) || s != nil && s.outweighs(v.Since) {
			continue
		}
		delete(t.suspects, v.Fingerprint)
		t.keep(v)
		if vouch {
			t.vouched[v.Fingerprint] = true
		}
		taken = append(taken, v)
	}
	return taken
}

// Reports returns evidence on requests that are not quarantined, at most as many pieces as
// given: what weighs most, and of the rest a random choice, so that nodes which tell
// each other again and again come to hold the same.
func (t *Table) Reports(most int, now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []Report
	for f, s := range t.suspects {
		if !s.answered.IsZero() {
			reports = append(reports, Report{Fingerprint: f, Answered: true, Age: now.Sub(s.answered)})
		}
		if !s.lifted.IsZero() {
			reports = append(reports, Report{Fingerprint: f, Lifted: true, Age: now.Sub(s.lifted)})
		}
		for _, c := range s.crashes {
			reports = append(reports, Report{Fingerprint: f, Instance: c.instance, Level: c.level, Age: now.Sub(c.at)})
		}
	}
	rand.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
	slices.SortStableFunc(reports, func(a, b Report) int { return cmp.Compare(b.weight(), a.weight()) })
	return reports[:min(len(reports), most)]
}

// weight orders reports: single crashes are many, and nearly all of innocent requests.
func (r Report) weight() int {
	if r.Lifted {
		return DefaultLimit
	}
	return max(r.Level, 1)
}

// Digest returns a digest of that evidence and of the verdicts: two nodes with the same
// digest hold the same.
func (t *Table) Digest() uint64 {
	if t.Quiet() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum uint64
	for f := range t.verdicts {
		sum ^= xxhash.Sum64(fmt.Appendf(f[:], " quarantined"))
	}
	for f, s := range t.suspects {
		if !s.answered.IsZero() {
			sum ^= xxhash.Sum64(fmt.Appendf(f[:], " answered"))
		}
		if !s.lifted.IsZero() {
			sum ^= xxhash.Sum64(fmt.Appendf(f[:], " lifted"))
		}
		for _, c := range s.crashes {
			sum ^= xxhash.Sum64(fmt.Appendf(f[:], " %s %d", c.instance, c.level))
		}
	}
	return sum
}

// Suspects returns how many requests are suspected and not quarantined.
func (t *Table) Suspects() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects)
}

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
