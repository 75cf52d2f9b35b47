package outcome

import "net/http"

// Reason says why a request got no answer from a worker. The values are part
// of the interface to callers.
type Reason string

// The reasons that go with NotRun.
const (
	// Malformed: the request breaks a rule of HTTP or a documented limit.
	Malformed Reason = "malformed"
	// Unsupported: the request asks for something that is not offered, such as
	// an upgrade of the connection.
	Unsupported Reason = "unsupported"
	// NoRoute: no route matches host and path.
	NoRoute Reason = "no-route"
	// MethodNotAllowed: routes match host and path, but none accepts the method.
	MethodNotAllowed Reason = "method-not-allowed"
	// OutOfScope: the route that matches the request leads to a service which the
	// worker beside the node is not declared to call, so the node does not hold it.
	OutOfScope Reason = "out-of-scope"
	// NotReady: the node has no configuration in force yet.
	NotReady Reason = "not-ready"
	// NoWorker: the service has no worker that the request may be sent to.
	NoWorker Reason = "no-worker"
	// Unreachable: no connection was made, or nothing was written on it.
	Unreachable Reason = "unreachable"
	// Overloaded: the worker's node shed the request.
	Overloaded Reason = "overloaded"
	// Declined: the worker is slower at present than the node where the request began
	// believed, and another one is expected to answer sooner.
	Declined Reason = "declined"
	// Draining: the node or its worker is leaving.
	Draining Reason = "draining"
	// RefusedByOwnWorker: the worker answered that it did not run the request.
	RefusedByOwnWorker Reason = "refused-by-worker"
	// Misdirected: the node that the call was sent to does not serve the route, or cannot
	// read the header with which nodes forward calls.
	Misdirected Reason = "misdirected"
	// DeadlineBeforeStart: the deadline passed before a worker was reached.
	DeadlineBeforeStart Reason = "deadline-before-start"
	// CanceledBeforeStart: the caller gave up before a worker was reached.
	CanceledBeforeStart Reason = "canceled-before-start"
	// InternalBeforeStart: a fault of the node ended the handling of the request before anything
	// was sent to a worker.
	InternalBeforeStart Reason = "internal-before-start"
	// BodyNotReceived: the caller's body broke off or came too slowly before
	// anything was sent to a worker.
	BodyNotReceived Reason = "body-not-received"
	// Quarantined: the request has crashed the workers that ran it before, and is given
	// to none any more.
	Quarantined Reason = "quarantined"
	// TooLarge: the body is larger than the configuration allows.
	TooLarge Reason = "too-large"
	// Unauthenticated: the configuration has tenants, the route is not public, and the
	// request bears no key of a tenant; or it bears one that no tenant holds.
	Unauthenticated Reason = "unauthenticated"
	// ParentUnknown: the request states that a worker makes it while running another request,
	// and the node does not know of such a running request. That one may have begun before
	// the node started.
	ParentUnknown Reason = "parent-unknown"
	// QuotaExceeded: the tenant has sent more than its limit allows.
	QuotaExceeded Reason = "quota-exceeded"
)

// The reasons that go with Unknown.
const (
	// ConnectionLost: the connection broke after something was written on it
	// and before the head of an answer came.
	ConnectionLost Reason = "connection-lost"
	// WorkerCrashed: the worker ended while it had the request.
	WorkerCrashed Reason = "worker-crashed"
	// Timeout: the deadline passed while the worker had the request.
	Timeout Reason = "timeout"
	// Canceled: the caller gave up while the worker had the request.
	Canceled Reason = "canceled"
	// UploadFailed: the caller's body broke off, or came too slowly.
	UploadFailed Reason = "upload-failed"
	// InvalidAnswer: the worker's answer violates HTTP, or its end cannot be determined.
	InvalidAnswer Reason = "invalid-answer"
	// UnmarkedRefusal: the worker answered with a status that promises that the request did
	// not run, and did not state that.
	UnmarkedRefusal Reason = "unmarked-refusal"
	// Internal: a fault of the node ended the handling of the request after it was sent to a
	// worker.
	Internal Reason = "internal"
	// NotSpecified: a node reported Unknown without a reason known here.
	NotSpecified Reason = "not-specified"
)

