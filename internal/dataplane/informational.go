package dataplane

import (
	"net/http"
	"net/textproto"
	"sync"
)

// informationalRelay forwards interim answers (1xx) to the caller. They arrive on
// a goroutine of the transport, which may outlive the attempt.
type informationalRelay struct {
	writer http.ResponseWriter

	mutex  sync.Mutex
	closed bool
}

// relay is called for each interim answer. 100 is left out, because the server
// sends its own when the body is first read.
func (i *informationalRelay) relay(code int, header textproto.MIMEHeader) error {
	if code == http.StatusContinue {
		return nil
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.closed {
		return nil
	}
	target := i.writer.Header()
	copyForwardable(target, http.Header(header))
	i.writer.WriteHeader(code)
	clear(target)
	return nil
}

// close is called before the final answer is written.
func (i *informationalRelay) close() {
	i.mutex.Lock()
	i.closed = true
	i.mutex.Unlock()
}
