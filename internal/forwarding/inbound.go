package forwarding

import (
	"context"
	"net/http"
	"time"

	"github.com/levertide/levertide/internal/intake"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/slotqueue"
	"github.com/levertide/levertide/pkg/workers"
)

// hopCall is one request from another node for the worker of this one.
type hopCall struct {
	plane   *Plane
	request *http.Request
	hop     hop
	client  *workerClient
	body    *requestBody
	began   time.Time
	// concluded is set before the answer is written.
	concluded bool
	// sent is the request that was sent to the worker; its zero value until then.
	sent workerCall
}

func (p *Plane) serveHop(w http.ResponseWriter, r *http.Request) {
	p.hops.Add(1)
	defer p.hops.Add(-1)
	w, r, done := p.boundHop(w, r)
	defer done()
	c := &hopCall{plane: p, request: r, began: intake.Arrived(r.Context())}
	defer c.contain(w)
	parsed, ok := parseHop(r.Header.Get(hopHeader))
	if !ok {
		c.conclude(w, nil, outcome.New(outcome.Misdirected))
		return
	}
	parsed.readWork(r.Header.Get(workHeader))
	c.hop = parsed
	ctx, cancel := context.WithDeadlineCause(r.Context(), c.began.Add(parsed.left), errEnd)
	defer cancel()
	result, err := c.run(ctx, w)
	c.conclude(w, result, err)
}

// contain concludes a call whose handling has panicked: before it was sent to the worker it has not
// run.
func (c *hopCall) contain(w http.ResponseWriter) {
	if value := recover(); value != nil {
		c.conclude(w, nil, c.plane.panicFailure(callsName, value, c.concluded, c.sent.sent))
	}
}

// run obtains an answer from the worker.
func (c *hopCall) run(ctx context.Context, w http.ResponseWriter) (*answer, error) {
	client, err := c.plane.local.find(c.hop.service, c.hop.incarnation)
	if err != nil {
		return nil, err
	}
	c.client = client
	if news, stated := workers.ParseTermsNews(c.request.Header[termsHeader]); stated {
		client.adoptTerms(news, c.request.RemoteAddr)
	}
	if declines(client.slowness(), c.hop.slowest) {
		return nil, outcome.New(outcome.Declined)
	}
	authenticated := principalOf(c.request.Header[principalHeader])
	wanted := c.hop.claim(c.began)
	wanted.tenant = authenticated.tenant
	// The other node sends a long body only once reading it begins here. A call that would be
	// refused is refused before that: its body must not fill the links of machines that are busy
	// already.
	if err := client.check(ctx, wanted); err != nil {
		return nil, err
	}
	end := c.began.Add(c.hop.left)
	if err := c.receiveBody(ctx, w, wanted, end); err != nil {
		return nil, err
	}
	c.body.panicked = c.plane.config.Panicked
	if c.body.long() {
		wanted = wanted.afterTransfer()
	}
	if !authenticated.checked && client.slowness() == 0 {
		wanted = wanted.byArrival()
	}
	c.sent = c.workerCall(wanted, authenticated, end)
	quarantined := false
	if c.sent.level, quarantined = c.plane.suspicion(&c.sent, c.hop.level); quarantined {
		return nil, outcome.New(outcome.Quarantined)
	}
	result, err := client.run(ctx, &c.sent)
	c.plane.countRun(c.hop.service, client.worker, c.request, &c.sent, result, err)
	return result, err
}

// workerCall returns the request to send to the worker.
func (c *hopCall) workerCall(wanted claim, authenticated principal, end time.Time) workerCall {
	return workerCall{
		inbound:   c.request,
		body:      c.body,
		caller:    c.hop.caller,
		claim:     wanted,
		began:     c.began,
		end:       end,
		repeat:    c.request.Header.Get(repeatHeader) != "",
		principal: authenticated,
	}
}

