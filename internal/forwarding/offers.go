package forwarding

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/levertide/levertide/pkg/outcome"
)

// offers are the attempts of one call.
type offers struct {
	call        *call
	destination *destination
	latestStart time.Time
	// version is the version of the service that takes the call.
	version versionChoice
	tried   []string
	// made counts the nodes that were asked, refusals those that had no slot in
	// time, arrivals the workers that had the call.
	made, refusals, arrivals int
	// overloaded tells that a node had no slot in time.
	overloaded bool
	// declines counts the nodes whose workers were slower than was believed.
	declines int
	// roundTrip is how long the last offer was on its way, there and back, without the
	// time for which the other node had it.
	roundTrip time.Duration
	last      error
	// failure is the first answer by which a worker told that it has failed. It is
	// the answer if no other worker answers.
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

// mayOfferAnother reports whether another worker may do better than one that has answered
// that it failed, and keeps that answer.
func (o *offers) mayOfferAnother(ctx context.Context, result *answer) bool {
	c := o.call
	if result.status < http.StatusInternalServerError || result.rest != nil || o.failure != nil {
		return false
	}
	o.arrivals++
	work, _ := c.state.expected()
	inTime := time.Until(c.end) > work
	if ctx.Err() != nil || !inTime || !c.body.repeatable() || !c.route.MayRepeat(c.request.Method) || !o.mayArriveAgain() {
		return false
	}
	o.failure = result
	return true
}

// mayArriveAgain reports whether another worker may have the call, and counts it in
// the budget.
func (o *offers) mayArriveAgain() bool {
	limit := o.call.route.Config.Attempts
	if limit > 0 && o.arrivals >= limit {
		return false
	}
	return o.call.spend(o.destination, o.call.retryShare())
}

// conclude returns what the caller is told when no further offer is made: the answer
// of a worker that failed, if there is one.
func (o *offers) conclude() (*answer, error) {
	if o.failure != nil {
		return o.failure, nil
	}
	return nil, o.finalFailure()
}

func (o *offers) choose() (choice, bool) {
	if o.failure != nil {
		// A worker that has failed is not asked again: its answer stands.
		return o.chooseExcept(o.tried)
	}
	if !o.lastRefusal() {
		if chosen, ok := o.chooseExcept(o.tried); ok || !o.overloaded {
			return chosen, ok
		}
		o.refusals = maximumRefusals - 1
	}
	// All that were asked have told their load: wait where that is least.
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
	}, time.Now())
}

// lastRefusal reports whether the call waits at the next node for as long as it can, in
// place of asking a further one. A call of a worker goes first wherever it waits.
func (o *offers) lastRefusal() bool {
	return o.refusals >= maximumRefusals-1 || o.call.nested || o.destination.additionalOffers.Tokens(time.Now()) < 1
}

// mostRefusals is how many nodes are asked for a slot. A call that all have refused at
// once may ask one of another zone: bytes between zones are paid for, but not served at
// all is worse.
func (o *offers) mostRefusals() int { return maximumRefusals + 1 }

// mayContinue reports whether a further offer may be made after a failure. Only an
// offer that has reached a worker costs budget, and only one that may have run
// is bound to what may be repeated.
func (o *offers) mayContinue(ctx context.Context, err error, arrived bool) bool {
	if ctx.Err() != nil || !o.call.body.repeatable() {
		return false
	}
	if outcome.ReasonOf(err) == outcome.Quarantined {
		return false
	}
	unknown := outcome.Of(err) == outcome.Unknown
	if unknown && !o.call.route.MayRepeat(o.call.request.Method) {
		return false
	}
	if outcome.ReasonOf(err) == outcome.Declined && o.declines < maximumDeclines {
		// The node has told how slow its worker is. It may be chosen again, since all
		// others may be slower.
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
		return !full || o.hadShortRoundTrip() || o.destination.additionalOffers.Spend(time.Now())
	}
	return o.mayArriveAgain()
}

// hadShortRoundTrip reports whether the last offer took so little time on its way that a
// further one costs next to nothing: the links between the nodes are not filled.
func (o *offers) hadShortRoundTrip() bool {
	return o.roundTrip < shortRoundTrip
}

// slowest returns the slowness of the chosen worker from which on its node is to decline
// the call; zero where it must not: the call could not be offered elsewhere, has been
// declined often enough, or waits for its turn at the last node. A call of a worker may be
// declined wherever it waits: it loses nothing by a second offer.
func (o *offers) slowest(chosen choice) float64 {
	if o.declines >= maximumDeclines || o.call.body.long() || !o.call.body.repeatable() || o.lastRefusal() && !o.call.nested {
		return 0
	}
	return chosen.slowestWorthwhile(o.call.state.atUsualSpeed())
}

// finalFailure returns the failure that the caller is told. Once an offer may have run,
// no later refusal can make the call one that has not.
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

// offer asks one node. It reports whether a worker may have had the call.
func (o *offers) offer(ctx context.Context, chosen choice) (*answer, bool, error) {
	endpoint := chosen.endpoint
	o.made++
	o.tried = append(o.tried, endpoint.node)
	report := &o.call.report
	report.Node, report.Instance = endpoint.node, endpoint.incarnation().String()
	report.Running, report.Waiting, report.Slots = chosen.load.Running, chosen.load.Waiting, chosen.load.Slots
	// Waiting here is worth it for as long as the next best worker is expected
	// to be later, and at the last node for as long as the call can wait at all.
	latestStart := o.latestStart
	switch {
	case o.call.body.long():
		guest := endpoint.zone != o.destination.zone
		latestStart = earlier(latestStart, time.Now().Add(longWait(o.call.waitLimit(), guest, o.lastRefusal())))
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
	o.recordResult(chosen, answered, err)
	return answered, arrived, err
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// recordResult keeps what an offer has shown.
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
	o.destination.done(chosen, observed, time.Now())
}

// pausesEndpoint reports whether a failure speaks against the endpoint.
func pausesEndpoint(reason outcome.Reason) bool {
	switch reason {
	case outcome.Unreachable, outcome.NoWorker, outcome.Draining, outcome.ConnectionLost, outcome.WorkerCrashed, outcome.Misdirected, outcome.NotReady:
		return true
	}
	return false
}