// description is what one reason means to callers.
type description struct {
	outcome Outcome
	status  int
	message string
}

var descriptions = map[Reason]description{
	Malformed:           {NotRun, http.StatusBadRequest, "the request is malformed"},
	Unsupported:         {NotRun, http.StatusNotImplemented, "the request is not supported"},
	NoRoute:             {NotRun, http.StatusNotFound, "no route matches the request"},
	MethodNotAllowed:    {NotRun, http.StatusMethodNotAllowed, "no route takes this method"},
	OutOfScope:          {NotRun, http.StatusMisdirectedRequest, "the node does not hold the route of the request"},
	NotReady:            {NotRun, http.StatusServiceUnavailable, "the node has no configuration in force"},
	NoWorker:            {NotRun, http.StatusServiceUnavailable, "the service has no worker"},
	Unreachable:         {NotRun, http.StatusServiceUnavailable, "no worker could be reached"},
	Overloaded:          {NotRun, http.StatusServiceUnavailable, "the service is overloaded"},
	Declined:            {NotRun, http.StatusServiceUnavailable, "another worker is expected to answer sooner"},
	Draining:            {NotRun, http.StatusServiceUnavailable, "the node is leaving"},
	RefusedByOwnWorker:  {NotRun, http.StatusServiceUnavailable, "the worker refused the request"},
	Misdirected:         {NotRun, http.StatusServiceUnavailable, "the node does not serve the route"},
	DeadlineBeforeStart: {NotRun, http.StatusGatewayTimeout, "the deadline passed before the request was started"},
	CanceledBeforeStart: {NotRun, http.StatusServiceUnavailable, "the request was canceled before it was started"},
	InternalBeforeStart: {NotRun, http.StatusServiceUnavailable, "a fault of the node ended the request before it was started"},
	BodyNotReceived:     {NotRun, http.StatusRequestTimeout, "the body of the request did not arrive"},
	TooLarge:            {NotRun, http.StatusRequestEntityTooLarge, "the body of the request is too large"},
	Unauthenticated:     {NotRun, http.StatusUnauthorized, "the request bears no key that is known"},
	ParentUnknown:       {NotRun, http.StatusServiceUnavailable, "the node does not know the request that this one is made for"},
	QuotaExceeded:       {NotRun, http.StatusTooManyRequests, "the tenant has sent more than its limit allows"},
	Quarantined:         {NotRun, http.StatusBadRequest, "the request has crashed the workers that ran it, and is not run any more"},
	WorkerCrashed:       {Unknown, http.StatusBadGateway, "the worker ended before an answer came"},
	ConnectionLost:      {Unknown, http.StatusBadGateway, "the connection was lost before an answer came"},
	Timeout:             {Unknown, http.StatusGatewayTimeout, "the deadline passed before an answer came"},
	Canceled:            {Unknown, http.StatusBadGateway, "the request was canceled before an answer came"},
	UploadFailed:        {Unknown, http.StatusBadGateway, "the body of the request did not arrive"},
	InvalidAnswer:       {Unknown, http.StatusBadGateway, "the answer is not valid"},
	UnmarkedRefusal:     {Unknown, http.StatusBadGateway, "the worker answered like one that refuses, and may have run the request"},
	Internal:            {Unknown, http.StatusBadGateway, "a fault of the node ended the request"},
	NotSpecified:        {Unknown, http.StatusBadGateway, "the request failed"},
}

// Outcome returns the outcome that the reason goes with; Unknown for a value
// that is not defined here.
func (r Reason) Outcome() Outcome { return r.describe().outcome }

// Status returns the HTTP status that a response with this reason has.
func (r Reason) Status() int { return r.describe().status }

// Message returns a human-readable description.
func (r Reason) Message() string { return r.describe().message }

// Known reports whether the reason is one of those defined here.
func (r Reason) Known() bool {
	_, ok := descriptions[r]
	return ok
}

func (r Reason) describe() description {
	if found, ok := descriptions[r]; ok {
		return found
	}
	return descriptions[NotSpecified]
}

// Reasons returns all reasons, in no particular order.
func Reasons() []Reason {
	reasons := make([]Reason, 0, len(descriptions))
	for reason := range descriptions {
		reasons = append(reasons, reason)
	}
	return reasons
}
