package forwarding

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/slotqueue"
)

// The load of TestUnevenWorkers: many nodes send requests to workers of two speeds, each of which
// is now and then slower for a while than a node last knew.
const (
	unevenNodes   = 40
	unevenWorkers = 24
	unevenSlots   = 12
	unevenLoad    = 0.75
	unevenWork    = 220 * time.Millisecond
	unevenTarget  = 800 * time.Millisecond
	// unevenWaitLimit is how long a request may wait for a slot at a worker that is not the last.
	unevenWaitLimit  = 300 * time.Millisecond
	unevenTime       = 20 * time.Second
	slowPeriod       = 600 * time.Millisecond
	slowPeriodShare  = 0.15
	slowPeriodFactor = 2.5
	// unevenSpread, and the share and factor of long requests, describe how much requests of the
	// route differ.
	unevenSpread = 0.8
	longShare    = 0.03
	longFactor   = 7.0
)

// unevenWorker is a worker with the queue of its node.
type unevenWorker struct {
	usual, slowness float64
	running         int
	waiting         []*unevenRequest
	// reported is the slowness that its node knows.
	reported decayingMean
}

type unevenRequest struct {
	came, began time.Time
	work        time.Duration
	node        int
	worker      *unevenWorker
	choice      choice
}

// uneven simulates the load in simulated time, with the product's choice of workers.
type uneven struct {
	random   *rand.Rand
	now      time.Time
	events   unevenEvents
	workers  []*unevenWorker
	nodes    []*destination
	routes   []*routeState
	byNode   map[string]*unevenWorker
	reports  bool
	declines bool
	optimal  bool
	hold     time.Duration

	asked, inTime, declined int
}

func newUneven(seed uint64) *uneven {
	u := &uneven{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), byNode: map[string]*unevenWorker{}, hold: unevenWork}
	for n := range unevenWorkers {
		w := &unevenWorker{usual: 1.2}
		if n%4 == 0 {
			w.usual = 0.55
		}
		w.slowness = w.usual
		u.workers = append(u.workers, w)
		u.byNode[fmt.Sprint("w", n)] = w
		u.after(time.Duration(u.random.Float64()*float64(slowPeriod)), func() { u.changeSpeed(w) })
	}
	for range unevenNodes {
		d := &destination{links: linkWaits{}, service: "s", self: "front", zone: "z", draw: u.random.Float64}
		for n := range unevenWorkers {
			d.ordered = append(d.ordered, &endpoint{node: fmt.Sprint("w", n), zone: "z", slots: unevenSlots, slowness: 1})
		}
		u.nodes = append(u.nodes, d)
		u.routes = append(u.routes, &routeState{work: unevenWork})
	}
	return u
}

// capacity returns how many requests per second all workers serve.
func (u *uneven) capacity() float64 {
	var sum float64
	for _, w := range u.workers {
		sum += unevenSlots / (w.usual * (1 + slowPeriodShare*(slowPeriodFactor-1)) * unevenWork.Seconds())
	}
	return sum
}

func (u *uneven) after(d time.Duration, do func()) {
	heap.Push(&u.events, unevenEvent{at: u.now.Add(d), do: do})
}

// run simulates the load, and returns the share of requests that were answered in time.
func (u *uneven) run() float64 {
	end := u.now.Add(unevenTime)
	mean := float64(time.Second) / (unevenLoad * u.capacity())
	var arrive func()
	arrive = func() {
		u.asked++
		u.place(&unevenRequest{came: u.now, work: u.drawWork(), node: u.random.IntN(unevenNodes)})
		if u.now.Before(end) {
			u.after(time.Duration(u.random.ExpFloat64()*mean), arrive)
		}
	}
	u.after(0, arrive)
	for len(u.events) > 0 && u.now.Before(end.Add(time.Minute)) {
		next := heap.Pop(&u.events).(unevenEvent)
		u.now = next.at
		next.do()
	}
	return float64(u.inTime) / float64(u.asked)
}

func (u *uneven) drawWork() time.Duration {
	factor := math.Exp(unevenSpread*u.random.NormFloat64()-unevenSpread*unevenSpread/2) / (1 + longShare*(longFactor-1))
	if u.random.Float64() < longShare {
		factor *= longFactor
	}
	return time.Duration(factor * float64(unevenWork))
}

func (u *uneven) changeSpeed(w *unevenWorker) {
	w.slowness = w.usual
	if u.random.Float64() < slowPeriodShare {
		w.slowness *= slowPeriodFactor
	}
	u.after(slowPeriod, func() { u.changeSpeed(w) })
}

