package forwarding

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/pkg/canary"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/retry"
	"github.com/levertide/levertide/pkg/slotqueue"
	"github.com/levertide/levertide/pkg/workers"
)

// Figures of the choice of a worker.
const (
	// speedWeight is the weight of one more observation of an endpoint's speed.
	speedWeight = 0.15
	// reportDecay is how long a told load counts; it fades over that time.
	reportDecay = 500 * time.Millisecond
	// busyPenalty is the share by which a full worker counts as slower than an idle
	// one. What is known of its load is a little old, and many nodes choose at the
	// same time: without it they crowd at the fastest workers of a large mesh.
	busyPenalty = 0.3
	// scoreNoise keeps many nodes from choosing the same endpoint.
	scoreNoise = 0.1
	// failurePause is how long an endpoint that could not be used is left alone.
	failurePause = 300 * time.Millisecond
	// unknownHold is taken for the time of a request before any was seen.
	unknownHold = 20 * time.Millisecond
	// longestLead stands for an endpoint without a next best one.
	longestLead = time.Hour
	// maximumEndpoints bounds the workers of a service that a node sends calls to,
	// and nearEndpoints those of the own zone among them: the others are for the
	// time when the own zone is in trouble.
	maximumEndpoints = 24
	nearEndpoints    = 16
	// failingDecay is how long a told share of failures counts; it fades over that
	// time. failureCost is what a failure costs, in targets of the route.
	failingDecay = 4 * time.Second
	failureCost  = 2.0
	// overdueFactor is how many times what a request is expected to take, and
	// overdueMargin how much more, an endpoint that holds requests of this node may answer
	// none before others are preferred: a machine that froze, or connections that fell silent without a
	// reset, would otherwise get work until their callers' time is over. One request in
	// a hundred takes three to five times the usual.
	overdueFactor = 5
	overdueMargin = 200 * time.Millisecond
	// slowestFactor and fastestFactor bound what is believed of a speed.
	slowestFactor = 20.0
	fastestFactor = 0.2
)

// endpoint is one worker as the node where calls begin sees it.
type endpoint struct {
	node, zone, address, instance string
	// startedAt is when the life of the worker began; zero until it is known.
	startedAt atomic.Int64
	// version is that of the worker's software; empty when it has not said.
	version string
	slots   int
	// outstanding are the requests that this node has there now.
	outstanding int
	// report is what the worker's node told last, at reportedAt, when this node
	// had reportedOutstanding requests there.
	report              slotqueue.Load
	reportedAt          time.Time
	reportedOutstanding int
	// slowness is how long requests take there, relative to all endpoints, and to what
	// the worker tells if it does.
	slowness float64
	// reportedSlowness is what the worker tells of its slowness itself.
	reportedSlowness decayingMean
	// foreignRequests is how many requests of other nodes such a worker has.
	foreignRequests decayingMean
	// pausedUntil is until when the endpoint is chosen only as the last resort.
	pausedUntil time.Time
	// overdueAt is when the endpoint is taken to be silent, unless it answers before: it
	// holds requests of this node. Zero when it holds none.
	overdueAt time.Time
}

// incarnation returns the name of the worker's incarnation. Calls read it while it becomes known.
func (e *endpoint) incarnation() workers.Incarnation {
	return workers.Incarnation{Instance: e.instance, StartedAt: e.startedAt.Load()}
}

// setOverdueAt sets when the endpoint is overdue: a request that it holds is expected to take the
// given time.
func (e *endpoint) setOverdueAt(expected time.Duration, now time.Time) {
	e.overdueAt = now.Add(overdueFactor*expected + overdueMargin)
}

// unresponsive reports whether the endpoint holds requests and has answered none for long.
func (e *endpoint) unresponsive(now time.Time) bool {
	return !e.overdueAt.IsZero() && now.After(e.overdueAt)
}

// destination is what is known of the workers of one service.
type destination struct {
	service          string
	self             string
	zone             string
	budget           *retry.WindowBudget
	additionalOffers *retry.Budget
	view             atomic.Pointer[fleet.View]
	// draw returns the noise in scores, from 0 to 1; nil draws it at random.
	draw func() float64
	// steering decided which of the endpoints were taken.
	steering atomic.Pointer[steeringTable]

	mutex     sync.Mutex
	endpoints map[string]*endpoint
	ordered   []*endpoint
	links     linkWaits
	// workers is how many nodes serve the service, those that take no calls of this
	// one among them.
	workers int
	// grewAt is when these became more last.
	grewAt time.Time
	// oneVersion tells that a service which moves has workers of the target only, as
	// after an order that is repeated: these take everything.
	oneVersion bool
}

