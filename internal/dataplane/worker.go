package dataplane

import (
	"context"
	"net/http"
	"time"

	"github.com/levertide/levertide/internal/crashwatch"
	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/pkg/admission"
	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/retry"
	"github.com/levertide/levertide/pkg/routing"
	"github.com/levertide/levertide/pkg/workers"
)

// refusedRetryAfter is the Retry-After of the answer after the worker itself
// refused a request.
const refusedRetryAfter = time.Second

// longestIsolation bounds how long a suspect waits for another suspect at the worker: longer
// than most runs last, and short enough to try another worker.
const longestIsolation = 500 * time.Millisecond

// workerClient sends requests from this node to its worker.
type workerClient struct {
	address string
	// node and service are those of the node beside the worker.
	node, service string
	observer      Observer
	// makeTransport returns a transport that opens at most the given number of connections.
	makeTransport func(connections int) *http.Transport
	gate          *admission.Gate
	// terms are what the worker states about the requests that it takes.
	terms *workers.TermsKeeper
	// crashes distinguishes the end of the worker from the loss of one connection.
	crashes *crashwatch.Watch

	mutex      contain.Mutex
	started    bool // the worker was reported as just started
	configured bool // the gate has the options of a service
	transport  *http.Transport
	// connections is the most that the transport opens.
	connections int
}

func newWorkerClient(config *Config) *workerClient {
	w := &workerClient{
		address:       config.WorkerAddress,
		node:          config.Node,
		service:       config.Service,
		observer:      config.Observer,
		makeTransport: func(connections int) *http.Transport { return newWorkerTransport(config, connections) },
		gate:          admission.New(admission.Options{}),
		crashes:       crashwatch.New(config.Dial),
	}
	w.gate.RunTimers(func(work func()) { contain.Run(contain.Task, "queue of calls", config.Panicked, work) })
	w.terms = workers.NewTermsKeeper(w.followTerms)
	w.limitConnections(admission.Options{})
	return w
}

// applyLimits sets the limits of a service in the gate. A worker start that was
// reported before the first limits is reported again, since the gate did not know
// then how long slow start takes.
func (w *workerClient) applyLimits(service *model.Service) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	options := gateOptions(service)
	w.gate.Reconfigure(options)
	w.limitConnections(options)
	if w.started && !w.configured {
		w.gate.WorkerStarted()
	}
	w.configured = true
}

// probeConnections is how many connections are reserved for probes of a worker that accepts
// more connections than it has slots.
const probeConnections = 1

// connectionsFor returns how many connections requests may open to a worker.
func connectionsFor(options admission.Options) int {
	slots, accepted := options.Slots, options.Connections
	if slots <= 0 {
		slots = admission.DefaultSlots
	}
	if accepted <= 0 {
		accepted = admission.DefaultConnections
	}
	if accepted > slots {
		return accepted - probeConnections
	}
	return accepted
}

// limitConnections makes further requests use a transport that opens no more connections than
// the worker accepts. Requests in flight keep theirs. The mutex is held, or the client is not
// shared yet.
func (w *workerClient) limitConnections(options admission.Options) {
	connections := connectionsFor(options)
	if connections == w.connections {
		return
	}
	previous := w.transport
	w.transport, w.connections = w.makeTransport(connections), connections
	if previous != nil {
		previous.CloseIdleConnections()
	}
}

// currentTransport returns the transport for further requests.
func (w *workerClient) currentTransport() *http.Transport {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.transport
}

// workerStarted begins slow start.
func (w *workerClient) workerStarted() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.started = true
	w.gate.WorkerStarted()
}

// workerCall is one request for the worker.
type workerCall struct {
	// tenant is the name of the tenant that made the call; empty when there is none.
	tenant    string
	inbound   *http.Request
	route     *routing.Route
	body      *requestBody
	lifetime  *lifetime
	relay     *informationalRelay
	allowance retry.Allowance
	// level is how many crashes of workers are attributed to the request.
	level int
	// expect is set when the caller itself asked for 100-continue.
	expect bool
}

// answer is the head of a worker's answer, with the body to come.
type answer struct {
	response *http.Response
	latency  time.Duration
	permit   admission.Permit
	measured time.Duration // latency for the gate; zero when it does not reflect the worker
	// transport is that of the other node; nil for this node's own worker.
	transport *peerTransport
}

// close closes the body and releases the slot.
func (a *answer) close() {
	_ = a.response.Body.Close()
	if a.transport != nil {
		a.transport.callEnded()
	}
	a.permit.Release(admission.Result{Latency: a.measured})
}

