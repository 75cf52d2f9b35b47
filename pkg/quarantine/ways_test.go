package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// way is one way to decide which requests crash workers.
type way struct {
	name string
	// lost counts answers that are lost like workers that end, plain counts ends whenever
	// the run began and forgets nothing, alone has suspects run one at a time.
	lost, plain, alone bool
}

// world is a service under load of which workers end, for reasons of their own and under
// one request. Time passes in ticks of 10 ms.
type world struct {
	way     way
	random  *rand.Rand
	table   *Table
	counts  map[Fingerprint]int
	now     time.Time
	workers []*simulatedWorker
	lives   int
	later   map[int][]try
	tick    int

	innocentTries, guiltyEnds, afterThird int
	refused                               map[Fingerprint]bool
}

type simulatedWorker struct {
	life   string
	downTo int
	inHand []*running
}

type running struct {
	try   try
	level int
	ends  int
}

// try is one try of a caller: offers are the workers that it had.
type try struct {
	f             Fingerprint
	guilty        bool
	tries, offers int
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

func newWorld(w way, seed uint64) *world {
	all := &world{
		way: w, random: rand.New(rand.NewPCG(seed, 1)), table: New(Options{}), counts: map[Fingerprint]int{},
		now: start, later: map[int][]try{}, refused: map[Fingerprint]bool{},
	}
	for range workerCount {
		all.workers = append(all.workers, &simulatedWorker{life: all.nextLife()})
	}
	return all
}

func (w *world) nextLife() string {
	w.lives++
	return fmt.Sprint("life-", w.lives)
}

func (w *world) known(f Fingerprint) (level int, refused bool) {
	if w.way.plain {
		return w.counts[f], w.counts[f] >= DefaultLimit
	}
	return w.table.Level(f, w.now)
}

func (w *world) against(r *running, life string) {
	if w.way.plain {
		w.counts[r.try.f]++
		return
	}
	w.table.Crashed(r.try.f, life, r.level, w.now)
}

// offer gives a try to a worker, if one may take it.
func (w *world) offer(t try) {
	level, refused := w.known(t.f)
	if refused {
		if !t.guilty {
			w.refused[t.f] = true
		}
		return
	}
	for _, n := range w.random.Perm(workerCount) {
		worker := w.workers[n]
		if worker.downTo > w.tick || len(worker.inHand) >= workerSlots || w.way.alone && level > 0 && w.hasSuspect(worker) {
			continue
		}
		t.offers++
		r := &running{try: t, level: level, ends: w.tick + runTicks}
		if t.guilty {
			r.ends = w.tick + crashTicks
			if w.guiltyEnds >= DefaultLimit {
				w.afterThird++
			}
		}
		worker.inHand = append(worker.inHand, r)
		return
	}
	w.again(t) // all are full: refused, and not run
}

func (w *world) hasSuspect(worker *simulatedWorker) bool {
	for _, r := range worker.inHand {
		if level, _ := w.known(r.try.f); level > 0 {
			return true
		}
	}
	return false
}

// again has a caller come back, if it does.
func (w *world) again(t try) {
	const callerTries = 4
	if t.tries++; t.tries < callerTries {
		t.offers = 0
		w.innocentTries++
		at := w.tick + 10 + w.random.IntN(20)
		w.later[at] = append(w.later[at], t)
	}
}

// lose takes what a worker has lost: it is offered again.
func (w *world) lose(t try) {
	const offers = 3
	switch {
	case t.offers < offers:
		w.offer(t)
	case !t.guilty:
		w.again(t)
	}
}

func (w *world) end(worker *simulatedWorker, guilty bool) {
	if worker.downTo > w.tick {
		return
	}
	lost, life := worker.inHand, worker.life
	worker.inHand, worker.downTo, worker.life = nil, w.tick+downTicks, w.nextLife()
	if guilty {
		w.guiltyEnds++
	}
	for _, r := range lost {
		w.against(r, life)
	}
	for _, r := range lost {
		w.lose(r.try)
	}
}

func (w *world) run(ticks int) {
	unique := 0
	for w.tick = range ticks {
		w.now = w.now.Add(tick)
		for _, t := range w.later[w.tick] {
			w.offer(t)
		}
		delete(w.later, w.tick)
		if w.tick%30 == 0 {
			for range 1 + 2*w.random.IntN(2) {
				w.offer(try{f: guiltyRequest, guilty: true})
			}
		}
		for range w.random.IntN(4) {
			unique++
			w.innocentTries++
			f := request(1000 + unique)
			if w.random.IntN(2) == 0 {
				f = request(w.random.IntN(20))
			}
			w.offer(try{f: f})
		}
		w.endSome()
		w.finish()
	}
}

// endSome ends workers for reasons of their own: one in 4 s each, four together in 5 s.
func (w *world) endSome() {
	for _, worker := range w.workers {
		if w.random.IntN(400) == 0 {
			w.end(worker, false)
		}
	}
	if w.tick%500 == 250 {
		for n := range 4 {
			w.end(w.workers[n], false)
		}
	}
}

func (w *world) finish() {
	for _, worker := range w.workers {
		ended := false
		left := worker.inHand[:0:0]
		var lost []*running
		for _, r := range worker.inHand {
			switch {
			case r.ends > w.tick:
				left = append(left, r)
			case r.try.guilty:
				left, ended = append(left, r), true
			case w.random.IntN(100) < 3:
				lost = append(lost, r)
			case !w.way.plain:
				w.table.Answered(r.try.f, w.now)
			}
		}
		worker.inHand = left
		for _, r := range lost {
			if w.way.lost {
				w.against(r, w.nextLife())
			}
			w.lose(r.try)
		}
		if ended {
			w.end(worker, true)
		}
	}
}

// TestWaysToTellGuiltyFromInnocent plays 40 s of heavy load and many ends of workers with
// four ways to decide, on the same seeds. Figures of one run, of 20 seeds each: the log.
func TestWaysToTellGuiltyFromInnocent(t *testing.T) {
	const seeds, ticks = 20, 4000
	for _, way := range []way{
		{name: "each lost connection counts", lost: true, plain: true},
		{name: "each worker that ended counts", plain: true},
		{name: "levels and answers, suspects side by side"},
		{name: "levels and answers, suspects one at a time", alone: true},
	} {
		var tries, refused, ends, after, worst int
		for seed := range uint64(seeds) {
			w := newWorld(way, seed)
			w.run(ticks)
			tries += w.innocentTries
			refused += len(w.refused)
			ends += w.guiltyEnds
			after += w.afterThird
			worst = max(worst, w.afterThird)
		}
		t.Logf("%-45s innocent refused %d of %d tries (%.2f in 10,000); workers ended under the guilty one %.1f a run; runs of it after the third %.2f, at most %d",
			way.name, refused, tries, 1e4*float64(refused)/float64(tries), float64(ends)/seeds, float64(after)/seeds, worst)
		if way.alone && refused > 0 {
			t.Errorf("%s: %d innocent requests were refused", way.name, refused)
		}
		if way.alone && worst > 3 {
			t.Errorf("%s: the guilty one reached %d workers after the third", way.name, worst)
		}
	}
}
