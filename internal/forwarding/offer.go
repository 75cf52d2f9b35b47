package forwarding

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/slotqueue"
	"github.com/levertide/levertide/pkg/workers"
)

var propertyLoad = errorx.RegisterProperty("load")

// withLoad attaches the load that a refusing node has reported.
func withLoad(err error, load slotqueue.Load) error {
	if typed := errorx.Cast(err); typed != nil {
		return typed.WithProperty(propertyLoad, load)
	}
	return err
}

func loadOfRefusal(err error) (slotqueue.Load, bool) {
	value, found := errorx.ExtractProperty(err, propertyLoad)
	load, ok := value.(slotqueue.Load)
	return load, found && ok
}

// local returns the load of the worker beside this node.
func (o *offers) local() (slotqueue.Load, bool) {
	return o.call.plane.localLoad(o.destination.service)
}

// offerLocal offers the call to the worker beside this node.
func (o *offers) offerLocal(ctx context.Context, chosen choice, latestStart time.Time) (*answer, bool, error) {
	o.roundTrip = 0
	client, err := o.call.plane.local.find(o.destination.service, chosen.endpoint.incarnation())
	if err != nil {
		return nil, false, err
	}
	request := workerCall{
		inbound:    o.call.request,
		body:       o.call.body,
		caller:     o.call.plane.serviceHere(),
		claim:      o.claim(chosen, latestStart),
		began:      o.call.began,
		end:        o.call.end,
		identified: o.call.identified,
		principal:  o.call.principal(),
		repeat:     o.repeated(),
	}
	request.level, _ = o.call.plane.suspicion(&request, 0)
	answered, err := client.run(ctx, &request)
	o.call.plane.countRun(o.destination.service, client.worker, o.call.request, &request, answered, err)
	o.call.report.Waited, o.call.report.Ran = request.waited, request.ran
	return answered, request.arrived, err
}

// claim returns the call's claim at a chosen worker. It has work and due time only where tenants
// compete or workers report their slowness. Elsewhere rank and arrival decide, and the hop
// carries no more than that.
func (o *offers) claim(chosen choice, latestStart time.Time) claim {
	wanted := o.call.claim(latestStart)
	if !o.call.checked && chosen.load.Slowness == 0 {
		return wanted.byArrival()
	}
	return wanted
}

// offerNode offers the call to the node beside another worker.
func (o *offers) offerNode(ctx context.Context, chosen choice, latestStart time.Time) (answered *answer, arrived bool, err error) {
	c, e := o.call, chosen.endpoint
	header := forwardedHeader(c.request, &c.plane.config.Dialect)
	now := time.Now()
	level := c.level()
	o.setHop(header, chosen, latestStart, now, level)
	o.setTerms(header, e, now)
	exchange := httpExchange{transport: c.plane.peers, request: newRequest(c.request, e.address, header), body: c.body, expectContinue: c.body.long(), pace: c.plane.pace}
	ctx, stop := exchange.boundTransfer(ctx, c.offeredFrom().Add(c.target()))
	defer stop()
	if !c.plane.beginOffer() {
		return nil, false, withDecision(outcome.WithRetryAfter(outcome.Overloaded, defaultRetryAfter), decision{by: c.plane.config.Node, evidence: NothingSent})
	}
	response, err := c.plane.exchangeOffer(ctx, &exchange)
	o.roundTrip = time.Since(now)
	if err != nil {
		c.plane.recordFailure(e.node, err)
		return nil, outcome.Of(err) != outcome.NotRun, err
	}
	defer func() {
		if answered == nil {
			_ = response.Body.Close()
		}
	}()
	if !c.plane.config.Dialect.answers(c.request, response) {
		return nil, true, exchange.reject(response, errOtherAnswer)
	}
	if besideWorker(response.Header) {
		c.plane.config.Contacts.Reached(e.node)
	}
	o.observeTerms(e, response.Header, now)
	o.roundTrip -= heldOf(response.Header.Get(hopFailureHeader))
	answered, arrived, err = readHopAnswer(ctx, response)
	if answered != nil {
		answered.sending = exchange.sent
	}
	err = reportedBy(e, err)
	if outcome.ReasonOf(err) == outcome.WorkerCrashed {
		c.crashedElsewhere(e.incarnation(), level)
	}
	return answered, arrived, err
}