// send admits a request and sends it to the worker. A suspect waits until the worker runs no
// other suspect.
func (w *workerClient) send(call workerCall) (*answer, error) {
	if call.level > 0 {
		if !w.crashes.Isolate(call.lifetime.ctx, time.Now().Add(longestIsolation)) {
			return nil, outcome.WithRetryAfter(outcome.Overloaded, refusedRetryAfter)
		}
		defer w.crashes.EndIsolation()
	}
	permit, err := w.gate.Admit(call.lifetime.admissionContext(), priorityOf(call.route))
	if err != nil {
		return nil, shedError(err)
	}
	return w.sendAdmitted(call, permit)
}

// sendAdmitted sends a request that has a slot. The slot is freed with the answer, or at once when
// there is none.
func (w *workerClient) sendAdmitted(call workerCall, permit admission.Permit) (*answer, error) {
	settled := false
	defer func() {
		if !settled {
			permit.Release(admission.Result{})
		}
	}()
	began := time.Now()
	trip := roundTrip{
		transport: w.currentTransport(),
		request:   w.request(call),
		body:      call.body,
		relay:     call.relay,
		headTime:  httpconn.WorkerHeadTime,
	}
	response, err := w.sendWatched(call.lifetime.ctx, &trip)
	if err != nil {
		permit.Release(admission.Result{})
		if outcome.ReasonOf(err) == outcome.ConnectionLost && w.crashes.Ended(call.lifetime.ctx, w.address) {
			return nil, outcome.Wrap(outcome.WorkerCrashed, err)
		}
		return nil, err
	}
	w.observeTerms(response.Header, began)
	result, err := w.acceptResponse(call, response, permit, time.Since(began))
	settled = true
	return result, err
}

// sendWatched sends a request while it counts as in flight at the worker.
func (w *workerClient) sendWatched(ctx context.Context, trip *roundTrip) (*http.Response, error) {
	w.crashes.Begin()
	defer w.crashes.End()
	return trip.do(ctx)
}

// acceptResponse turns a response into an answer; a refusal, and a response whose end cannot be
// detected, become errors.
func (w *workerClient) acceptResponse(call workerCall, response *http.Response, permit admission.Permit, latency time.Duration) (*answer, error) {
	if outcome.RefusedByWorker(response.StatusCode, response.Header) {
		discard(response)
		permit.Release(admission.Result{Refused: true})
		return nil, outcome.WithRetryAfter(outcome.RefusedByOwnWorker, refusedRetryAfter)
	}
	if httpconn.EndsWithConnection(response) {
		_ = response.Body.Close()
		permit.Release(admission.Result{})
		return nil, outcome.New(outcome.InvalidAnswer)
	}
	result := &answer{response: response, latency: latency, permit: permit, measured: latency}
	if call.body.streamed {
		result.measured = 0
	}
	return result, nil
}

func (w *workerClient) request(call workerCall) *http.Request {
	header := outgoingHeader(call.inbound)
	if left, ok := call.lifetime.left(); ok {
		header[retry.DeadlineHeader] = []string{retry.FormatDeadline(left)}
	}
	header[retry.AttemptsLeftHeader] = []string{call.allowance.String()}
	if call.expect && call.body.streamed {
		header["Expect"] = []string{expectContinue}
	}
	setTenant(header, call.tenant)
	setCredential(header, call.route)
	return outgoingRequest(call.inbound, schemePlain, w.address, header)
}

// setCredential replaces whatever the caller sent in the route's credential header.
func setCredential(header http.Header, route *routing.Route) {
	if route.Credential != nil {
		header[route.CredentialHeader] = []string{route.Credential.Value}
	}
}

// outgoingRequest returns the request to forward, without its body. Target and
// host are forwarded unchanged.
func outgoingRequest(r *http.Request, scheme, address string, header http.Header) *http.Request {
	return &http.Request{
		Method:     r.Method,
		URL:        httpconn.ForwardedURL(r, scheme, address),
		Host:       r.Host,
		Header:     header,
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
}

// shedError turns a refusal of the gate into an error of package outcome.
func shedError(err error) error {
	switch admission.ReasonOf(err) {
	case admission.ReasonDraining:
		return outcome.New(outcome.Draining)
	case admission.ReasonDeadline:
		return outcome.New(outcome.DeadlineBeforeStart)
	case admission.ReasonCanceled:
		return outcome.New(outcome.CanceledBeforeStart)
	default:
		return outcome.WithRetryAfter(outcome.Overloaded, admission.RetryAfter(err))
	}
}
