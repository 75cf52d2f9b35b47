package forwarding

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/routing"
)

// call is one request from a caller, through all its attempts.
type call struct {
	plane   *Plane
	request *http.Request
	route   *routing.Route
	state   *routeState
	body    *requestBody
	began   time.Time
	// heldUntil is when the call last stopped waiting for its node to start; zero when it did not
	// wait.
	heldUntil time.Time
	// received is when the part of its body that is buffered had arrived; zero until then.
	received time.Time
	// end is when an answer is no longer of use to the caller, or the timeout of the route is
	// over.
	end time.Time
	// nested is set when a worker made the call while it ran another call, its parent.
	nested bool
	// repeat is set when the call was made before, during an earlier run of its parent.
	repeat bool
	// checked is set when the configuration version in force has tenants: the call then has a
	// tenant, or a parent that it inherits from, or neither on a public route.
	checked bool
	tenant  *routing.Tenant
	parent  *parentCall
	// offered is set before the call is offered to a worker, concluded before its answer is written.
	offered, concluded bool
	// charged is set when the call was counted against the limit of its tenant.
	charged bool
	// clientRetry is set when the caller was refused before and retries the call.
	clientRetry bool
	report      CallReport
	// identified caches the fingerprint of the request.
	identified identity
}

func (p *Plane) serveCaller(w http.ResponseWriter, r *http.Request) {
	p.calls.Add(1)
	defer p.calls.Add(-1)
	c := &call{plane: p, request: r, began: time.Now()}
	defer c.contain(w)
	c.report.RequestID = r.Header.Get(p.config.Dialect.RequestID)
	parent, nested := p.config.Dialect.parent(c.report.RequestID)
	c.nested, c.repeat = nested, nested && p.running.repeats(parent)
	result, err := c.answer(w)
	c.conclude(w, result, err)
}

// contain concludes a call whose handling has panicked: before its first offer it has not run.
func (c *call) contain(w http.ResponseWriter) {
	if value := recover(); value != nil {
		c.conclude(w, nil, c.plane.panicFailure(callersName, value, c.concluded, c.offered))
	}
}

// answer obtains an answer from a worker. Errors are those of package outcome.
func (c *call) answer(w http.ResponseWriter) (*answer, error) {
	timeout := c.callerTimeout()
	configuration := c.awaitConfiguration(timeout)
	if configuration == nil {
		return nil, outcome.New(outcome.NotReady)
	}
	if err := c.accept(configuration.Table, timeout); err != nil {
		return nil, err
	}
	rare := c.state.observeTimeout(timeout)
	c.clientRetry = !c.nested && (rare || c.plane.refusals.isRetry(c.request, c.began.Add(timeout)))
	c.report.ClientRetry = c.clientRetry
	body, err := holdBody(w, c.request, configuration.MaximumBody, c.end)
	if err != nil {
		return nil, err
	}
	body.panicked = c.plane.config.Panicked
	c.body, c.received = body, time.Now()
	ctx, cancel := context.WithDeadlineCause(c.request.Context(), c.end, errEnd)
	result, err := c.attempts(ctx)
	if err != nil || result.rest == nil {
		cancel()
		return result, err
	}
	finish := result.finish
	result.finish = func(complete bool) {
		cancel()
		if finish != nil {
			finish(complete)
		}
	}
	return result, nil
}

// accept finds the route of the call, authenticates the caller and charges the limit of its
// tenant. Errors are those of package outcome.
func (c *call) accept(table *routing.Table, timeout time.Duration) error {
	c.report.Version = table.Version()
	if !httpconn.Forwardable(c.request) {
		return outcome.New(outcome.Malformed)
	}
	route, matched := table.Match(c.request.Host, httpconn.PathAsSent(c.request), c.request.Method)
	if matched != routing.Matched {
		return outcome.New(outcome.NoRoute)
	}
	c.route = route
	c.state = c.plane.routes.get(route.Name)
	c.end = c.began.Add(min(timeout, route.Timeout))
	c.report.Route = route.Name
	if err := c.authenticate(table); err != nil {
		return err
	}
	return c.charge(c.request.Context())
}

// mayRepeat reports whether the call may run more than once.
func (c *call) mayRepeat() bool { return c.route.MayRepeat(c.request.Method) }

