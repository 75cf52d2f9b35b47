package forwarding

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/pkg/canary"
	"github.com/levertide/levertide/pkg/contain"
	addresses "github.com/levertide/levertide/pkg/endpoint"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/retry"
	"github.com/levertide/levertide/pkg/slotqueue"
	"github.com/levertide/levertide/pkg/workers"
)

// Parameters of the choice of a worker.
const (
	// speedWeight is the weight of one more observation in the mean of an endpoint's speed.
	speedWeight = 0.15
	// reportDecay is the time over which the weight of a reported load decays to zero.
	reportDecay = 500 * time.Millisecond
	// busyPenalty is the share by which a full worker counts as slower than an idle one. What is
	// known of its load is a little old, and many nodes choose at the same time: without the
	// penalty they all choose the fastest workers of a large mesh.
	busyPenalty = 0.3
	// scoreNoise is the relative noise in scores; it prevents many nodes from choosing the same
	// endpoint.
	scoreNoise = 0.1
	// failurePause is how long an endpoint that could not be used is avoided.
	failurePause = 300 * time.Millisecond
	// unknownHold is assumed as the duration of a request before any was observed.
	unknownHold = 20 * time.Millisecond
	// longestLead is the lead of an endpoint when there is no other one.
	longestLead = time.Hour
	// maximumEndpoints bounds the workers of a service that a node sends calls to, and
	// nearEndpoints those of its own zone among them: the others are for the time when its own
	// zone is in trouble.
	maximumEndpoints = 24
	nearEndpoints    = 16
	// failingDecay is the time over which the weight of a reported failure share decays to zero.
	// failureCost is the cost of a failure in a score, in targets of the route.
	failingDecay = 4 * time.Second
	failureCost  = 2.0
	// overdueFactor and overdueMargin bound how long an endpoint that holds requests of this node
	// may answer none of them before others are preferred: overdueFactor times the expected
	// duration of a request plus overdueMargin. Otherwise a machine that has stopped
	// responding, or connections that were lost without a reset, would get requests until the
	// deadlines of the calls. One request in a hundred takes three to five times the usual.
	overdueFactor = 5
	overdueMargin = 200 * time.Millisecond
	// slowestFactor and fastestFactor bound the relative duration that one observation may
	// contribute to an endpoint's speed.
	slowestFactor = 20.0
	fastestFactor = 0.2
)

// endpoint is one worker as seen by the node where calls begin.
type endpoint struct {
	node, zone, instance string
	// calls is where the node takes calls, and address its text.
	calls   netip.AddrPort
	address string
	// startedAt is when the worker's incarnation started; zero until it is known.
	startedAt atomic.Int64
	// version is the version of the worker's software; empty when the worker has not reported it.
	version string
	slots   int
	// outstanding is the number of requests that this node has in flight there.
	outstanding int
	// report is the load that the worker's node reported last, at reportedAt, when this node had
	// reportedOutstanding requests in flight there.
	report              slotqueue.Load
	reportedAt          time.Time
	reportedOutstanding int
	// slowness is how long requests take there, relative to all endpoints and, if the worker
	// reports its slowness, to that.
	slowness float64
	// reportedSlowness is the slowness that the worker itself reports.
	reportedSlowness decayingMean
	// foreignRequests is how many requests of other nodes a worker that reports its slowness has.
	foreignRequests decayingMean
	// pausedUntil is until when the endpoint is chosen only as the last resort.
	pausedUntil time.Time
	// overdueAt is when the endpoint counts as unresponsive unless it answers before; zero when
	// it holds no request of this node.
	overdueAt time.Time
}

// incarnation returns the worker's incarnation. Calls read it concurrently with updates of the
// start time.
func (e *endpoint) incarnation() workers.Incarnation {
	return workers.Incarnation{Instance: e.instance, StartedAt: e.startedAt.Load()}
}

// setOverdueAt sets when the endpoint is overdue, given how long a request that it holds is
// expected to take.
func (e *endpoint) setOverdueAt(expected time.Duration, now time.Time) {
	e.overdueAt = now.Add(overdueFactor*expected + overdueMargin)
}

// unresponsive reports whether the endpoint holds requests and is overdue with its answers.
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
	// steering is the table of decisions by which the endpoints were selected.
	steering atomic.Pointer[steeringTable]

	mutex     contain.Mutex
	endpoints map[string]*endpoint
	ordered   []*endpoint
	links     linkWaits
	// workers is how many nodes serve the service, including those that take no calls of this
	// one.
	workers int
	// grewAt is when that number last grew.
	grewAt time.Time
	// oneVersion is set when a service that moves to another version has workers of the target
	// only, as after a repeated order: these take all calls.
	oneVersion bool
}

