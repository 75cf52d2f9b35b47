package forwarding

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/levertide/levertide/pkg/outcome"
)

// offers makes the offers of one call to workers, one after the other.
type offers struct {
	call        *call
	destination *destination
	latestStart time.Time
	// version says which version of the service takes the call.
	version versionChoice
	tried   []string
	// made counts the offers, refusals the nodes that had no slot in time, arrivals the workers
	// that received the call.
	made, refusals, arrivals int
	// overloaded is set when a node had no slot in time.
	overloaded bool
	// declines counts the nodes whose workers were slower than this node had estimated.
	declines int
	// roundTrip is how long the last offer and its answer were in transit, without the time for
	// which the other node held it.
	roundTrip time.Duration
	last      error
	// failure is the first answer by which a worker reported a failure. It is returned if no
	// other worker answers.
	failure *answer
	// unknown is the first failure after which the call may have run.
	unknown error
}

func (o *offers) run(ctx context.Context) (*answer, error) {
	for {
		if o.call.quarantined() {
			o.last = outcome.New(outcome.Quarantined)
			return o.conclude()
		}
		if o.call.plane.left(o.call.began, o.call.end) < shortestTime {
			o.last = outcome.New(outcome.DeadlineBeforeStart)
			return o.conclude()
		}
		chosen, ok := o.choose()
		if !ok {
			return o.conclude()
		}
		result, arrived, err := o.offer(ctx, chosen)
		if err == nil && !o.mayOfferAnother(ctx, result) {
			return result, nil
		}
		if err == nil {
			continue
		}
		o.last = err
		if o.unknown == nil && outcome.Of(err) == outcome.Unknown {
			o.unknown = err
		}
		if arrived {
			o.arrivals++
		}
		if !o.mayContinue(ctx, err, arrived) {
			return o.conclude()
		}
	}
}

// mayOfferAnother reports whether the call may be offered to another worker after one has
// answered with a failure, and keeps that answer.
func (o *offers) mayOfferAnother(ctx context.Context, result *answer) bool {
	c := o.call
	if result.status < http.StatusInternalServerError || result.rest != nil || o.failure != nil {
		return false
	}
	o.arrivals++
	work, _ := c.state.expected()
	inTime := time.Until(c.end) > work
	if ctx.Err() != nil || !inTime || !c.body.repeatable() || !c.mayRepeat() || !o.mayArriveAgain() {
		return false
	}
	o.failure = result
	return true
}

// mayArriveAgain reports whether another worker may receive the call, and counts that against the
// retry budget.
func (o *offers) mayArriveAgain() bool {
	limit := o.call.route.Config.Attempts
	if limit > 0 && o.arrivals >= limit {
		return false
	}
	return o.call.spend(o.destination, o.call.retryShare())
}

// conclude returns the result of the call when no further offer is made: the answer of a worker
// that failed, if there is one.
func (o *offers) conclude() (*answer, error) {
	if o.failure != nil {
		return o.failure, nil
	}
	return nil, o.finalFailure()
}

func (o *offers) choose() (choice, bool) {
	if o.failure != nil {
		// A worker that has answered with a failure is not chosen again: its answer is kept.
		return o.chooseExcept(o.tried)
	}
	if !o.lastRefusal() {
		if chosen, ok := o.chooseExcept(o.tried); ok || !o.overloaded {
			return chosen, ok
		}
		o.refusals = maximumRefusals - 1
	}
	// All nodes that refused have reported their load: wait where that is least.
	return o.chooseExcept(nil)
}

func (o *offers) chooseExcept(tried []string) (choice, bool) {
	if chosen, ok := o.chooseOf(o.version, tried); ok {
		return chosen, true
	}
	if other, allowed := o.version.alternative(); allowed {
		return o.chooseOf(other, tried)
	}
	return choice{}, false
}

// chooseOf chooses a worker of one version.
func (o *offers) chooseOf(version versionChoice, tried []string) (choice, bool) {
	work, answerBytes := o.call.state.expected()
	return o.destination.choose(criteria{
		version:    version,
		bytes:      answerBytes + len(o.call.body.held),
		long:       o.call.body.long(),
		otherZones: o.refusals >= maximumRefusals,
		tried:      tried,
		work:       work,
		usual:      o.call.state.atUsualSpeed(),
		target:     o.call.target(),
		waitLimit:  o.call.waitLimit(),
		draw:       rand.Float64(),
		local:      o.local,
		reachable:  o.call.plane.config.Contacts.Reachable,
		leaving:    o.call.plane.terms.Leaving,
	}, time.Now())
}

// lastRefusal reports whether the call waits at the next node for as long as it can, because no
// additional offer follows a refusal there. A nested call goes first wherever it waits.
func (o *offers) lastRefusal() bool {
	return o.refusals >= maximumRefusals-1 || o.call.nested || o.destination.additionalOffers.Tokens(time.Now()) < 1
}

// mostRefusals returns how many nodes may refuse the call for want of a slot. A call that all of
// maximumRefusals nodes have refused at once may be offered to one node of another zone: bytes
// between zones are paid for, but that is better than failing the call.
func (o *offers) mostRefusals() int { return maximumRefusals + 1 }

