package dataplane

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/pkg/balance"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/retry"
)

// noWorkerRetryAfter is the Retry-After of the answer when a service has no worker.
const noWorkerRetryAfter = time.Second

// run makes attempts until one is answered or no further one is allowed.
func (c *callerCall) run() {
	var tried [retry.MaximumAttempts]string
	for {
		if err := c.checkQuarantine(); err != nil {
			c.refuseQuarantined(err)
			return
		}
		c.plane.refreshMembers(c.destination)
		pick, err := c.choose(tried[:c.attempts.Made()])
		if err != nil {
			c.giveUp()
			return
		}
		c.pick, c.picked = pick, true
		tried[c.attempts.Made()] = pick.Endpoint.ID
		c.attemptAllowance = c.attempts.Begin()
		result, observed, err := c.attempt(pick.Endpoint)
		if err == nil {
			c.conclude(result, observed)
			return
		}
		c.attemptDone(observed)
		if !c.attempts.Fail(err, c.canRetry(), time.Now()) || !c.pause() {
			c.giveUp()
			return
		}
	}
}

// newAttempts returns the state of the call before its first attempt.
func (c *callerCall) newAttempts() retry.Attempts {
	return retry.NewAttempts(retry.AttemptsOptions{
		Allowance:  c.allowance,
		Repeatable: c.route.MayRepeat(c.request.Method),
		Budget:     c.destination.budget,
		Unbounded:  c.plane.config.NoRetryBudget,
	})
}

// canRetry reports whether the call is still live and its body can be sent again.
func (c *callerCall) canRetry() bool { return c.lifetime.ctx.Err() == nil && c.body.repeatable() }

// pause waits before the next attempt. It reports false when the call ended
// meanwhile.
func (c *callerCall) pause() bool {
	duration := c.attempts.Pause(c.plane.config.Backoff, rand.Float64())
	return duration == 0 || pause(c.lifetime.ctx, duration)
}

// choose chooses a node that was not tried yet, or an already tried one if there is
// no other.
func (c *callerCall) choose(tried []string) (balance.Pick, error) {
	pick, err := c.destination.balancer.Pick(tried...)
	if err != nil && len(tried) > 0 {
		return c.destination.balancer.Pick()
	}
	return pick, err
}

// attemptDone reports the result of the current attempt to the balancer, if there is one.
func (c *callerCall) attemptDone(observed balance.Result) {
	if c.picked {
		c.picked = false
		c.pick.Done(observed)
	}
}

// conclude delivers an answer and reports the result to the balancer.
func (c *callerCall) conclude(result *answer, observed balance.Result) {
	own := result.transport == nil
	err := c.deliverAndClose(result)
	if err != nil && !c.callerGone() {
		observed.Outcome = balance.Failed
	}
	c.giveBack(func() { c.attemptDone(observed) })
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if own {
		c.giveBack(c.recordAnswer)
	}
}

func (c *callerCall) deliverAndClose(result *answer) error {
	defer c.giveBack(result.close)
	c.relay.close()
	return c.deliver(result)
}

// callerGone reports whether the call ended because its caller disconnected.
func (c *callerCall) callerGone() bool {
	return c.lifetime.ctx.Err() != nil && !errors.Is(context.Cause(c.lifetime.ctx), errDeadline)
}

// giveUp answers with the failure of the attempts, or with NoWorker when there is none.
func (c *callerCall) giveUp() {
	c.relay.close()
	failure := c.attempts.Failure()
	if failure == nil {
		failure = outcome.WithRetryAfter(outcome.NoWorker, noWorkerRetryAfter)
	}
	c.fail(failure)
}

// refuseQuarantined answers that the request is quarantined, or, when an attempt may
// have run, with that attempt's failure.
func (c *callerCall) refuseQuarantined(err error) {
	if failure := c.attempts.Failure(); failure != nil && outcome.Of(failure) == outcome.Unknown {
		c.giveUp()
		return
	}
	c.relay.close()
	c.fail(err)
}

// attempt sends the request to one node, or directly to the worker of this one.
func (c *callerCall) attempt(endpoint balance.Endpoint) (*answer, balance.Result, error) {
	c.offered = true
	if endpoint.ID == c.plane.config.Node && c.plane.worker != nil {
		return c.attemptLocal()
	}
	return c.attemptPeer(endpoint)
}

func (c *callerCall) attemptLocal() (*answer, balance.Result, error) {
	worker := c.plane.worker
	level, _ := c.quarantineLevel()
	result, err := worker.send(workerCall{
		level:     level,
		inbound:   c.request,
		route:     c.route,
		body:      c.body,
		lifetime:  c.lifetime,
		relay:     &c.relay,
		allowance: c.attemptAllowance,
		expect:    c.request.Header.Get("Expect") != "",
		tenant:    c.tenant,
	})
	observed := balance.Result{
		Load:      worker.gate.Load(),
		LoadKnown: true,
		Draining:  c.plane.draining.Load(),
	}
	if outcome.ReasonOf(err) == outcome.WorkerCrashed {
		c.recordCrash(level)
	}
	if err != nil {
		observed.Outcome = balancerOutcome(err)
		return nil, observed, err
	}
	observed.Latency = result.latency
	return result, observed, nil
}

