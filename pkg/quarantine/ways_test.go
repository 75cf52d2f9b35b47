package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// strategy is one way to decide which requests crash workers.
type strategy struct {
	name string
	// countLostAnswers counts a lost answer like the end of a worker. plainCount counts every
	// crash, whenever the run began, and forgets none. isolateSuspects runs at most one
	// suspect at a time on a worker.
	countLostAnswers, plainCount, isolateSuspects bool
}

// simulation is a service under load whose workers end, for unrelated reasons and because
// of one crashing request, the guilty one. Time passes in ticks of 10 ms.
type simulation struct {
	strategy     strategy
	random       *rand.Rand
	table        *Table
	counts       map[Fingerprint]int
	now          time.Time
	workers      []*simulatedWorker
	incarnations int
	scheduled    map[int][]attempt
	tick         int

	innocentAttempts, guiltyCrashes, guiltyRunsAfterLimit int
	refused                                               map[Fingerprint]bool
}

type simulatedWorker struct {
	incarnation string
	downUntil   int
	inFlight    []*running
}

type running struct {
	attempt attempt
	level   int
	ends    int
}

// attempt is one attempt of a caller: offers is the number of workers it was given to.
type attempt struct {
	f              Fingerprint
	guilty         bool
	number, offers int
}

const (
	tick        = 10 * time.Millisecond
	workerCount = 12
	workerSlots = 6
	runTicks    = 20
	crashTicks  = 6
	downTicks   = 200
)

var guiltyRequest = request(-1)

func newSimulation(w strategy, seed uint64) *simulation {
	s := &simulation{
		strategy: w, random: rand.New(rand.NewPCG(seed, 1)), table: New(Options{}), counts: map[Fingerprint]int{},
		now: start, scheduled: map[int][]attempt{}, refused: map[Fingerprint]bool{},
	}
	for range workerCount {
		s.workers = append(s.workers, &simulatedWorker{incarnation: s.nextIncarnation()})
	}
	return s
}

func (w *simulation) nextIncarnation() string {
	w.incarnations++
	return fmt.Sprint("life-", w.incarnations)
}

func (w *simulation) levelOf(f Fingerprint) (level int, refused bool) {
	if w.strategy.plainCount {
		return w.counts[f], w.counts[f] >= DefaultLimit
	}
	return w.table.Level(f, w.now)
}

func (w *simulation) recordCrash(r *running, incarnation string) {
	if w.strategy.plainCount {
		w.counts[r.attempt.f]++
		return
	}
	w.table.Crashed(r.attempt.f, incarnation, r.level, w.now)
}

// offer gives an attempt to a worker, if one may accept it.
func (w *simulation) offer(t attempt) {
	level, refused := w.levelOf(t.f)
	if refused {
		if !t.guilty {
			w.refused[t.f] = true
		}
		return
	}
	for _, n := range w.random.Perm(workerCount) {
		worker := w.workers[n]
		if worker.downUntil > w.tick || len(worker.inFlight) >= workerSlots || w.strategy.isolateSuspects && level > 0 && w.hasSuspect(worker) {
			continue
		}
		t.offers++
		r := &running{attempt: t, level: level, ends: w.tick + runTicks}
		if t.guilty {
			r.ends = w.tick + crashTicks
			if w.guiltyCrashes >= DefaultLimit {
				w.guiltyRunsAfterLimit++
			}
		}
		worker.inFlight = append(worker.inFlight, r)
		return
	}
	w.retryLater(t) // all workers are full: the attempt is refused and does not run
}

func (w *simulation) hasSuspect(worker *simulatedWorker) bool {
	for _, r := range worker.inFlight {
		if level, _ := w.levelOf(r.attempt.f); level > 0 {
			return true
		}
	}
	return false
}

// retryLater schedules the client retry, unless the caller has made all its attempts.
func (w *simulation) retryLater(t attempt) {
	const callerAttempts = 4
	if t.number++; t.number < callerAttempts {
		t.offers = 0
		w.innocentAttempts++
		at := w.tick + 10 + w.random.IntN(20)
		w.scheduled[at] = append(w.scheduled[at], t)
	}
}

// offerAgain handles an attempt that a worker lost: it is offered again while it has had
// fewer than the permitted number of offers.
func (w *simulation) offerAgain(t attempt) {
	const offers = 3
	switch {
	case t.offers < offers:
		w.offer(t)
	case !t.guilty:
		w.retryLater(t)
	}
}

