package dataplane

import (
	"net/http"
	"strings"
	"time"

	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/retry"
	"github.com/levertide/levertide/pkg/routing"
)

// CallerHandler takes the requests of callers.
func (p *Plane) CallerHandler() http.Handler { return http.HandlerFunc(p.serveCaller) }

// callerCall is one request from a caller, through all its attempts.
type callerCall struct {
	plane       *Plane
	writer      http.ResponseWriter
	request     *http.Request
	control     *http.ResponseController
	body        *requestBody
	life        *lifetime
	relay       informationalRelay
	route       *routing.Route
	destination *destination
	allowance   retry.Allowance
	attempts    retry.Attempts
	carried     retry.Allowance // by the attempt under way
	began       time.Time
	report      CallReport
	// answered is set when a whole answer or a failure was written.
	answered bool
	counted  bool // in Plane.callerCalls
}

func (p *Plane) serveCaller(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	c := &callerCall{
		plane:   p,
		writer:  w,
		request: r,
		control: control,
		body:    newRequestBody(r, control, &p.limits),
		relay:   informationalRelay{writer: w},
		began:   time.Now(),
	}
	defer c.end()
	if err := c.prepare(); err != nil {
		c.fail(err)
	} else {
		c.run()
	}
	c.answered = true
}

// prepare does everything that comes before the first attempt.
func (c *callerCall) prepare() error {
	c.plane.callerCalls.enter()
	if c.plane.closing.Load() {
		c.plane.callerCalls.leave()
		return outcome.New(outcome.Draining)
	}
	c.counted = true
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
	c.startLifetime(bounds)
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
	c.route = route
	c.destination = active.destinations[route.ServiceName]
	c.attempts = c.newAttempts()
	c.report.Route, c.report.Service = route.Name, route.ServiceName
	return nil
}

// startLifetime bounds the call by the caller's deadline, if it gave one, and by
// the route's. The latter starts anew with each part of a streamed body.
func (c *callerCall) startLifetime(bounds callBounds) {
	options := lifetimeOptions{Step: c.route.Timeout, Interrupt: c.body.interrupt}
	if bounds.given {
		options.End = c.began.Add(bounds.left)
		options.Deadline = options.End
	}
	if !c.body.streamed {
		options.Deadline = c.began.Add(shorter(c.route.Timeout, options.End))
	}
	c.life = newLifetime(c.request.Context(), options)
	c.body.moved = c.life.uploadMoved
}

func (c *callerCall) deliver(result *answer) error {
	c.report.Outcome = outcome.Answered
	c.report.Status = result.response.StatusCode
	limits := &c.plane.limits
	delivery := delivery{
		writer:   c.writer,
		control:  c.control,
		response: result.response,
		life:     c.life,
		stall:    limits.Stall,
		pace:     pace{grace: limits.Grace, rate: limits.MinimumRate},
		closing:  c.closing(),
	}
	err := delivery.run()
	if err != nil {
		c.report.Truncated = true
		c.report.Cause = err
	}
	return err
}

func (c *callerCall) fail(err error) {
	c.report.Outcome = outcome.Of(err)
	c.report.Reason = outcome.ReasonOf(err)
	c.report.Cause = err
	c.report.Status = writeFailure(c.writer, c.control, err, c.closing())
}

func (c *callerCall) closing() bool { return c.plane.draining.Load() || !c.body.reusable() }

func (c *callerCall) end() {
	if c.life != nil {
		c.life.end()
	}
	c.report.Attempts = c.attempts.Made()
	c.report.Duration = time.Since(c.began)
	c.body.release(c.answered)
	c.plane.config.Observer.CallFinished(c.report)
	if c.counted {
		c.plane.callerCalls.leave()
	}
}
