package dataplane

import (
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/levertide/levertide/internal/httpleg"
)

// discardLimit is how much of an unwanted answer is read to keep its connection.
const discardLimit = 4 << 10

// discard ends an answer that nobody wants.
func discard(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, discardLimit)
	_ = response.Body.Close()
}

// endsDetectably reports whether the end of an answer can be told from a broken
// connection: it has a length, or comes in chunks, or has no body.
func endsDetectably(response *http.Response) bool {
	return response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked") ||
		response.Body == http.NoBody || response.Request.Method == http.MethodHead
}

// delivery passes one answer on.
type delivery struct {
	writer   http.ResponseWriter
	control  *http.ResponseController
	response *http.Response
	lifetime     *lifetime
	stall    time.Duration
	pace     pace
	// closing tells that the connection is not to be used again.
	closing bool
}

// run passes the answer on. An error means that it did not arrive whole: the
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
		header["Content-Type"] = nil // keeps the server from guessing
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
	buffer := httpleg.GetBuffer()
	defer httpleg.PutBuffer(buffer)
	left := d.response.ContentLength
	for {
		n, readErr := d.response.Body.Read(buffer[:])
		if n > 0 {
			left -= int64(n)
			wholeAnswer := left == 0
			partial := n < len(buffer)
			if err := d.write(buffer[:n], partial && !wholeAnswer); err != nil {
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

// write passes a part on. Flush it when the worker has no more to give now, so
// that the caller sees what there is.
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
	// The next read may take long through no fault of the caller.
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
