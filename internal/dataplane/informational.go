package dataplane

import (
	"net/http"
	"net/textproto"
	"sync"

	"github.com/levertide/levertide/pkg/contain"
)

// informationalRelay forwards interim answers (1xx) to the caller. They arrive on
// a goroutine of the transport, which may outlive the attempt.
type informationalRelay struct {
	writer http.ResponseWriter
	// panicked is called with a panic on the goroutine of the transport. It may be nil.
	panicked contain.Report

	mutex  sync.Mutex
	closed bool
}

// sendContinue has the sender of the request send its body. The server would do so with the first
// read, on the goroutine of the transport that sends the body, but beside an interim answer that is
// being written.
func (i *informationalRelay) sendContinue() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if !i.closed {
		i.writer.WriteHeader(http.StatusContinue)
	}
}

// relay is called for each interim answer. 100 is left out, because it is sent
// when the body is first read.
func (i *informationalRelay) relay(code int, header textproto.MIMEHeader) error {
	if code == http.StatusContinue {
		return nil
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.closed {
		return nil
	}
	return contain.Read("interim answer", i.panicked, func() error {
		i.write(code, header)
		return nil
	})
}

func (i *informationalRelay) write(code int, header textproto.MIMEHeader) {
	target := i.writer.Header()
	defer clear(target)
	copyForwardable(target, http.Header(header))
	i.writer.WriteHeader(code)
}

// close is called before the final answer is written.
func (i *informationalRelay) close() {
	i.mutex.Lock()
	i.closed = true
	i.mutex.Unlock()
}