// callerTimeout returns how long the caller will wait, or one hour if the caller does not state a
// valid timeout.
func (c *call) callerTimeout() time.Duration {
	const longest = time.Hour
	milliseconds, err := strconv.ParseInt(c.request.Header.Get(c.plane.config.Dialect.Timeout), 10, 64)
	if err != nil || milliseconds < 0 || milliseconds > longest.Milliseconds() {
		return longest
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// conclude writes the answer or the failure to the caller and reports the call to the observer.
func (c *call) conclude(w http.ResponseWriter, result *answer, err error) {
	closing := c.plane.leaving.Load()
	c.concluded = true
	if err == nil && c.endsUnnoticed(result) {
		result, err = afterUpload(result)
	}
	c.refund(err)
	if err != nil {
		closing = closing || c.body == nil && c.request.ContentLength != 0 || c.body != nil && c.body.rest != nil
		c.report.Outcome, c.report.Reason, c.report.Cause = outcome.Of(err), outcome.ReasonOf(err), c.explained(err)
		c.report.refuse(decisionOf(err, c.plane.config.Node))
		if c.body != nil && (outcome.Of(err) == outcome.Unknown || c.report.Reason == outcome.Quarantined) {
			c.report.Fingerprint = c.fingerprint()
		}
		if c.report.Reason == outcome.Unauthenticated {
			w.Header()["Www-Authenticate"] = []string{c.plane.config.Dialect.Key.Scheme}
		}
		c.report.Status, c.report.RetryAfter = writeFailure(w, err, c.retryAfter(err), closing)
		if c.report.RetryAfter > 0 && !c.nested {
			c.plane.refusals.remember(c.request, c.began.Add(c.callerTimeout()))
		}
		c.finish()
		return
	}
	c.report.Outcome, c.report.Status = outcome.Answered, result.status
	failure := result.deliver(w, closing)
	c.report.Truncated, c.report.Cause = failure != nil, failure
	c.finish()
	if failure != nil {
		panic(http.ErrAbortHandler)
	}
}

// endsUnnoticed reports whether the caller could take a part of a streamed answer for the whole: the end of
// one without a length is for HTTP/1.0 that of the connection, and a reset may be told to the caller's own
// writing only while it sends its body.
func (c *call) endsUnnoticed(result *answer) bool {
	return !c.request.ProtoAtLeast(1, 1) && result.rest != nil && result.length < 0 && c.body.rest != nil
}

// afterUpload returns an answer once the body of its request was sent, or the failure to send it.
func afterUpload(result *answer) (*answer, error) {
	if err := result.sending.Wait(); err != nil {
		result.release(false)
		return nil, outcome.Wrap(outcome.ConnectionLost, err)
	}
	return result, nil
}

// retryAfter returns after which time the caller is to retry. After an overload that is one and a
// half to three targets: spread, so that callers that were refused together do not retry at the
// same time, and long enough that a short overload is over. The causes of other refusals end
// sooner.
func (c *call) retryAfter(err error) time.Duration {
	switch {
	case outcome.ReasonOf(err) == outcome.QuotaExceeded:
		return max(outcome.RetryAfterOf(err), shortestRetryAfter)
	case outcome.ReasonOf(err) != outcome.Overloaded || c.route == nil:
		return retryAfter(err)
	}
	if wait := outcome.RetryAfterOf(err); c.report.Limit != "" && wait > 0 {
		// Room comes at the rate of the limit, whatever the target of the route.
		spread := time.Duration(rand.Float64() * float64(wait))
		return max(min(wait+spread, longestLimitedRetryAfter), shortestRetryAfter)
	}
	target := float64(c.target())
	wait := target * (overloadWaitLeast + overloadWaitSpread*rand.Float64())
	return max(min(time.Duration(wait), longestRetryAfter), shortestRetryAfter)
}

func (c *call) finish() {
	now := time.Now()
	c.report.Duration = now.Sub(c.began)
	c.report.Tenant = c.principal().tenant
	if !c.end.IsZero() {
		c.report.Left = c.end.Sub(now)
	}
	c.plane.config.Observer.CallFinished(c.report)
}