func (w *simulation) crashWorker(worker *simulatedWorker, guilty bool) {
	if worker.downUntil > w.tick {
		return
	}
	lostRuns, incarnation := worker.inFlight, worker.incarnation
	worker.inFlight, worker.downUntil, worker.incarnation = nil, w.tick+downTicks, w.nextIncarnation()
	if guilty {
		w.guiltyCrashes++
	}
	for _, r := range lostRuns {
		w.recordCrash(r, incarnation)
	}
	for _, r := range lostRuns {
		w.offerAgain(r.attempt)
	}
}

func (w *simulation) run(ticks int) {
	unique := 0
	for w.tick = range ticks {
		w.now = w.now.Add(tick)
		for _, t := range w.scheduled[w.tick] {
			w.offer(t)
		}
		delete(w.scheduled, w.tick)
		if w.tick%30 == 0 {
			for range 1 + 2*w.random.IntN(2) {
				w.offer(attempt{f: guiltyRequest, guilty: true})
			}
		}
		for range w.random.IntN(4) {
			unique++
			w.innocentAttempts++
			f := request(1000 + unique)
			if w.random.IntN(2) == 0 {
				f = request(w.random.IntN(20))
			}
			w.offer(attempt{f: f})
		}
		w.crashSomeWorkers()
		w.finishRuns()
	}
}

// crashSomeWorkers ends workers for unrelated reasons: each on average once in 4 s, and four
// together every 5 s.
func (w *simulation) crashSomeWorkers() {
	for _, worker := range w.workers {
		if w.random.IntN(400) == 0 {
			w.crashWorker(worker, false)
		}
	}
	if w.tick%500 == 250 {
		for n := range 4 {
			w.crashWorker(w.workers[n], false)
		}
	}
}

func (w *simulation) finishRuns() {
	for _, worker := range w.workers {
		crashed := false
		remaining := worker.inFlight[:0:0]
		var lostRuns []*running
		for _, r := range worker.inFlight {
			switch {
			case r.ends > w.tick:
				remaining = append(remaining, r)
			case r.attempt.guilty:
				remaining, crashed = append(remaining, r), true
			case w.random.IntN(100) < 3:
				lostRuns = append(lostRuns, r)
			case !w.strategy.plainCount:
				w.table.Answered(r.attempt.f, w.now)
			}
		}
		worker.inFlight = remaining
		for _, r := range lostRuns {
			if w.strategy.countLostAnswers {
				w.recordCrash(r, w.nextIncarnation())
			}
			w.offerAgain(r.attempt)
		}
		if crashed {
			w.crashWorker(worker, true)
		}
	}
}

// TestWaysToTellGuiltyFromInnocent simulates 40 s of heavy load and many worker crashes with
// four strategies, on the same 20 seeds each, and logs the results.
func TestWaysToTellGuiltyFromInnocent(t *testing.T) {
	const seeds, ticks = 20, 4000
	for _, strategy := range []strategy{
		{name: "each lost connection counts", countLostAnswers: true, plainCount: true},
		{name: "each worker that ended counts", plainCount: true},
		{name: "levels and answers, suspects side by side"},
		{name: "levels and answers, suspects one at a time", isolateSuspects: true},
	} {
		var attempts, refused, crashes, afterLimit, worst int
		for seed := range uint64(seeds) {
			w := newSimulation(strategy, seed)
			w.run(ticks)
			attempts += w.innocentAttempts
			refused += len(w.refused)
			crashes += w.guiltyCrashes
			afterLimit += w.guiltyRunsAfterLimit
			worst = max(worst, w.guiltyRunsAfterLimit)
		}
		t.Logf("%-45s innocent refused %d of %d tries (%.2f in 10,000); workers ended under the guilty one %.1f a run; runs of it after the third %.2f, at most %d",
			strategy.name, refused, attempts, 1e4*float64(refused)/float64(attempts), float64(crashes)/seeds, float64(afterLimit)/seeds, worst)
		if strategy.isolateSuspects && refused > 0 {
			t.Errorf("%s: %d innocent requests were refused", strategy.name, refused)
		}
		if strategy.isolateSuspects && worst > 3 {
			t.Errorf("%s: the guilty one reached %d workers after the third", strategy.name, worst)
		}
	}
}