// receiveBody reads the body. A long one waits for its turn on the link of this node.
func (c *hopCall) receiveBody(ctx context.Context, w http.ResponseWriter, wanted claim, end time.Time) error {
	if c.request.ContentLength >= 0 && c.request.ContentLength < expectContinueBody {
		var err error
		c.body, err = holdBody(w, c.request, 0, end)
		return err
	}
	permit, err := c.plane.transfers.Admit(ctx, wanted.forTransfer().request())
	if err != nil {
		c.plane.refusedTransfers.Add(1)
		return admissionFailure(ctx, err)
	}
	slow := time.AfterFunc(slowTransfer, func() { c.plane.contained(func() { permit.Release(false) }) })
	c.body, err = holdBody(w, c.request, 0, end)
	if slow.Stop() {
		permit.Release(err == nil)
	}
	return err
}

// conclude writes the answer or the failure to the other node and reports the call to the
// observer.
func (c *hopCall) conclude(w http.ResponseWriter, result *answer, err error) {
	c.concluded = true
	report := CallReport{
		RequestID: c.request.Header.Get(c.plane.config.Dialect.RequestID),
		Service:   c.hop.service,
		Tenant:    principalOf(c.request.Header[principalHeader]).tenant,
		Instance:  c.hop.incarnation.String(),
		Node:      c.plane.config.Node,
		Left:      c.hop.left,
	}
	var load slotqueue.Load
	if c.client != nil {
		load = c.client.load()
		report.Limit = limitText(load)
		report.Running, report.Waiting, report.Slots = load.Running, load.Waiting, load.Slots
	}
	report.Waited, report.Ran = c.sent.waited, c.sent.ran
	if c.sent.arrived {
		report.Arrivals = 1
	}
	var ran time.Duration
	if result != nil {
		ran = result.ran
	}
	load.Transfer = c.plane.transfers.Wait()
	if load.Slots > 0 {
		w.Header()[hopLoadHeader] = []string{formatLoad(load, ran)}
	}
	if c.client != nil {
		c.setTerms(w.Header(), load, err)
	}
	if err != nil {
		if ids := c.request.Header[c.plane.config.Dialect.RequestID]; len(ids) > 0 {
			w.Header()[c.plane.config.Dialect.RequestID] = ids
		}
		w.Header()[hopFailureHeader] = []string{formatFailure(err, time.Since(c.began))}
		report.Outcome, report.Reason, report.Cause = outcome.Of(err), outcome.ReasonOf(err), c.explained(err)
		report.refuse(decisionOf(err, c.plane.config.Node))
		if c.body != nil && (outcome.Of(err) == outcome.Unknown || report.Reason == outcome.Quarantined) {
			report.Fingerprint = c.sent.fingerprint()
		}
		report.Status, report.RetryAfter = writeFailure(w, err, retryAfter(err), c.plane.stopping.Load())
		c.finish(report)
		return
	}
	report.Outcome, report.Status = outcome.Answered, result.status
	if PromisesNotRun(result.status) {
		report.UnmarkedStatus = result.status
	}
	failure := result.deliver(w, c.plane.stopping.Load())
	report.Truncated, report.Cause = failure != nil, failure
	c.finish(report)
	if failure != nil {
		panic(http.ErrAbortHandler)
	}
}

// setTerms tells the other node the terms of the worker. One that is refused is told the turn that
// it was given as the time of the next start.
func (c *hopCall) setTerms(header http.Header, load slotqueue.Load, err error) {
	if load.Interval > 0 && outcome.ReasonOf(err) == outcome.Overloaded {
		load.NextStart = max(load.NextStart, outcome.RetryAfterOf(err))
	}
	if news, known := c.client.terms.News(); known {
		news.NextStart = load.NextStart
		header[termsHeader] = []string{news.Encode()}
	}
}

func (c *hopCall) finish(report CallReport) {
	report.Duration = time.Since(c.began)
	c.plane.config.Observer.HopFinished(report)
}