// setHop sets the headers that describe the call to the node beside a chosen worker.
func (o *offers) setHop(header http.Header, chosen choice, latestStart, now time.Time, level int) {
	c := o.call
	wanted := o.claim(chosen, latestStart)
	if c.body.long() {
		// The due time bounds how long a body that has been transferred may wait.
		wanted = c.claim(latestStart)
	}
	offered := hop{
		service:     o.destination.service,
		incarnation: chosen.endpoint.incarnation(),
		caller:      c.plane.serviceHere(),
		rank:        wanted.rank,
		waitLimit:   latestStart.Sub(now),
		left:        c.plane.left(c.began, c.end),
		level:       level,
	}
	due := max(wanted.due.Sub(now), time.Microsecond)
	switch offered.slowest = o.slowest(chosen); {
	case offered.slowest > 0:
		offered.work, offered.due = c.state.atUsualSpeed(), due
	case wanted.work > 0:
		header[workHeader] = []string{formatWork(wanted.work, due)}
	}
	header[hopHeader] = []string{offered.encode()}
	if c.checked {
		header[principalHeader] = []string{c.principal().tenant}
	}
	if o.repeated() {
		header[repeatHeader] = []string{"1"}
	}
	if c.body.long() {
		header["Expect"] = []string{"100-continue"}
	}
}

// reportedBy attaches to the failure that the node beside an endpoint's worker has reported who
// decided it: the worker, or that node.
func reportedBy(e *endpoint, err error) error {
	if err == nil {
		return nil
	}
	decided := decision{by: e.node, evidence: NodeReported}
	if outcome.ReasonOf(err) == outcome.RefusedByOwnWorker {
		decided.by = e.incarnation().String()
	}
	return withDecision(err, decided)
}

// besideWorker reports whether the node that has responded has the worker that the call was for
// beside it: it then tells the worker's load. Another node may have come up at the address, and
// finds no such worker.
func besideWorker(header http.Header) bool { return len(header[hopLoadHeader]) > 0 }

// recordFailure records that a node could not be reached.
func (p *Plane) recordFailure(node string, err error) {
	switch outcome.ReasonOf(err) {
	case outcome.Unreachable, outcome.ConnectionLost:
		p.config.Contacts.Failed(node, time.Now(), 0)
	}
}

// readHopAnswer reads the answer of another node: a worker's answer, or the reason why there is
// none.
func readHopAnswer(ctx context.Context, response *http.Response) (*answer, bool, error) {
	load, ran, hasLoad := parseLoad(response.Header.Get(hopLoadHeader))
	if news, stated := workers.ParseTermsNews(response.Header[termsHeader]); stated {
		load = addNews(load, news)
	}
	if failure := response.Header.Get(hopFailureHeader); failure != "" {
		discardRefusal(response)
		err := parseFailure(failure)
		if hasLoad {
			err = withLoad(err, load)
		}
		arrived := outcome.Of(err) == outcome.Unknown || outcome.ReasonOf(err) == outcome.RefusedByOwnWorker
		return nil, arrived, err
	}
	answered, err := readAnswer(ctx, response)
	if err != nil {
		return nil, true, err
	}
	answered.load, answered.hasLoad, answered.ran = load, hasLoad, ran
	return answered, true, nil
}

// longestRefusal bounds how much is read of the text of a refusal, in bytes: the texts of this
// program are far shorter.
const longestRefusal = 1 << 10

// discardRefusal reads the text of a refusal and closes the response. The transport closes a
// connection whose response is not read to its end: under overload two of three offers then began
// with a new connection, whose handshake waited in the queue of a narrow link (40 to 180 ms of
// the time of a refused call).
func discardRefusal(response *http.Response) {
	// An error closes the connection, which costs no more than the next handshake.
	_, _ = io.CopyN(io.Discard, response.Body, longestRefusal)
	_ = response.Body.Close()
}
