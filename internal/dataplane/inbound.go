package dataplane

import (
	"net/http"
	"time"

	"github.com/levertide/levertide/pkg/outcome"
)

// inboundCall holds what requests from callers and from other nodes have in common.
type inboundCall struct {
	plane    *Plane
	limits   *Limits
	writer   http.ResponseWriter
	request  *http.Request
	control  *http.ResponseController
	body     *requestBody
	lifetime *lifetime // nil until the route is known
	relay    informationalRelay
	began    time.Time
	report   CallReport
	// tenant is the name of the tenant that made the call; empty where there are no tenants,
	// and for a call without a key on a public route.
	tenant string
	// counted is set when the call is counted among those in flight.
	counted bool
	// offered is set when a worker may have the request.
	offered bool
	// begun is set when the answer may have begun.
	begun bool
}

func newInboundCall(p *Plane, limits *Limits, w http.ResponseWriter, r *http.Request) inboundCall {
	control := http.NewResponseController(w)
	return inboundCall{
		plane:   p,
		limits:  limits,
		writer:  w,
		request: r,
		control: control,
		body:    newRequestBody(r, control, limits, p.config.Panicked),
		relay:   informationalRelay{writer: w, panicked: p.config.Panicked},
		began:   time.Now(),
	}
}

// enter counts the call among those in flight. It reports false, and does not
// count it, when calls are refused: a drain does not wait for refused ones.
func (c *inboundCall) enter(calls *inFlight, refused func() bool) bool {
	calls.enter()
	if refused() {
		calls.leave()
		return false
	}
	c.counted = true
	return true
}

func (c *inboundCall) startLifetime(options lifetimeOptions) {
	options.Interrupt = c.body.interrupt
	options.Suspended = c.plane.config.Suspended
	c.lifetime = newLifetime(c.request.Context(), options)
	c.body.onProgress = c.lifetime.uploadProgressed
	if c.expectsContinue() {
		c.body.onStart = c.relay.sendContinue
	}
}

// expectsContinue reports whether the sender of the request waits for 100-continue before it sends
// the body, and the server sends that with the first read.
func (c *inboundCall) expectsContinue() bool {
	return c.request.ProtoMajor == 1 && c.request.ProtoAtLeast(1, 1) && c.request.Header.Get("Expect") != ""
}

// deliver forwards an answer. After an error, which means that it did not arrive
// completely, the handler must be aborted.
func (c *inboundCall) deliver(result *answer) error {
	c.begun = true
	c.report.Outcome = outcome.Answered
	c.report.Status = result.response.StatusCode
	delivery := delivery{
		writer:   c.writer,
		control:  c.control,
		response: result.response,
		lifetime: c.lifetime,
		stall:    c.limits.Stall,
		pace:     pace{grace: c.limits.Grace, rate: c.limits.MinimumRate},
		closing:  c.closing(),
	}
	err := delivery.run()
	if err != nil {
		c.report.Truncated = true
		c.report.Cause = err
	}
	return err
}

func (c *inboundCall) fail(err error) {
	c.begun = true
	c.report.Outcome = outcome.Of(err)
	c.report.Reason = outcome.ReasonOf(err)
	c.report.Cause = err
	c.report.Status = writeFailure(c.writer, c.control, err, c.closing())
}

// closing reports whether the connection must not be reused.
func (c *inboundCall) closing() bool { return c.plane.draining.Load() || !c.body.reusable() }

// finish releases what the call holds and completes its report.
func (c *inboundCall) finish(answered bool, attempts int) {
	if c.lifetime != nil {
		c.lifetime.end()
	}
	c.body.release(answered)
	c.report.Attempts = attempts
	c.report.Duration = time.Since(c.began)
}
