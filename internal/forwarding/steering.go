package forwarding

import (
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/pkg/canary"
	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/routing"
	"github.com/levertide/levertide/pkg/workers"
)

// steeringTable holds the decisions on moves of services to other versions, by service. It is
// immutable, except for the tallies.
type steeringTable struct {
	decisions map[string]fleet.Rollout
	runs      map[string]*runTallies
}

// Steer replaces the decisions by which requests are distributed among versions of services.
// Services without a decision are not steered.
func (p *Plane) Steer(decisions []fleet.Rollout) {
	former := p.steering.Load()
	next := &steeringTable{decisions: map[string]fleet.Rollout{}, runs: map[string]*runTallies{}}
	for _, d := range decisions {
		next.decisions[d.Service] = d
		next.runs[d.Service] = &runTallies{byRoute: map[string]canary.Tally{}}
		if former == nil {
			continue
		}
		if held, known := former.decisions[d.Service]; known && held.Revision == d.Revision {
			next.runs[d.Service] = former.runs[d.Service]
		}
	}
	p.steering.Store(next)
}

// decision returns the decision on a service; false when there is none to follow.
func (t *steeringTable) decision(service string) (fleet.Rollout, bool) {
	if t == nil {
		return fleet.Rollout{}, false
	}
	d, known := t.decisions[service]
	// Once the move is completed, requests are no longer steered: the workers of the previous
	// version end by themselves, and workers of a later version get requests like any other.
	return d, known && d.State != canary.Completed
}

// runTallies sums up the runs of the worker beside this node for a service, by route.
type runTallies struct {
	mu      contain.Mutex
	byRoute map[string]canary.Tally
}

func (r *runTallies) add(route string, did canary.Tally) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byRoute[route] = r.byRoute[route].Plus(did)
}

// Runs returns the runs of the worker beside this node for a service since the current order was
// first passed to Steer, by route.
func (p *Plane) Runs(service string) []fleet.RouteRuns {
	t := p.steering.Load()
	if t == nil || t.runs[service] == nil {
		return nil
	}
	r := t.runs[service]
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]fleet.RouteRuns, 0, len(r.byRoute))
	for route, tally := range r.byRoute {
		list = append(list, fleet.RouteRuns{Route: route, Tally: tally})
	}
	slices.SortFunc(list, func(a, b fleet.RouteRuns) int { return strings.Compare(a.Route, b.Route) })
	return list
}

// LongestCall returns how long a call to a service may take at most.
func (p *Plane) LongestCall(service string) time.Duration {
	configuration := p.config.Current()
	if configuration == nil {
		return 0
	}
	return configuration.Table.LongestTimeout(service)
}

// countRun counts the result of a request at the worker beside this node, while its service moves
// to another version. Requests that say nothing about the version are left out: a request that
// did not run or whose caller has left, and one to a worker that is still warming up.
func (p *Plane) countRun(service string, worker workers.Worker, r *http.Request, call *workerCall, result *answer, err error) {
	t := p.steering.Load()
	if _, moves := t.decision(service); !moves || !call.arrived || time.Now().Before(worker.WarmUntil) {
		return
	}
	failed := failedAtWorker(result, err)
	if err != nil && (!failed || outcome.ReasonOf(err) == outcome.RefusedByOwnWorker) {
		return
	}
	configuration := p.config.Current()
	if configuration == nil {
		return // the node has just started, and other nodes already offer calls to its worker
	}
	route, matched := configuration.Table.Match(r.Host, httpconn.PathAsSent(r), r.Method)
	if matched != routing.Matched {
		return
	}
	did := canary.Tally{Runs: 1}
	if failed {
		did.Failed = 1
	} else {
		did.LogTime = math.Log(max(call.ran.Seconds(), time.Microsecond.Seconds()))
	}
	t.runs[service].add(route.Name, did)
}

// versionChoice says which version of a service takes a call.
type versionChoice struct {
	// target is the version that the service moves to; empty when it does not move.
	target string
	// wanted is set when the target takes the call, and clear when the previous version does.
	// strict is set when a worker of the other version must not take it instead.
	wanted, strict bool
}

// chooseVersion draws at random which version takes the next call to a service.
func (t *steeringTable) chooseVersion(service string) versionChoice {
	d, moves := t.decision(service)
	if !moves {
		return versionChoice{}
	}
	wanted := d.State == canary.Running && rand.Float64() < d.Share
	return versionChoice{target: d.Target, wanted: wanted, strict: !wanted && d.Share < mostCanaryShare}
}

// mostCanaryShare is the share below which the target is on trial: it gets no more requests even
// where the previous version has no free capacity.
const mostCanaryShare = 0.5

// takes reports whether a worker of the version may take the call.
func (c versionChoice) takes(version string) bool {
	switch {
	case c.target == "":
		return true
	case version == "":
		return false // the worker has not reported its version, and may run the target
	default:
		return (version == c.target) == c.wanted
	}
}

// alternative returns the choice of the other version, if that may take the call as well.
func (c versionChoice) alternative() (versionChoice, bool) {
	return versionChoice{target: c.target, wanted: !c.wanted, strict: true}, c.target != "" && !c.strict
}

// byVersion splits the nodes that serve a moving service by the version of their workers: the
// target, and any other or unreported version.
// While the target is on trial only a part of its workers gets requests, so that these are as
// busy as the others: some faults show under load only.
func byVersion(nodes []*fleet.Node, d fleet.Rollout) (former, target []*fleet.Node) {
	for _, n := range nodes {
		worker, _ := n.Serves(d.Service)
		if worker.Version == d.Target {
			target = append(target, n)
		} else {
			former = append(former, n)
		}
	}
	if d.Share < mostCanaryShare && len(former) > 0 {
		few := max(int(math.Ceil(d.Share*float64(len(target)))), 1)
		target = fleet.Subset(target, d.Service, "", 0, few)
	}
	return former, target
}
