package dataplane

import (
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/crashwatch"
	"github.com/levertide/levertide/pkg/admission"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/retry"
	"github.com/levertide/levertide/pkg/routing"
)

// refusedRetryAfter is what a caller is told to wait after the worker itself
// refused a request.
const refusedRetryAfter = time.Second

// longestIsolation bounds how long a suspect waits for another one at the worker: longer
// than most runs last, and short enough to turn elsewhere.
const longestIsolation = 500 * time.Millisecond

// workerClient is the way from this node to its worker.
type workerClient struct {
	address string
	// makeTransport returns a transport that opens the given number of connections at most.
	makeTransport func(connections int) *http.Transport
	gate    *admission.Gate
	// crashes tells the end of the worker from the loss of one connection.
	crashes *crashwatch.Watch

	mutex      sync.Mutex
	started    bool // the worker was reported as just started
	configured bool // the gate has the options of a service
	transport  *http.Transport
	// connections is how many the transport opens at most.
	connections int
}

func newWorkerClient(config *Config) *workerClient {
	l := &workerClient{
		address: config.WorkerAddress,
		makeTransport: func(connections int) *http.Transport { return newWorkerTransport(config, connections) },
		gate:    admission.New(admission.Options{}),
		crashes: crashwatch.New(config.Dial),
	}
	l.limitConnections(admission.Options{})
	return l
}

// applyLimits gives the gate the limits of a service. A start that was reported
// before the first of them is reported again, since the gate did not know then
// how long slow start takes.
func (l *workerClient) applyLimits(service *model.Service) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	options := gateOptions(service)
	l.gate.Reconfigure(options)
	l.limitConnections(options)
	if l.started && !l.configured {
		l.gate.WorkerStarted()
	}
	l.configured = true
}

// probeConnections is how many connections are left for probes of a worker that accepts more
// than it has slots.
const probeConnections = 1

// connectionsFor returns how many connections requests may have at a worker.
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

// limitConnections has further requests use a transport that keeps to the connections that the
// worker accepts. Requests under way keep theirs. The mutex is held, or nobody else has the leg
// yet.
func (l *workerClient) limitConnections(options admission.Options) {
	connections := connectionsFor(options)
	if connections == l.connections {
		return
	}
	former := l.transport
	l.transport, l.connections = l.makeTransport(connections), connections
	if former != nil {
		former.CloseIdleConnections()
	}
}

// currentTransport returns the transport for further requests.
func (l *workerClient) currentTransport() *http.Transport {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.transport
}

// workerStarted begins slow start.
func (l *workerClient) workerStarted() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.started = true
	l.gate.WorkerStarted()
}

// workerCall is one request for the worker.
type workerCall struct {
	// tenant is whose the call is; empty when it is nobody's.
	tenant    string
	inbound   *http.Request
	route     *routing.Route
	body      *requestBody
	lifetime      *lifetime
	relay     *informationalRelay
	allowance retry.Allowance
	// level is how many crashes of workers speak against the request.
	level int
	// expect tells that the caller itself asked for 100-continue.
	expect bool
}

// answer is the head of a worker's answer, with the body to come.
type answer struct {
	response *http.Response
	latency  time.Duration
	permit   admission.Permit
	measured time.Duration // for the gate; zero when it means nothing
	// transport is that of the other node; nil for this node's own worker.
	transport *peerTransport
}

// close ends the exchange and gives the slot back.
func (a *answer) close() {
	_ = a.response.Body.Close()
	if a.transport != nil {
		a.transport.callEnded()
	}
	a.permit.Release(admission.Result{Latency: a.measured})
}

// send admits a request and sends it to the worker. A suspect waits until the worker has no
// other one in hand.
func (l *workerClient) send(call workerCall) (*answer, error) {
	if call.level > 0 {
		if !l.crashes.Isolate(call.lifetime.ctx, time.Now().Add(longestIsolation)) {
			return nil, outcome.WithRetryAfter(outcome.Overloaded, refusedRetryAfter)
		}
		defer l.crashes.EndIsolation()
	}
	permit, err := l.gate.Admit(call.lifetime.admissionContext(), priorityOf(call.route))
	if err != nil {
		return nil, shedError(err)
	}
	began := time.Now()
	sending := roundTrip{
		transport: l.currentTransport(),
		request:   l.request(call),
		body:      call.body,
		relay:     call.relay,
	}
	l.crashes.Begin()
	response, err := sending.do(call.lifetime.ctx)
	l.crashes.End()
	if err != nil {
		permit.Release(admission.Result{})
		if outcome.ReasonOf(err) == outcome.ConnectionLost && l.crashes.Ended(call.lifetime.ctx, l.address) {
			return nil, outcome.Wrap(outcome.WorkerCrashed, err)
		}
		return nil, err
	}
	return l.acceptResponse(call, response, permit, time.Since(began))
}

// acceptResponse sorts out answers that are none.
func (l *workerClient) acceptResponse(call workerCall, response *http.Response, permit admission.Permit, latency time.Duration) (*answer, error) {
	if outcome.RefusedByWorker(response.StatusCode, response.Header) {
		discard(response)
		permit.Release(admission.Result{Refused: true})
		return nil, outcome.WithRetryAfter(outcome.RefusedByOwnWorker, refusedRetryAfter)
	}
	if !endsDetectably(response) {
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

func (l *workerClient) request(call workerCall) *http.Request {
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
	return outgoingRequest(call.inbound, schemePlain, l.address, header)
}

// setCredential replaces whatever the caller sent in the route's credential header.
func setCredential(header http.Header, route *routing.Route) {
	if route.Credential != nil {
		header[route.CredentialHeader] = []string{route.Credential.Value}
	}
}

// outgoingRequest returns the request for the next leg, without its body. Target
// and host are passed on as they came.
func outgoingRequest(r *http.Request, scheme, address string, header http.Header) *http.Request {
	return &http.Request{
		Method: r.Method,
		URL: &url.URL{
			Scheme:     scheme,
			Host:       address,
			Path:       r.URL.Path,
			RawPath:    r.URL.RawPath,
			RawQuery:   r.URL.RawQuery,
			ForceQuery: r.URL.ForceQuery,
		},
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
