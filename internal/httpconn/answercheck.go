package httpconn

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"golang.org/x/net/http/httpguts"
)

// nameInError is how much of a field's name an error shows, in characters.
const nameInError = 64

// CheckInterim returns an error of the type ErrInvalidAnswer when the head of an interim answer (1xx) is
// not HTTP, or there are too many. The number is that of the interim answer to its request, from one.
// The connection is nil where it is not known.
func CheckInterim(number int, header textproto.MIMEHeader, conn *Conn, use Use) error {
	if number > maximumInterim {
		return ErrInvalidAnswer.New("there are more than %d interim answers", maximumInterim)
	}
	if conn != nil {
		if err := conn.lines.checkFolded(use); err != nil {
			return err
		}
	}
	return checkFields(http.Header(header))
}

// CheckAnswer returns an error of the type ErrInvalidAnswer when the head of an answer is not that of a
// final one of HTTP/1; nothing of the answer may be used then. The trailer is checked at the end of the body:
// such an error then takes the place of io.EOF. The connection is nil where it is not known.
func CheckAnswer(response *http.Response, conn *Conn, use Use) error {
	if conn != nil {
		if err := conn.lines.check(use); err != nil {
			return err
		}
	}
	return checkHead(response, conn, 1)
}

// checkHead checks a final head of the given major version of HTTP.
func checkHead(response *http.Response, conn *Conn, major int) error {
	if response.ProtoMajor != major {
		return ErrInvalidAnswer.New("the version is not HTTP/%d", major)
	}
	if !IsFinal(response.StatusCode) {
		return ErrInvalidAnswer.New("the status %03d is not final", response.StatusCode)
	}
	if err := checkFields(response.Header); err != nil {
		return err
	}
	if err := checkFields(response.Trailer); err != nil {
		return err
	}
	if response.ContentLength < 0 && response.Body != http.NoBody {
		response.Body = &trailedBody{ReadCloser: response.Body, response: response, conn: conn}
	}
	return nil
}

// checkFields returns an error that names a field whose name is not a token, or whose value has control
// bytes.
func checkFields(header http.Header) error {
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return ErrInvalidAnswer.New("the name of a field is not a token: %.*q", nameInError, name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return ErrInvalidAnswer.New("the value of a field has a control byte: %.*q", nameInError, name)
			}
		}
	}
	return nil
}

// trailedBody is the body of an answer that a trailer may follow.
type trailedBody struct {
	io.ReadCloser
	response *http.Response
	conn     *Conn
}

// Read implements io.Reader.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	if invalid := b.check(err); invalid != nil {
		clear(b.response.Trailer)
		b.conn.retire()
		return n, invalid
	}
	return n, err
}

// check returns what is wrong with the trailer, given the end of the body; nil when nothing is.
func (b *trailedBody) check(end error) error {
	if end == io.EOF {
		return checkFields(b.response.Trailer)
	}
	if malformed := malformedLine(end); malformed != nil {
		return ErrInvalidAnswer.Wrap(malformed, "the trailer is not HTTP")
	}
	return nil
}

// CheckAnswers returns a RoundTripper that returns an error of the type ErrInvalidAnswer in place of an
// answer that is not a final one of the given major version of HTTP, or whose interim answers are not
// HTTP, and an ErrCut in place of the end of an answer that is not known to be whole. Folded lines and cut
// answers are found on connections of the type Conn.
func CheckAnswers(next http.RoundTripper, major int) http.RoundTripper {
	if major == 1 {
		next = wholeAnswers{next}
	}
	return checkedAnswers{next, major}
}

type checkedAnswers struct {
	next  http.RoundTripper
	major int
}

// RoundTrip implements http.RoundTripper.
func (c checkedAnswers) RoundTrip(r *http.Request) (*http.Response, error) {
	e := &checkedExchange{}
	trace := &httptrace.ClientTrace{GotConn: e.gotConn, Got1xxResponse: e.interim}
	response, err := c.next.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, NameOnly(err)
	}
	response.Request = r
	if err := e.check(response, c.major); err != nil {
		e.conn.retire()
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// checkedExchange is one request of checkedAnswers.
type checkedExchange struct {
	mu   sync.Mutex
	conn *Conn
	use  Use
	// interims counts the interim answers. err is what is wrong with one: a hook of the caller's own
	// may hide it.
	interims int
	err      error
}

func (e *checkedExchange) gotConn(info httptrace.GotConnInfo) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn, e.use = nil, 0
	if conn, ok := info.Conn.(*Conn); ok {
		e.conn, e.use = conn, conn.Begin()
	}
}

func (e *checkedExchange) interim(_ int, header textproto.MIMEHeader) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.interims++
	if e.err == nil {
		e.err = CheckInterim(e.interims, header, e.conn, e.use)
	}
	return e.err
}

func (e *checkedExchange) check(response *http.Response, major int) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.err != nil {
		return e.err
	}
	if e.conn != nil {
		if err := e.conn.lines.check(e.use); err != nil {
			return err
		}
	}
	return checkHead(response, e.conn, major)
}
