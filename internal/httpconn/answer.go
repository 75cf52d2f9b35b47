package httpconn

import "net/http"

// MaximumAnswerHead bounds the head of an answer from the store, another node or a worker, in
// bytes: one that never ends must not fill the memory of the node.
const MaximumAnswerHead = 64 << 10

// highestStatus is the highest status of HTTP.
const highestStatus = 599

// IsFinal reports whether a status can end an exchange: neither an interim one (1xx; no request
// asks for another protocol) nor one that HTTP does not have.
func IsFinal(status int) bool { return status >= http.StatusOK && status <= highestStatus }

// LimitAnswers returns a RoundTripper that fails the reading of an answer's body beyond the given
// number of bytes.
func LimitAnswers(next http.RoundTripper, bytes int64) http.RoundTripper {
	return limitedAnswers{next, bytes}
}

type limitedAnswers struct {
	next  http.RoundTripper
	bytes int64
}

// RoundTrip implements http.RoundTripper.
func (l limitedAnswers) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := l.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, l.bytes)
	return response, nil
}
