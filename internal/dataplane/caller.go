package dataplane

import (
	"net/http"
	"strings"
	"time"

	"github.com/levertide/levertide/pkg/balance"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/retry"
	"github.com/levertide/levertide/pkg/routing"
)

// CallerHandler returns the handler for requests from callers.
func (p *Plane) CallerHandler() http.Handler { return http.HandlerFunc(p.serveCaller) }

// callerCall is one request from a caller, with all its attempts.
type callerCall struct {
	inboundCall
	route            *routing.Route
	destination      *destination
	allowance        retry.Allowance
	attempts         retry.Attempts
	attemptAllowance retry.Allowance // sent with the current attempt
	// pick is that of the current attempt; picked is set until its result is known.
	pick   balance.Pick
	picked bool
	// answered is set when a complete answer or a failure was written.
	answered bool
}

func (p *Plane) serveCaller(w http.ResponseWriter, r *http.Request) {
	c := &callerCall{inboundCall: newInboundCall(p, &p.limits, w, r)}
	defer c.giveBack(c.end)
	defer c.contain(callersName)
	if err := c.prepare(); err != nil {
		c.fail(err)
	} else {
		c.run()
	}
	c.answered = true
}

// prepare does everything that comes before the first attempt.
func (c *callerCall) prepare() error {
	if !c.enter(&c.plane.callerCalls, c.plane.closing.Load) {
		return outcome.New(outcome.Draining)
	}
	if err := checkRequest(c.request); err != nil {
		return err
	}
	bounds, allowance, err := readBounds(c.request.Header)
	if err != nil {
		return err
	}
	c.allowance = min(allowance, retry.DefaultAllowance)
	if c.plane.config.NoRetryBudget {
		c.allowance = retry.DefaultAllowance
	}
	if err := c.findRoute(); err != nil {
		return err
	}
	c.boundTime(bounds)
	if err := c.body.prepare(); err != nil {
		return outcome.Wrap(outcome.BodyNotReceived, err)
	}
	return nil
}

func (c *callerCall) findRoute() error {
	active := c.plane.current()
	if active == nil {
		return outcome.WithRetryAfter(outcome.NotReady, time.Second)
	}
	host, path := c.request.Host, c.request.URL.Path
	route, result := active.table.Match(host, path, c.request.Method)
	switch result {
	case routing.NoRoute:
		return outcome.New(outcome.NoRoute)
	case routing.OutOfScope:
		return outcome.New(outcome.OutOfScope)
	case routing.MethodNotAllowed:
		methods := active.table.AllowedMethods(host, path)
		c.writer.Header()["Allow"] = []string{strings.Join(methods, ", ")}
		return outcome.New(outcome.MethodNotAllowed)
	}
	c.report.Route, c.report.Service = route.Name, route.ServiceName
	if err := c.authenticate(active.table, route); err != nil {
		return err
	}
	c.route = route
	c.destination = active.destinations[route.ServiceName]
	c.attempts = c.newAttempts()
	return nil
}

// boundTime bounds the call by the caller's deadline, if it gave one, and by
// the route's timeout. The latter restarts with each part of a streamed body.
func (c *callerCall) boundTime(bounds callBounds) {
	options := lifetimeOptions{Step: c.route.Timeout}
	if bounds.given {
		options.End = c.began.Add(bounds.left)
		options.Deadline = options.End
	}
	if !c.body.streamed {
		options.Deadline = c.began.Add(shorter(c.route.Timeout, options.End))
	}
	c.startLifetime(options)
}

// end gives back what the call holds, also when its handling has panicked.
func (c *callerCall) end() {
	if c.counted {
		defer c.plane.callerCalls.leave()
	}
	c.attemptDone(balance.Result{Outcome: balance.Canceled})
	c.finish(c.answered, c.attempts.Made())
	c.plane.config.Observer.CallFinished(c.report)
}
