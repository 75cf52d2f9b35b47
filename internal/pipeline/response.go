package pipeline

import (
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/httpconn"
)

// errShort is returned for an answer whose body is shorter than its Content-Length.
var errShort = errors.New("answer body is shorter than its Content-Length")

// errNotFinal is returned for an answer whose status is not one that HTTP has for final answers.
var errNotFinal = errors.New("the status is not one of a final answer")

// response is the http.ResponseWriter of one exchange. The head is written when
// the answers before are complete.
type response struct {
	exchange *exchange
	header   http.Header

	// mu prevents 100 Continue from being written while the head is written.
	mu    sync.Mutex
	begun bool
	// empty is set when the answer has no body, whatever its head announces.
	empty bool
	// remaining is how many bytes of the announced length are missing; -1 when none
	// was announced.
	remaining int64
	chunks    io.WriteCloser // nil unless the length is not known
	// endsWithConnection is set when the end of the connection marks the end of the answer.
	endsWithConnection bool
	err                error
}

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.begun {
		return
	}
	w.begun = true
	if !httpconn.IsFinal(status) {
		w.err = errNotFinal
		return
	}
	if w.err = w.exchange.awaitTurn(); w.err == nil {
		w.err = w.writeHead(status)
	}
}

func (w *response) writeHead(status int) error {
	x := w.exchange
	closing := w.header.Get("Connection") == "close" || !x.body.consumed()
	delete(w.header, "Connection")
	if x.conn.beginAnswer(x, closing) {
		w.header["Connection"] = []string{"close"}
	}
	if w.header["Date"] == nil {
		w.header["Date"] = x.conn.server.date()
	}
	w.frame(status)
	bw := x.conn.bw
	line := append(bw.AvailableBuffer(), "HTTP/1.1 "...)
	line = strconv.AppendInt(line, int64(status), 10)
	line = append(line, ' ')
	line = append(line, http.StatusText(status)...)
	line = append(line, "\r\n"...)
	if _, err := bw.Write(line); err != nil {
		return err
	}
	if err := w.header.Write(bw); err != nil {
		return err
	}
	_, err := bw.WriteString("\r\n")
	return err
}

// frame decides how the end of the body is marked: by its length, by chunks, or by
// the end of the connection.
func (w *response) frame(status int) {
	w.remaining = -1
	if status == http.StatusNoContent {
		delete(w.header, "Content-Length")
	}
	w.empty = w.exchange.request.Method == http.MethodHead || !httpconn.BodyAllowed(status)
	if length, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64); err == nil && length >= 0 {
		w.remaining = length
		return
	}
	delete(w.header, "Content-Length")
	if w.empty {
		return
	}
	if !w.exchange.request.ProtoAtLeast(1, 1) {
		w.endsWithConnection = true
		w.exchange.conn.resetAtEnd(true)
		return
	}
	w.header["Transfer-Encoding"] = []string{"chunked"}
	w.chunks = httputil.NewChunkedWriter(w.exchange.conn.bw)
}

// Write implements http.ResponseWriter.
func (w *response) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.err != nil {
		return 0, w.err
	}
	if w.empty {
		return 0, http.ErrBodyNotAllowed
	}
	var n int
	switch {
	case w.chunks != nil:
		n, w.err = w.chunks.Write(p)
	case w.remaining >= 0 && int64(len(p)) > w.remaining:
		return 0, http.ErrContentLength
	default:
		n, w.err = w.exchange.conn.bw.Write(p)
	}
	if w.remaining >= 0 {
		w.remaining -= int64(n)
	}
	return n, w.err
}

// FlushError sends what was written. http.ResponseController uses it.
func (w *response) FlushError() error {
	w.WriteHeader(http.StatusOK)
	if w.err == nil {
		w.err = w.exchange.conn.bw.Flush()
	}
	return w.err
}

// SetReadDeadline bounds the reading of the request's body.
func (w *response) SetReadDeadline(deadline time.Time) error {
	if w.exchange.body.consumed() {
		// The connection is already read for the next request.
		return nil
	}
	w.exchange.conn.setReadDeadline(deadline)
	return nil
}

// EnableFullDuplex does nothing: an answer may always begin before the request has
// been read.
func (w *response) EnableFullDuplex() error { return nil }

// sendContinue sends 100 Continue to a caller that waits for it before it sends the body.
func (w *response) sendContinue() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.begun {
		return w.err
	}
	if err := w.exchange.awaitTurn(); err != nil {
		return err
	}
	bw := w.exchange.conn.bw
	if _, err := bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return bw.Flush()
}

// finish completes the answer.
func (w *response) finish() error {
	if !w.begun && w.header["Content-Length"] == nil {
		w.header["Content-Length"] = []string{"0"}
	}
	w.WriteHeader(http.StatusOK)
	switch {
	case w.err != nil:
		return w.err
	case w.remaining > 0 && !w.empty:
		return errShort
	case w.chunks != nil:
		if err := w.chunks.Close(); err != nil {
			return err
		}
		if _, err := w.exchange.conn.bw.WriteString("\r\n"); err != nil {
			return err
		}
	}
	err := w.exchange.conn.bw.Flush()
	if err == nil && w.endsWithConnection {
		w.exchange.conn.resetAtEnd(false)
	}
	return err
}