// place offers a request until a worker's node accepts it.
func (u *uneven) place(r *unevenRequest) {
	if u.optimal {
		u.take(r, u.fastest())
		return
	}
	var tried []string
	declined := 0
	for {
		work, _ := u.routes[r.node].expected()
		usual := u.routes[r.node].atUsualSpeed()
		chosen, _ := u.nodes[r.node].choose(criteria{
			work: work, usual: usual, target: unevenTarget, waitLimit: unevenWaitLimit, tried: tried, reachable: func(string) bool { return true },
		}, u.now)
		w := u.byNode[chosen.endpoint.node]
		last := len(tried) >= maximumRefusals-1
		switch {
		case u.declines && declined < maximumDeclines && !last && declines(w.reported.at(u.now), chosen.slowestWorthwhile(usual)):
			declined++
			u.declined++
		case !last && u.load(w).Wait() > min(chosen.worthwhileWait(), unevenWaitLimit):
			tried = append(tried, chosen.endpoint.node)
		default:
			r.choice = chosen
			u.take(r, w)
			return
		}
		u.nodes[r.node].done(chosen, result{load: u.load(w), hasLoad: true}, u.now)
	}
}

// fastest returns the worker with the least delay, from information that no node has.
func (u *uneven) fastest() *unevenWorker {
	best, least := u.workers[0], math.Inf(1)
	for _, w := range u.workers {
		delay := float64(unevenWork) * w.slowness
		if w.running >= unevenSlots {
			delay += float64(len(w.waiting)+1) * w.slowness * float64(unevenWork) / unevenSlots
		}
		if delay < least {
			best, least = w, delay
		}
	}
	return best
}

func (u *uneven) take(r *unevenRequest, w *unevenWorker) {
	r.worker = w
	w.waiting = append(w.waiting, r)
	u.start(w)
	if !u.optimal && r.began.IsZero() {
		u.after(unevenWaitLimit, func() { u.refuse(r) })
	}
}

// refuse ends the wait of a request that has not begun.
func (u *uneven) refuse(r *unevenRequest) {
	w := r.worker
	if place := slices.Index(w.waiting, r); place >= 0 {
		w.waiting = slices.Delete(w.waiting, place, place+1)
		u.nodes[r.node].done(r.choice, result{load: u.load(w), hasLoad: true}, u.now)
	}
}

func (u *uneven) start(w *unevenWorker) {
	for w.running < unevenSlots && len(w.waiting) > 0 {
		r := w.waiting[0]
		w.waiting = w.waiting[1:]
		w.running++
		r.began = u.now
		u.after(time.Duration(float64(r.work)*w.slowness), func() { u.finish(r) })
	}
}

func (u *uneven) finish(r *unevenRequest) {
	w := r.worker
	w.running--
	if u.reports {
		w.reported.observe(w.slowness, u.now)
	}
	u.start(w)
	if u.now.Sub(r.came) <= unevenTarget {
		u.inTime++
	}
	if u.optimal {
		return
	}
	load := u.load(w)
	relative := u.routes[r.node].observe(u.now.Sub(r.began), load.Slowness, 0)
	u.nodes[r.node].done(r.choice, result{load: load, hasLoad: true, relative: relative}, u.now)
}

// load returns the load that a worker's node reports.
func (u *uneven) load(w *unevenWorker) slotqueue.Load {
	return slotqueue.Load{Running: w.running, Waiting: len(w.waiting), Slots: unevenSlots, Hold: time.Duration(w.usual * float64(u.hold)), Slowness: w.reported.at(u.now)}
}

type unevenEvent struct {
	at time.Time
	do func()
}

type unevenEvents []unevenEvent

func (e unevenEvents) Len() int           { return len(e) }
func (e unevenEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e unevenEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *unevenEvents) Push(x any)        { *e = append(*e, x.(unevenEvent)) }
func (e *unevenEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// TestUnevenWorkers loads 24 workers to three quarters from 40 nodes; a quarter of the workers
// take 0.55 of the usual time and the others 1.2 times that, and each takes 2.5 times its own for
// 600 ms at a time, 0.15 of the time. The best possible result is that of the choice with
// information that no node has.
func TestUnevenWorkers(t *testing.T) {
	var withoutReports, withReports, declining, best float64
	const seeds = 2
	for seed := range uint64(seeds) {
		play := func(set func(u *uneven)) (float64, *uneven) {
			u := newUneven(seed)
			set(u)
			return u.run() / seeds, u
		}
		share, _ := play(func(*uneven) {})
		withoutReports += share
		share, _ = play(func(u *uneven) { u.reports = true })
		withReports += share
		share, played := play(func(u *uneven) { u.reports, u.declines = true, true })
		declining += share
		t.Logf("seed %d: %d of %d offers declined", seed, played.declined, played.asked+played.declined)
		share, _ = play(func(u *uneven) { u.optimal = true })
		best += share
	}
	t.Logf("in time: %.4f where workers report nothing, %.4f where they do, %.4f with declines, best possible %.4f", withoutReports, withReports, declining, best)
	if withReports <= withoutReports || declining <= withReports {
		t.Error("the reports of workers, or declining, bring no gain")
	}
	// The choice must gain half of what the best possible one would.
	if declining-withoutReports < (best-withoutReports)/2 {
		t.Errorf("%.4f gained of %.4f", declining-withoutReports, best-withoutReports)
	}
}
