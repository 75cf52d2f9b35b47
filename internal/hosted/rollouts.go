package hosted

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/fleet"
)

const (
	// rolloutTick is how often a node checks the running roll-outs: a bad version is to be left
	// within seconds. While none runs a node only waits for updates.
	rolloutTick = 200 * time.Millisecond
	// runsInterval is how often a node publishes what its worker did.
	runsInterval = time.Second
	// forgetRollout is how long after its deadline a roll-out is remembered: the workers of the
	// version that it leaves have ended by then.
	forgetRollout = time.Minute
)

// Steering is the part of the node that divides requests among versions.
type Steering interface {
	// Steer has the node divide the requests of services by the given decisions, and those of no
	// other services.
	Steer(decisions []fleet.Rollout)
	// Runs returns what the worker beside the node did for a service since Steer first named it, by
	// route.
	Runs(service string) []fleet.RouteRuns
	// LongestCall returns how long a call to the service may last.
	LongestCall(service string) time.Duration
}

// Rollouts has a node learn, apply and publish the decisions on moves of services to other
// versions, and make them while it is the coordinator: the first node in the order of readers.
// Decisions and what workers did are sent in the nodes' records. It is a suture service.
type Rollouts struct {
	store    RolloutStore
	steering Steering
	table    *fleet.Table
	contacts *fleet.Contacts
	events   Events
	// announce sends this node's record to the other nodes.
	announce func(ctx context.Context)
	// wake is signalled when there are new orders or records to process.
	wake chan struct{}

	mu     contain.Mutex
	orders []Order

	// The following fields are used only by the goroutine of Serve.

	known        map[string]fleet.Rollout
	coordinators map[string]*coordinator
	// publishedAt is when this node's record was last updated with what the worker did.
	publishedAt time.Time
}

func newRollouts(config Config, announce func(ctx context.Context)) *Rollouts {
	return &Rollouts{
		store: config.Rollouts, steering: config.Steering, table: config.Table, contacts: config.Contacts,
		events: config.Events, announce: announce, wake: make(chan struct{}, 1),
		known: map[string]fleet.Rollout{}, coordinators: map[string]*coordinator{},
	}
}

// String returns the name of the service in events.
func (r *Rollouts) String() string { return "rollouts" }

