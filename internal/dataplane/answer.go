package dataplane

import (
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/levertide/levertide/internal/httpconn"
)

// discardLimit is how many bytes of an unused answer are read so that its
// connection can be reused.
const discardLimit = 4 << 10

// discard drains and closes an answer that is not delivered.
func discard(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, discardLimit)
	_ = response.Body.Close()
}

// delivery forwards one answer to whoever sent the request.
type delivery struct {
	writer   http.ResponseWriter
	control  *http.ResponseController
	response *http.Response
	lifetime *lifetime
	stall    time.Duration
	pace     pace
	// closing is set when the connection must not be reused.
	closing bool
}

// run forwards the answer. An error means that it did not arrive completely: the
// caller of run must then abort the handler.
func (d *delivery) run() error {
	d.lifetime.answerProgressed(d.stall)
	d.begin()
	if err := d.copyBody(); err != nil {
		return err
	}
	d.writeTrailer()
	return nil
}

func (d *delivery) begin() {
	header := d.writer.Header()
	copyForwardable(header, d.response.Header)
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // keeps the server from sniffing the type
	}
	for name := range d.response.Trailer {
		if forwardable(name) {
			header.Add("Trailer", name)
		}
	}
	if d.closing {
		header[connectionName] = []string{closeValue}
	}
	_ = d.control.SetWriteDeadline(time.Now().Add(d.pace.remaining()))
	d.writer.WriteHeader(d.response.StatusCode)
}

func (d *delivery) copyBody() error {
	if d.response.Body == http.NoBody {
		return nil
	}
	buffer := httpconn.GetBuffer()
	defer httpconn.PutBuffer(buffer)
	left := d.response.ContentLength
	for {
		n, readErr := d.response.Body.Read(buffer[:])
		if n > 0 {
			left -= int64(n)
			complete := left == 0
			partial := n < len(buffer)
			if err := d.write(buffer[:n], partial && !complete); err != nil {
				return err
			}
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

// write forwards a part of the body. It is flushed when the worker has sent no
// more for now, so that the caller sees what has arrived.
func (d *delivery) write(part []byte, flush bool) error {
	d.lifetime.answerProgressed(d.stall)
	remaining := d.pace.remaining()
	if remaining <= 0 {
		return errTooSlow
	}
	began := time.Now()
	_ = d.control.SetWriteDeadline(began.Add(remaining))
	_, err := d.writer.Write(part)
	if err == nil && flush {
		err = d.control.Flush()
	}
	d.pace.step(len(part), time.Since(began))
	// The next read waits for the worker, not for the caller: it gets the full
	// stall time, however long this write took.
	d.lifetime.answerProgressed(d.stall)
	return err
}

func (d *delivery) writeTrailer() {
	header := d.writer.Header()
	for name, values := range d.response.Trailer {
		if !forwardable(name) {
			continue
		}
		if slices.Contains(header["Trailer"], name) {
			header[name] = values
		} else {
			header[http.TrailerPrefix+name] = values
		}
	}
}