// refresh updates the endpoints to the current nodes and to the decisions on moves to other
// versions.
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
		if !same || !found.incarnation().Same(worker.Incarnation()) || found.calls != node.CallAddress {
			found = &endpoint{node: node.ID, zone: node.Zone, calls: node.CallAddress, address: addresses.String(node.CallAddress), instance: worker.Instance, slowness: 1}
		}
		if worker.StartedAt != 0 {
			found.startedAt.Store(worker.StartedAt)
		}
		found.slots, found.version = worker.Slots, worker.Version
		d.endpoints[node.ID] = found
		d.ordered = append(d.ordered, found)
	}
}

// known returns how many workers of the service this node knows, and when that number last grew.
func (d *destination) known() (workers int, grewAt time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.workers, d.grewAt
}

// serving returns the nodes whose workers take this node's calls. In a large mesh they are a
// subset, so that the number of connections, and how much this node learns of each worker, do not
// depend on the size of the mesh.
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

// choice is a chosen endpoint, with the figures that decided.
type choice struct {
	endpoint *endpoint
	load     slotqueue.Load
	// lead is by how much later the next best endpoint is expected to answer; longestLead when
	// there is none.
	lead time.Duration
	// expected is how long the request is expected to take there.
	expected time.Duration
}

// criteria are the properties of one request that the choice of an endpoint depends on.
type criteria struct {
	// bytes is how many bytes will be sent to the endpoint and back.
	bytes int
	// long is set when the body waits for its turn on the link of the endpoint.
	long bool
	// otherZones is set when the node's own zone has no free capacity: only endpoints of other
	// zones are considered, and the cost of sending bytes to them is ignored.
	otherZones bool
	// tried lists the nodes that must not be chosen again.
	tried []string
	// work is how long the request is expected to run, target the time within which its answer
	// has its full value.
	work, target time.Duration
	// usual is how long it is expected to run at a worker that reports the usual speed.
	usual time.Duration
	// version is the version of the service that takes the request.
	version versionChoice
	// waitLimit is how long the request may wait for a slot.
	waitLimit time.Duration
	// linksFull is set by choose when long bodies wait for the links of the node's own zone.
	linksFull bool
	// draw is a random number from 0 to 1, drawn for each choice, so that not all calls of the
	// same kind leave a zone at the same time.
	draw float64
	// local returns the load of this node's own worker.
	local func() (slotqueue.Load, bool)
	// reachable reports whether this node can reach another one.
	reachable func(string) bool
	// leaving reports whether a worker has stated that it leaves.
	leaving func(workers.Incarnation, time.Time) bool
}

// choose returns the endpoint with the least expected delay; false when there is none. The
// request counts as outstanding there until done is called.
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
		if w.leaving != nil && w.leaving(e.incarnation(), now) {
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

// loadOf returns the load that an endpoint is estimated to have, and whether the endpoint is
// usable as far as this node knows.
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
	load.NextStart = e.nextStart(now)
	load.Transfer = d.links.expected(e.zone, load.Transfer, e.reportedAt, now)
	load.Failing *= max(1-float64(now.Sub(e.reportedAt))/float64(failingDecay), 0)
	load.Running = min(int(expected+0.5), load.Slots)
	load.Waiting = int(expected+0.5) - load.Running
	return load, usable && w.reachable(e.node)
}

// nextStart returns how long a request is expected to wait for the worker's limit: what was reported
// last, less the time since, and more for each request that was sent meanwhile.
func (e *endpoint) nextStart(now time.Time) time.Duration {
	if e.report.Interval == 0 {
		return 0
	}
	sent := max(e.outstanding-e.reportedOutstanding, 0)
	return max(e.report.NextStart-now.Sub(e.reportedAt)+time.Duration(sent)*e.report.Interval, 0)
}

// score returns the expected delay in nanoseconds, with further costs of choosing an endpoint
// added.
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

// result is what was observed of a request to an endpoint.
type result struct {
	load    slotqueue.Load
	hasLoad bool
	// relative is how long the request took, relative to the mean of its route; zero when it
	// gives no information.
	relative float64
	// failed is set when the endpoint should be avoided for a while.
	failed bool
}

// done records the end of a request to an endpoint.
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