// Serve runs roll-outs until the context ends.
func (r *Rollouts) Serve(ctx context.Context) error {
	for {
		r.look(ctx, time.Now())
		if len(r.known) > 0 {
			sleep(ctx, rolloutTick)
		} else {
			select {
			case <-r.wake:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// Signal has the node process new orders and records at once.
func (r *Rollouts) Signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// TakeOrders accepts orders that the store has returned.
func (r *Rollouts) TakeOrders(orders []Order) {
	if len(orders) == 0 {
		return
	}
	r.mu.Lock()
	r.orders = append(r.orders, orders...)
	r.mu.Unlock()
	r.Signal()
}

// look updates this node's decisions from orders and records, and makes the decisions of the
// coordinator if this node is the coordinator.
func (r *Rollouts) look(ctx context.Context, now time.Time) {
	changed := r.adoptOrders(now)
	view := r.table.View()
	for _, n := range view.Nodes() {
		for _, reported := range n.Rollouts {
			changed = r.adopt(reported, now) || changed
		}
	}
	changed = r.forget(now) || changed
	for service := range r.known {
		changed = r.coordinate(ctx, view, service, now) || changed
	}
	if changed {
		r.steering.Steer(r.decisions())
	}
	if changed || len(r.known) > 0 && now.Sub(r.publishedAt) >= runsInterval {
		r.publish(ctx, changed, now)
	}
}

func (r *Rollouts) adoptOrders(now time.Time) bool {
	r.mu.Lock()
	orders := r.orders
	r.orders = nil
	r.mu.Unlock()
	changed := false
	for _, o := range orders {
		switch held, known := r.known[o.Service]; {
		case !known || o.Era <= held.Era:
			changed = r.adoptOrder(o, now) || changed
		default:
			changed = r.adoptAcross(held, o, now) || changed
		}
	}
	return changed
}

// adoptAcross adopts an order that the store returns after it was restored from a copy. When its
// target is that of the held order, the store still has that order or operators have written it
// again: the roll-out continues, and decisions on it remain. An order with another target that may
// come from the copy is the older of the two; following it would move the service back. adoptAcross
// reports whether something changed.
func (r *Rollouts) adoptAcross(held fleet.Rollout, o Order, now time.Time) bool {
	switch {
	case o.Target == held.Target:
		held.Era, held.Revision = o.Era, o.Revision
		return r.adopt(held, now)
	case o.FromCopy:
		return false
	}
	return r.adoptOrder(o, now)
}

// adoptOrder adopts an order if it is newer than what is known. It reports whether it was.
func (r *Rollouts) adoptOrder(o Order, now time.Time) bool {
	adopted := r.adopt(fleet.Rollout{
		Service: o.Service, Target: o.Target, Era: o.Era, Revision: o.Revision, Ordered: now, Deadline: now.Add(o.Duration),
	}, now)
	if adopted {
		r.events.RolloutOrdered(o.Service, o.Target, o.Duration)
	}
	return adopted
}

// adopt adopts a decision that is newer than the one known. It reports whether it was.
func (r *Rollouts) adopt(reported fleet.Rollout, now time.Time) bool {
	held, known := r.known[reported.Service]
	if known && !reported.Supersedes(held) || now.After(reported.Deadline.Add(forgetRollout)) {
		return false
	}
	reported.Runs = nil
	r.known[reported.Service] = reported
	return true
}

// forget drops roll-outs that ended long ago. It reports whether there were any.
func (r *Rollouts) forget(now time.Time) bool {
	before := len(r.known)
	for service, held := range r.known {
		if now.After(held.Deadline.Add(forgetRollout)) {
			delete(r.known, service)
			delete(r.coordinators, service)
		}
	}
	return len(r.known) < before
}

// coordinate decides on a roll-out if this node is the coordinator. It reports whether the decision
// has changed.
func (r *Rollouts) coordinate(ctx context.Context, view *fleet.View, service string, now time.Time) bool {
	held := r.known[service]
	c, leading := r.coordinators[service]
	if leading && (c.era != held.Era || c.order != held.Revision) {
		leading = false
	}
	if !r.isCoordinator(view) {
		delete(r.coordinators, service)
		return false
	}
	if !leading {
		c = newCoordinator(r.store, held)
		r.coordinators[service] = c
	}
	decided := c.decide(ctx, view, held, r.steering.LongestCall(service), now)
	if decided.SameDecision(held) {
		return false
	}
	r.known[service] = decided
	r.events.RolloutDecided(service, decided.Target, decided.State, decided.Share, c.reason, c.ran, c.failed)
	return true
}

// isCoordinator reports whether this node decides. Two nodes with different views may both do so
// for a while: final states are decided by the store.
func (r *Rollouts) isCoordinator(view *fleet.View) bool {
	first := fleet.Readers(view, r.contacts.Reachable, 1)
	return len(first) == 1 && first[0] == view.Self().ID
}

// decisions returns the known decisions, ordered by service.
func (r *Rollouts) decisions() []fleet.Rollout {
	list := make([]fleet.Rollout, 0, len(r.known))
	for _, held := range r.known {
		list = append(list, held)
	}
	slices.SortFunc(list, func(a, b fleet.Rollout) int { return strings.Compare(a.Service, b.Service) })
	return list
}

// publish updates this node's record, and announces it when something has changed.
func (r *Rollouts) publish(ctx context.Context, decided bool, now time.Time) {
	r.publishedAt = now
	list := r.decisions()
	for i := range list {
		list[i].Runs = r.steering.Runs(list[i].Service)
	}
	previous := r.table.View().Self().Rollouts
	if !decided && slices.EqualFunc(previous, list, samePublished) {
		return
	}
	r.table.Update(func(own *fleet.Node) { own.Rollouts = list })
	r.announce(ctx)
}

func samePublished(a, b fleet.Rollout) bool {
	return a.Service == b.Service && a.SameDecision(b) && slices.Equal(a.Runs, b.Runs)
}