// mayContinue reports whether another offer may be made after a failure. Only an offer that has
// reached a worker costs retry budget, and only after one that may have run does it matter
// whether the call may be repeated.
func (o *offers) mayContinue(ctx context.Context, err error, arrived bool) bool {
	if ctx.Err() != nil || !o.call.body.repeatable() {
		return false
	}
	if outcome.ReasonOf(err) == outcome.Quarantined {
		return false
	}
	unknown := outcome.Of(err) == outcome.Unknown
	if unknown && !o.call.mayRepeat() {
		return false
	}
	if outcome.ReasonOf(err) == outcome.Declined && o.declines < maximumDeclines {
		// The node has reported how slow its worker is. It may be chosen again, since all others
		// may be slower.
		o.declines++
		o.tried = o.tried[:len(o.tried)-1]
		return true
	}
	if !arrived && !unknown {
		o.refusals++
		full := outcome.ReasonOf(err) == outcome.Overloaded
		o.overloaded = o.overloaded || full
		if o.refusals >= o.mostRefusals() || !time.Now().Before(o.latestStart) {
			return false
		}
		return !full || limitRefused(err) || o.hadShortRoundTrip() || o.destination.additionalOffers.Spend(time.Now())
	}
	return o.mayArriveAgain()
}

// hadShortRoundTrip reports whether the last offer had so short a round trip that an additional
// one costs next to nothing: the links between the nodes are not full.
func (o *offers) hadShortRoundTrip() bool {
	return o.roundTrip < shortRoundTrip
}

// slowest returns the slowness of the chosen worker beyond which its node is to decline the call;
// zero where it must not decline: the call could not be offered elsewhere, has been declined
// maximumDeclines times, or waits at this node for as long as it can, because no additional offer
// follows. A nested call may be declined in that case, too: a second offer costs it nothing.
func (o *offers) slowest(chosen choice) float64 {
	if o.declines >= maximumDeclines || o.call.body.long() || !o.call.body.repeatable() || o.lastRefusal() && !o.call.nested {
		return 0
	}
	return chosen.slowestWorthwhile(o.call.state.atUsualSpeed())
}

// finalFailure returns the failure that is reported to the caller. Once an offer may have run, no
// later refusal can turn the call into one that has not.
func (o *offers) finalFailure() error {
	switch {
	case o.unknown != nil:
		return o.unknown
	case o.last != nil:
		return o.last
	default:
		return outcome.WithRetryAfter(outcome.NoWorker, defaultRetryAfter)
	}
}

// offer offers the call to one node. It reports whether a worker may have received it.
func (o *offers) offer(ctx context.Context, chosen choice) (*answer, bool, error) {
	settled := false
	defer func() {
		if !settled {
			o.destination.done(chosen, result{failed: true}, time.Now())
		}
	}()
	endpoint := chosen.endpoint
	o.call.offered = true
	o.made++
	o.tried = append(o.tried, endpoint.node)
	report := &o.call.report
	report.Node, report.Instance = endpoint.node, endpoint.incarnation().String()
	report.Running, report.Waiting, report.Slots = chosen.load.Running, chosen.load.Waiting, chosen.load.Slots
	report.Limit = limitText(chosen.load)
	// Waiting here is worthwhile as long as the next best worker is expected to be later, and at
	// the last node as long as the call can wait at all.
	latestStart := o.latestStart
	switch {
	case o.call.body.long():
		otherZone := endpoint.zone != o.destination.zone
		latestStart = earlier(latestStart, time.Now().Add(longWait(o.call.waitLimit(), otherZone, o.lastRefusal())))
	case !o.lastRefusal():
		latestStart = earlier(latestStart, time.Now().Add(chosen.worthwhileWait()))
	}
	var answered *answer
	var arrived bool
	var err error
	if endpoint.node == o.call.plane.config.Node {
		answered, arrived, err = o.offerLocal(ctx, chosen, latestStart)
	} else {
		answered, arrived, err = o.offerNode(ctx, chosen, latestStart)
	}
	settled = true
	o.recordResult(chosen, answered, err)
	if err == nil && PromisesNotRun(answered.status) {
		report.UnmarkedStatus = answered.status
		if !o.call.mayRepeat() {
			// The status would promise the caller that the call has not run, which nobody has
			// stated. Another status must not go with the worker's stamp and body.
			answered.release(false)
			return nil, true, outcome.New(outcome.UnmarkedRefusal)
		}
	}
	return answered, arrived, err
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// recordResult records what an offer has shown of the endpoint and the route.
func (o *offers) recordResult(chosen choice, answered *answer, err error) {
	observed := result{}
	switch {
	case err == nil:
		o.destination.additionalOffers.Earn()
		if o.refusals > 0 {
			o.destination.additionalOffers.Succeed()
		}
		observed.load, observed.hasLoad = answered.load, answered.hasLoad
		if answered.rest == nil && answered.ran > 0 && answered.status < http.StatusInternalServerError {
			observed.relative = o.call.state.observe(answered.ran, answered.load.Slowness, len(answered.held))
		}
	default:
		if load, ok := loadOfRefusal(err); ok {
			observed.load, observed.hasLoad = load, true
		}
		observed.failed = pausesEndpoint(outcome.ReasonOf(err))
	}
	if observed.hasLoad {
		o.call.report.Limit = limitText(observed.load)
	}
	o.destination.done(chosen, observed, time.Now())
}

// pausesEndpoint reports whether the endpoint should be avoided for a while after a failure.
func pausesEndpoint(reason outcome.Reason) bool {
	switch reason {
	case outcome.Unreachable, outcome.NoWorker, outcome.Draining, outcome.ConnectionLost, outcome.WorkerCrashed, outcome.Misdirected, outcome.NotReady:
		return true
	}
	return false
}
