package dataplane

import (
	"net/http"
	"strconv"
	"time"

	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/retry"
	"github.com/levertide/levertide/pkg/routing"
)

// PeerHandler takes the requests of other nodes for the worker of this one. Its
// listener must be reachable for nodes only: what they say is trusted.
func (p *Plane) PeerHandler() http.Handler { return http.HandlerFunc(p.servePeer) }

// peerCall is one request from another node.
type peerCall struct {
	plane   *Plane
	writer  http.ResponseWriter
	request *http.Request
	control *http.ResponseController
	body    *requestBody
	life    *lifetime
	relay   informationalRelay
	began   time.Time
	report  CallReport
	counted bool // in Plane.peerCalls
}

func (p *Plane) servePeer(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	c := &peerCall{
		plane:   p,
		writer:  w,
		request: r,
		control: control,
		body:    newRequestBody(r, control, &p.peerLimits),
		relay:   informationalRelay{writer: w},
		began:   time.Now(),
	}
	defer c.end()
	result, err := c.admit()
	c.relay.close()
	if err != nil {
		c.fail(err)
		return
	}
	defer result.close()
	c.deliver(result)
}

// admit refuses the call when the node drains. Refused calls are not counted,
// since a drain does not wait for them.
func (c *peerCall) admit() (*answer, error) {
	c.plane.peerCalls.enter()
	if c.plane.draining.Load() {
		c.plane.peerCalls.leave()
		return nil, outcome.New(outcome.Draining)
	}
	c.counted = true
	return c.ask()
}

func (c *peerCall) ask() (*answer, error) {
	route, err := c.route()
	if err != nil {
		return nil, err
	}
	bounds, allowance, err := readBounds(c.request.Header)
	if err != nil {
		return nil, err
	}
	c.startLifetime(route, bounds)
	if err := c.body.prepare(); err != nil {
		return nil, outcome.Wrap(outcome.BodyNotReceived, err)
	}
	return c.plane.worker.ask(workerCall{
		inbound:   c.request,
		route:     route,
		body:      c.body,
		life:      c.life,
		relay:     &c.relay,
		allowance: allowance,
		expect:    c.request.Header.Get(expectHeader) == expectForward,
	})
}

// route returns the route that the other node chose, as this node knows it.
func (c *peerCall) route() (*routing.Route, error) {
	active := c.plane.current()
	if active == nil {
		return nil, outcome.New(outcome.NotReady)
	}
	route, ok := active.table.Route(c.request.Header.Get(routeHeader))
	if !ok || c.plane.worker == nil || route.ServiceName != c.plane.config.Service {
		return nil, outcome.New(outcome.Misdirected)
	}
	c.report.Route, c.report.Service = route.Name, route.ServiceName
	return route, nil
}

func (c *peerCall) startLifetime(route *routing.Route, left callBounds) {
	options := lifetimeOptions{Step: route.Timeout, Interrupt: c.body.interrupt}
	switch {
	case left.given:
		options.Deadline = c.began.Add(left.left)
	case !c.body.streamed:
		options.Deadline = c.began.Add(route.Timeout)
	}
	if left.given && !c.body.streamed {
		options.Step = left.left
	}
	c.life = newLifetime(c.request.Context(), options)
	c.body.moved = c.life.uploadMoved
}

func (c *peerCall) deliver(result *answer) {
	c.setMarks()
	c.report.Status = result.response.StatusCode
	limits := &c.plane.peerLimits
	delivery := delivery{
		writer:   c.writer,
		control:  c.control,
		response: result.response,
		life:     c.life,
		stall:    limits.Stall,
		pace:     pace{grace: limits.Grace, rate: limits.MinimumRate},
		closing:  c.closing(),
	}
	c.report.Outcome = outcome.Answered
	if err := delivery.run(); err != nil {
		c.report.Truncated = true
		c.report.Cause = err
		panic(http.ErrAbortHandler)
	}
}

func (c *peerCall) fail(err error) {
	c.setMarks()
	c.report.Outcome = outcome.Of(err)
	c.report.Reason = outcome.ReasonOf(err)
	c.report.Cause = err
	c.report.Status = writeFailure(c.writer, c.control, err, c.closing())
}

// setMarks tells the other node the load and whether this node is leaving.
func (c *peerCall) setMarks() {
	header := c.writer.Header()
	header[loadHeader] = []string{strconv.Itoa(c.plane.load())}
	if c.plane.draining.Load() {
		header[drainingHeader] = []string{drainingMark}
	}
}

func (c *peerCall) closing() bool { return c.plane.draining.Load() || !c.body.reusable() }

// load returns the worker's load in thousandths.
func (p *Plane) load() int {
	if p.worker == nil {
		return 0
	}
	return int(p.worker.gate.Load() * loadScale)
}

func (c *peerCall) end() {
	if c.life != nil {
		c.life.end()
	}
	c.body.release(false)
	c.report.Attempts = 1
	c.report.Duration = time.Since(c.began)
	c.plane.config.Observer.PeerCallFinished(c.report)
	if c.counted {
		c.plane.peerCalls.leave()
	}
}

// callBounds is the time that a caller gives a call.
type callBounds struct {
	left  time.Duration
	given bool
}

// readBounds reads the deadline and the allowance that a request carries.
func readBounds(header http.Header) (callBounds, retry.Allowance, error) {
	bounds := callBounds{}
	value, present, ok := single(header, retry.DeadlineHeader)
	if present && ok {
		bounds.left, ok = retry.ParseDeadline(value)
		bounds.given = true
	}
	if !ok {
		return bounds, 0, outcome.New(outcome.Malformed)
	}
	allowance := retry.DefaultAllowance
	value, present, ok = single(header, retry.AttemptsLeftHeader)
	if present && ok {
		allowance, ok = retry.ParseAllowance(value)
	}
	if !ok {
		return bounds, 0, outcome.New(outcome.Malformed)
	}
	if bounds.given && bounds.left == 0 {
		return bounds, 0, outcome.New(outcome.DeadlineBeforeStart)
	}
	return bounds, allowance, nil
}
