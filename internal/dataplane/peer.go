package dataplane

import (
	"net/http"
	"strconv"
	"time"

	"github.com/levertide/levertide/internal/evidencewire"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/retry"
	"github.com/levertide/levertide/pkg/routing"
)

// PeerHandler returns the handler for requests of other nodes to the worker of
// this one. Its listener must be reachable by nodes only: their headers are trusted.
func (p *Plane) PeerHandler() http.Handler { return http.HandlerFunc(p.servePeer) }

// peerCall is one request from another node.
type peerCall struct {
	inboundCall
}

func (p *Plane) servePeer(w http.ResponseWriter, r *http.Request) {
	c := &peerCall{newInboundCall(p, &p.peerLimits, w, r)}
	defer c.giveBack(c.end)
	defer c.contain(callsName)
	result, err := c.callWorker()
	if err == nil {
		defer c.giveBack(result.close)
	}
	c.relay.close()
	c.setStatusHeaders()
	if err != nil {
		if known := evidencewire.EncodeHeader(c.plane.config.Quarantine, time.Now()); known != "" {
			c.writer.Header()[evidenceHeader] = []string{known}
		}
		c.fail(err)
		return
	}
	if c.deliver(result) != nil {
		panic(http.ErrAbortHandler)
	}
	c.giveBack(c.recordAnswer)
}

// callWorker sends the request to the worker, unless the node is draining.
func (c *peerCall) callWorker() (*answer, error) {
	if !c.enter(&c.plane.peerCalls, c.plane.draining.Load) {
		return nil, outcome.New(outcome.Draining)
	}
	route, err := c.route()
	if err != nil {
		return nil, err
	}
	bounds, allowance, err := readBounds(c.request.Header)
	if err != nil {
		return nil, err
	}
	c.boundTime(route, bounds)
	if err := c.body.prepare(); err != nil {
		return nil, outcome.Wrap(outcome.BodyNotReceived, err)
	}
	c.tenant = c.request.Header.Get(tenantHeader)
	c.plane.receiveEvidence(c.request.Header)
	c.plane.worker.adoptTerms(c.request.Header, c.request.RemoteAddr)
	level, quarantined := c.quarantineLevel()
	if quarantined {
		return nil, outcome.New(outcome.Quarantined)
	}
	c.offered = true
	result, err := c.plane.worker.send(workerCall{
		inbound:   c.request,
		route:     route,
		body:      c.body,
		lifetime:  c.lifetime,
		relay:     &c.relay,
		allowance: allowance,
		level:     level,
		expect:    c.request.Header.Get(expectHeader) == expectForward,
		tenant:    c.tenant,
	})
	if outcome.ReasonOf(err) == outcome.WorkerCrashed {
		c.recordCrash(level)
	}
	return result, err
}

// route returns the route that the other node chose, from this node's own table.
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

// boundTime bounds the call by the deadline that the other node sent, or else by
// the timeout of the route.
func (c *peerCall) boundTime(route *routing.Route, bounds callBounds) {
	options := lifetimeOptions{Step: route.Timeout}
	switch {
	case bounds.given:
		options.Deadline = c.began.Add(bounds.left)
	case !c.body.streamed:
		options.Deadline = c.began.Add(route.Timeout)
	}
	if bounds.given && !c.body.streamed {
		options.Step = bounds.left
	}
	c.startLifetime(options)
}

// setStatusHeaders reports the load, and whether this node is draining, to the
// other node.
func (c *peerCall) setStatusHeaders() {
	header := c.writer.Header()
	header[loadHeader] = []string{strconv.Itoa(c.plane.load())}
	if c.plane.draining.Load() {
		header[drainingHeader] = []string{drainingMark}
	}
	if c.plane.worker != nil {
		c.plane.worker.setTerms(header)
	}
}

// load returns the worker's load in thousandths.
func (p *Plane) load() int {
	if p.worker == nil {
		return 0
	}
	return int(p.worker.gate.Load() * loadScale)
}

// end gives back what the call holds, also when its handling has panicked.
func (c *peerCall) end() {
	if c.counted {
		defer c.plane.peerCalls.leave()
	}
	c.finish(false, 1)
	c.plane.config.Observer.PeerCallFinished(c.report)
}

// callBounds is the time limit that a caller sets for a call.
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