func (c *callerCall) attemptPeer(endpoint balance.Endpoint) (*answer, balance.Result, error) {
	transport := c.plane.peers.get(endpoint.ID, endpoint.Address)
	trip := roundTrip{
		transport: transport.Transport,
		request:   c.peerRequest(endpoint),
		body:      c.body,
		relay:     &c.relay,
	}
	began := time.Now()
	response, err := trip.do(c.lifetime.ctx)
	if err != nil {
		transport.callEnded()
		return nil, balance.Result{Outcome: balancerOutcome(err)}, err
	}
	c.plane.receiveEvidence(response.Header)
	observed := readStatusHeaders(response.Header)
	if observed.Draining {
		c.plane.peers.retire(endpoint.Address)
	}
	observed.Latency = time.Since(began)
	err = failureOf(response, observed.LoadKnown)
	observed.Draining = c.observeTerms(endpoint, response.Header, err == nil, began) || observed.Draining
	if err != nil {
		discard(response)
		transport.callEnded()
		observed.Outcome = balancerOutcome(err)
		return nil, observed, err
	}
	return &answer{response: response, latency: observed.Latency, transport: transport}, observed, nil
}

// peerRequest returns the request to another node, without its body.
func (c *callerCall) peerRequest(endpoint balance.Endpoint) *http.Request {
	header := outgoingHeader(c.request)
	header[routeHeader] = []string{c.route.Name}
	header[retry.AttemptsLeftHeader] = []string{c.attemptAllowance.String()}
	if left, ok := c.lifetime.left(); ok {
		header[retry.DeadlineHeader] = []string{retry.FormatDeadline(left)}
	}
	setTenant(header, c.tenant)
	c.setTerms(header, endpoint)
	c.plane.addEvidence(header, endpoint.Address)
	if c.body.streamed {
		// A long body is held back until the other node has admitted the request.
		header["Expect"] = []string{expectContinue}
		if c.request.Header.Get("Expect") != "" {
			header[expectHeader] = []string{expectForward}
		}
	}
	scheme := schemePlain
	if c.plane.config.PeerTLS != nil {
		scheme = schemeEncrypted
	}
	return outgoingRequest(c.request, scheme, endpoint.Address, header)
}

// readStatusHeaders reads the load and the draining state that another node reports.
func readStatusHeaders(header http.Header) balance.Result {
	observed := balance.Result{Draining: header.Get(drainingHeader) == drainingMark}
	load, err := strconv.ParseUint(header.Get(loadHeader), 10, 16)
	if err == nil {
		observed.Load = min(float64(load)/loadScale, 1)
		observed.LoadKnown = true
	}
	return observed
}

// failureOf returns the failure that another node reported, or nil for an
// answer. An answer without status headers does not come from a node's
// PeerHandler. A failure may lack them: a node that is not ready yet refuses
// requests before they reach its PeerHandler.
func failureOf(response *http.Response, hasStatus bool) error {
	reported, reason := outcome.FromResponse(response.Header)
	if reported == outcome.Answered {
		if !hasStatus || httpconn.EndsWithConnection(response) {
			return outcome.New(outcome.InvalidAnswer)
		}
		return nil
	}
	if !reason.Known() || reason.Outcome() != reported {
		reason = defaultReason(reported)
	}
	seconds, err := strconv.ParseUint(response.Header.Get("Retry-After"), 10, 16)
	if err != nil {
		return outcome.New(reason)
	}
	return outcome.WithRetryAfter(reason, time.Duration(seconds)*time.Second)
}

// defaultReason returns the reason that replaces one unknown to this node.
func defaultReason(reported outcome.Outcome) outcome.Reason {
	if reported == outcome.NotRun {
		return outcome.Unreachable
	}
	return outcome.NotSpecified
}

// balancerOutcome returns what the failure of an attempt means to the balancer.
func balancerOutcome(err error) balance.Outcome {
	switch outcome.ReasonOf(err) {
	case outcome.Overloaded, outcome.Draining, outcome.RefusedByOwnWorker,
		outcome.Malformed, outcome.DeadlineBeforeStart:
		return balance.Shed
	case outcome.Canceled, outcome.CanceledBeforeStart, outcome.UploadFailed, outcome.BodyNotReceived, outcome.Quarantined:
		return balance.Canceled
	default:
		return balance.Failed
	}
}
