package pipeline

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/net/http/httpguts"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/internal/intake"
)

// headEnds are the ends of a head: lines may end without a carriage return.
var headEnds = [][]byte{[]byte("\n\r\n"), []byte("\n\n")}

// readExchange reads the head of the next request. A head that cannot be used
// becomes an exchange that is answered with the fault and ends the connection. An
// error means that the connection has ended, or is too slow.
func (c *conn) readExchange() (*exchange, error) {
	limits := c.server.cfg.limits()
	c.limit.limited, c.limit.left = true, limits.MaxHeaderBytes+bufferSize
	defer func() { c.limit.limited = false }()
	hold := c.account.NewHold()
	c.account.Await()
	head, err := c.peekHead(limits.ReadHeaderTimeout)
	c.lines = httpconn.RequestLines()
	c.lines.Follow(head)
	if err == nil && len(head) == c.br.Size() {
		// The parsed head holds as much as its text, beside a copy of it while it is read.
		err = hold.Reserve(c.ctx, 2*int64(limits.MaxHeaderBytes))
	}
	var r *http.Request
	if err == nil {
		c.limit.lines = &c.lines
		r, err = http.ReadRequest(c.br)
		c.limit.lines = nil
	}
	c.account.Resume()
	x, err := c.exchangeOf(r, head, err)
	if x == nil {
		hold.Close()
		return nil, err
	}
	x.hold = hold
	return x, nil
}

// exchangeOf returns the exchange of a request whose head was read, or was not.
func (c *conn) exchangeOf(r *http.Request, head []byte, err error) (*exchange, error) {
	switch {
	case errorx.IsOfType(err, intake.ErrFull):
		return newFault(c, http.StatusServiceUnavailable), nil
	case errors.Is(err, errTooLong):
		return newFault(c, http.StatusRequestHeaderFieldsTooLarge), nil
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isTimeout(err):
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return newFault(c, http.StatusBadRequest), nil
	}
	c.setReadDeadline(time.Time{})
	if status := faultOf(r, head); status != 0 {
		return newFault(c, status), nil
	}
	if c.lines.Folded() > 0 || !hasValidFields(r.Header) {
		return newFault(c, http.StatusBadRequest), nil
	}
	return newExchange(c, r), nil
}

// peekHead waits until the head has arrived and returns it without consuming it. Of
// one that does not fit into the buffer it returns the part that does.
func (c *conn) peekHead(timeout time.Duration) ([]byte, error) {
	timed := false
	for {
		buffered, err := c.br.Peek(c.br.Buffered())
		if err != nil {
			return nil, err
		}
		if hasHeadEnd(buffered) {
			return buffered, nil
		}
		if !timed {
			c.setReadDeadline(time.Now().Add(timeout))
			timed = true
		}
		if len(buffered) == c.br.Size() {
			return buffered, nil
		}
		if _, err := c.br.Peek(len(buffered) + 1); err != nil {
			return nil, err
		}
	}
}

func hasHeadEnd(text []byte) bool {
	for _, end := range headEnds {
		if bytes.Contains(text, end) {
			return true
		}
	}
	return false
}

// faultOf returns the status for a request that cannot be served; zero for others.
func faultOf(r *http.Request, head []byte) int {
	switch {
	case r.ProtoMajor != 1:
		return http.StatusHTTPVersionNotSupported
	case r.ProtoAtLeast(1, 1) && r.Host == "" && r.Method != http.MethodConnect:
		return http.StatusBadRequest
	case len(r.TransferEncoding) > 0 && hasContentLength(head):
		// With both lengths given, other programs may see the end of the body elsewhere.
		return http.StatusBadRequest
	case r.Header.Get("Expect") != "" && !expectsContinue(r):
		return http.StatusExpectationFailed
	}
	return 0
}

// hasValidFields reports whether the names of all fields are tokens, and no value has control bytes. The
// transport to the workers refuses others, as if no worker could be reached.
func hasValidFields(header http.Header) bool {
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) || !validValues(values) {
			return false
		}
	}
	return true
}

func validValues(values []string) bool {
	return !slices.ContainsFunc(values, func(value string) bool { return !httpguts.ValidHeaderFieldValue(value) })
}

// hasContentLength reports whether a head has a Content-Length, or was too long to be
// searched.
func hasContentLength(head []byte) bool {
	if !hasHeadEnd(head) {
		return true
	}
	tp := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	if _, err := tp.ReadLine(); err != nil {
		return true
	}
	header, err := tp.ReadMIMEHeader()
	return err != nil || len(header["Content-Length"]) > 0
}

func expectsContinue(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}