// refresh brings the endpoints in line with the nodes, and with the decisions on moves to
// other versions.
func (d *destination) refresh(view *fleet.View, steering *steeringTable) {
	if view == d.view.Load() && steering == d.steering.Load() {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.view.Store(view)
	d.steering.Store(steering)
	known := d.endpoints
	d.endpoints = make(map[string]*endpoint, len(known))
	d.ordered = d.ordered[:0]
	for _, node := range d.serving(view, steering) {
		worker, _ := node.Serves(d.service)
		found, same := known[node.ID]
		if !same || !found.incarnation().Same(worker.Incarnation()) || found.address != node.CallAddress {
			found = &endpoint{node: node.ID, zone: node.Zone, address: node.CallAddress, instance: worker.Instance, slowness: 1}
		}
		if worker.StartedAt != 0 {
			found.startedAt.Store(worker.StartedAt)
		}
		found.slots, found.version = worker.Slots, worker.Version
		d.endpoints[node.ID] = found
		d.ordered = append(d.ordered, found)
	}
}

// known returns how many workers of the service this node knows, and when these became
// more last.
func (d *destination) known() (workers int, grewAt time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.workers, d.grewAt
}

// serving returns the nodes whose workers take this node's calls. In a large mesh
// they are a part of all: connections, and what is known of each worker, then stay
// the same however many there are.
func (d *destination) serving(view *fleet.View, steering *steeringTable) []*fleet.Node {
	var serving []*fleet.Node
	for _, node := range view.Nodes() {
		if _, ok := node.Serves(d.service); ok {
			serving = append(serving, node)
		}
	}
	if len(serving) > d.workers {
		d.grewAt = time.Now()
	}
	d.workers = len(serving)
	decision, moves := steering.decision(d.service)
	d.oneVersion = false
	if !moves {
		return fleet.Subset(serving, d.self, d.zone, nearEndpoints, maximumEndpoints)
	}
	former, target := byVersion(serving, decision)
	d.oneVersion = len(former) == 0 && decision.State == canary.Running
	return append(
		fleet.Subset(former, d.self, d.zone, nearEndpoints, maximumEndpoints),
		fleet.Subset(target, d.self, d.zone, nearEndpoints, maximumEndpoints)...,
	)
}

// choice is an endpoint that was chosen, with what decided.
type choice struct {
	endpoint *endpoint
	load     slotqueue.Load
	// lead is by how much the next best endpoint is expected to be later; the
	// longest time when there is none.
	lead time.Duration
	// expected is how long the request is expected to take there.
	expected time.Duration
}

// criteria is what one request asks of the choice.
type criteria struct {
	// bytes that will cross to the endpoint and back.
	bytes int
	// long tells that the body waits for its turn on the link of the endpoint.
	long bool
	// otherZones tells that the own zone has no room: only others are chosen from, and
	// what the bytes to them cost does not count.
	otherZones bool
	// tried are the nodes that are not to be chosen again.
	tried []string
	// work is how long the request is expected to run, target the time within
	// which its answer is worth most.
	work, target time.Duration
	// usual is how long it is expected to run at a worker that tells the usual speed.
	usual time.Duration
	// version is the version of the service that takes the request.
	version versionChoice
	// waitLimit is how long the request may wait for a slot.
	waitLimit time.Duration
	// linksFull tells that long bodies wait for the links of the own zone. The choice
	// fills it in.
	linksFull bool
	// draw is drawn for each choice, from 0 to 1: calls of the same kind do not all
	// leave a zone at the same time.
	draw float64
	// local returns the load of this node's own worker.
	local func() (slotqueue.Load, bool)
	// reachable tells which nodes this one reaches.
	reachable func(string) bool
}

// choose takes the endpoint with the least expected delay; false when there is
// none. The request counts as outstanding there until done is called.
func (d *destination) choose(w criteria, now time.Time) (choice, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	version := w.version
	if d.oneVersion {
		version = versionChoice{}
	}
	w.linksFull = w.long && d.links.full(d.zone, w.waitLimit, now)
	var best choice
	bestScore, nextScore := math.Inf(1), math.Inf(1)
	for _, e := range d.ordered {
		if contains(w.tried, e.node) || w.otherZones && e.zone == d.zone || !version.takes(e.version) {
			continue
		}
		load, usable := d.loadOf(e, w, now)
		score := d.score(e, load, w, usable)
		if score >= bestScore {
			nextScore = min(nextScore, score)
			continue
		}
		nextScore = bestScore
		best, bestScore = choice{endpoint: e, load: load}, score
	}
	if best.endpoint == nil {
		return choice{}, false
	}
	best.lead = longestLead
	if lead := nextScore - bestScore; lead < float64(longestLead) {
		best.lead = time.Duration(lead)
	}
	e := best.endpoint
	e.outstanding++
	best.expected = min(best.load.Wait(), w.waitLimit) + time.Duration(e.work(w, best.load.Slowness))
	if e.overdueAt.IsZero() {
		e.setOverdueAt(best.expected, now)
	}
	return best, true
}

// loadOf returns the load that an endpoint is taken to have, and whether the
// endpoint is usable as far as this node knows.
func (d *destination) loadOf(e *endpoint, w criteria, now time.Time) (slotqueue.Load, bool) {
	usable := now.After(e.pausedUntil) && !e.unresponsive(now)
	if e.node == d.self {
		if load, ok := w.local(); ok {
			return load, usable
		}
		return slotqueue.Load{Slots: max(e.slots, 1), Hold: unknownHold}, false
	}
	load := e.report
	if load.Slots == 0 {
		load = slotqueue.Load{Slots: max(e.slots, 1), Hold: unknownHold}
	}
	others := float64(load.Running + load.Waiting - e.reportedOutstanding)
	fading := 1 - float64(now.Sub(e.reportedAt))/float64(2*reportDecay)
	if e.reportedSlowness.known() {
		others, fading = e.foreignRequests.at(now), 1
		load.Slowness = e.reportedSlowness.at(now)
	}
	expected := max(others*max(fading, 0.25), 0) + float64(e.outstanding)
	load.Transfer = d.links.expected(e.zone, load.Transfer, e.reportedAt, now)
	load.Failing *= max(1-float64(now.Sub(e.reportedAt))/float64(failingDecay), 0)
	load.Running = min(int(expected+0.5), load.Slots)
	load.Waiting = int(expected+0.5) - load.Running
	return load, usable && w.reachable(e.node)
}

// score is the expected delay in nanoseconds, with what else speaks against an
// endpoint.
func (d *destination) score(e *endpoint, load slotqueue.Load, w criteria, usable bool) float64 {
	work := max(e.work(w, load.Slowness), float64(time.Millisecond)*e.slowness)
	busy := float64(load.Running) / float64(load.Slots)
	score := work * (1 + busyPenalty*busy*busy)
	score += waitCost(load)
	if e.zone != d.zone {
		score += float64(otherZoneDelay) + otherZonePrice(w)
	}
	score += load.Failing * failureCost * float64(w.target)
	if w.long && e.node != d.self {
		score += float64(load.Transfer)
	}
	score *= 1 + scoreNoise*d.noise()
	if !usable {
		score += float64(time.Hour)
	}
	return score
}

func (d *destination) noise() float64 {
	if d.draw == nil {
		return rand.Float64()
	}
	return d.draw()
}

// result is what was seen of a request to an endpoint.
type result struct {
	load    slotqueue.Load
	hasLoad bool
	// relative is how long the request took, relative to the mean of its route;
	// zero when it says nothing.
	relative float64
	// failed tells that the endpoint is better left alone for a while.
	failed bool
}

// done ends a request to an endpoint.
func (d *destination) done(c choice, r result, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	e := c.endpoint
	e.outstanding--
	switch {
	case e.outstanding == 0:
		e.overdueAt = time.Time{}
	case r.hasLoad:
		e.setOverdueAt(c.expected, now)
	}
	if r.hasLoad {
		d.links.observe(e.zone, r.load.Transfer, now)
		e.report, e.reportedAt, e.reportedOutstanding = r.load, now, e.outstanding
		if r.load.Slowness > 0 {
			e.reportedSlowness.observe(r.load.Slowness, now)
			e.foreignRequests.observe(max(float64(r.load.Running+r.load.Waiting-e.outstanding), 0), now)
		}
	}
	if r.relative > 0 {
		bounded := min(max(r.relative, fastestFactor), slowestFactor)
		e.slowness += speedWeight * (bounded - e.slowness)
	}
	if r.failed {
		e.pausedUntil = now.Add(failurePause)
	}
}

func contains(list []string, wanted string) bool {
	for _, item := range list {
		if item == wanted {
			return true
		}
	}
	return false
}
