package forwarding

import (
	"net/http"
	"slices"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/pkg/slotqueue"
	"github.com/levertide/levertide/pkg/workers"
)

// Dialect says in which headers callers and workers exchange information. Names are canonical. It
// is set up once and never changed.
type Dialect struct {
	// RequestID names the header that carries a caller's request id to the worker and back.
	RequestID string
	// Timeout names the header with the time that is left, in milliseconds.
	Timeout string
	// CallerService names the header that holds the service where a call began, for the worker.
	CallerService string
	// ExpectInstance names the header with the worker instance that a call is meant for.
	ExpectInstance string
	// NotRun names the header by which a worker reports that it did not run a call.
	NotRun string
	// Key says how callers send the keys by which they are authenticated where the configuration
	// version in force has tenants, and Tenant names the header that passes the tenant to a
	// worker.
	Key    httpconn.KeyScheme
	Tenant string
	// Parent returns, for the id of a nested call, the id of its parent, the call during which a
	// worker made it; false when the call is not nested. Nil means that workers make no calls.
	Parent func(requestID string) (string, bool)
	// WorkerLoad reads the load that a worker reports in an answer; false when it reports none.
	// Its Slowness is zero where the worker does not report that. Nil means that workers report
	// nothing.
	WorkerLoad func(header http.Header) (slotqueue.Load, bool)
	// WorkerTerms reads what a worker states in an answer about the requests that it takes. An
	// error says why its limit cannot be read; the rest is valid. Nil means that workers state
	// nothing.
	WorkerTerms func(header http.Header) (workers.Terms, error)
}

// parent returns the id of the parent of a nested call.
func (d *Dialect) parent(requestID string) (string, bool) {
	if d.Parent == nil {
		return "", false
	}
	return d.Parent(requestID)
}

// workerLoad returns the load that a worker reports in an answer.
func (d *Dialect) workerLoad(header http.Header) (slotqueue.Load, bool) {
	if d.WorkerLoad == nil {
		return slotqueue.Load{}, false
	}
	return d.WorkerLoad(header)
}

// workerTerms returns what a worker states in an answer about the requests that it takes.
func (d *Dialect) workerTerms(header http.Header) (workers.Terms, error) {
	if d.WorkerTerms == nil {
		return workers.Terms{}, nil
	}
	return d.WorkerTerms(header)
}

// own reports whether a header of a caller is removed because the node sets it itself.
func (d *Dialect) own(name string) bool {
	switch name {
	case d.Timeout, d.CallerService, d.ExpectInstance, hopHeader, hopLoadHeader, hopFailureHeader, workHeader, repeatHeader, principalHeader, termsHeader:
		return true
	}
	return false
}

// answers reports whether a response is for the given request: it bears its id, and no other.
func (d *Dialect) answers(request *http.Request, response *http.Response) bool {
	sent := request.Header.Get(d.RequestID)
	others := func(id string) bool { return id != sent }
	return response.Header.Get(d.RequestID) == sent && !slices.ContainsFunc(response.Header[d.RequestID], others)
}

// marked reports whether an answer bears the mark that the worker did not run the call.
func (d *Dialect) marked(response *http.Response) bool { return len(response.Header[d.NotRun]) > 0 }

// refused reports whether an answer states that the worker did not run the call. The mark counts
// only with a status that goes with it: a worker may pass on the headers of an answer to a call of
// its own.
func (d *Dialect) refused(response *http.Response) bool {
	status := response.StatusCode
	rejects := status == http.StatusServiceUnavailable || status >= http.StatusBadRequest && status < http.StatusInternalServerError
	return status == http.StatusMisdirectedRequest || rejects && d.marked(response)
}

// evidence returns the evidence of an answer by which a worker refuses a call.
func (d *Dialect) evidence(response *http.Response) Evidence {
	if d.marked(response) {
		return WorkerMarked
	}
	return WorkerMisdirected
}
