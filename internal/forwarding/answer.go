package forwarding

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/internal/intake"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/slotqueue"
)

// answer is the answer of a worker: complete when rest is nil.
type answer struct {
	status int
	header http.Header
	held   []byte
	// rest is the part of a long answer that is not buffered in held.
	rest   io.ReadCloser
	length int64 // -1 when it is not known
	// load is the load of the worker's node after the call.
	load    slotqueue.Load
	hasLoad bool
	// ran is how long the worker had the call; zero when it is not known.
	ran time.Duration
	// sending is that of the request that was answered.
	sending *httpconn.Sending
	// finish releases the resources that a streamed answer holds.
	finish func(complete bool)
}

// readAnswer reads the body of an answer, completely if it is short. An error has the outcome
// unknown: the call has run, but its answer is not complete.
func readAnswer(ctx context.Context, response *http.Response) (*answer, error) {
	a := &answer{status: response.StatusCode, header: response.Header, length: response.ContentLength}
	hold := intake.FromContext(ctx)
	if response.ContentLength > bufferedAnswer {
		hold.Take(streamBytes)
		a.rest = response.Body
		return a, nil
	}
	held, complete, err := readAnswerHead(ctx, response, hold)
	if errorx.IsOfType(err, intake.ErrFull) {
		// The call has run: its answer is forwarded as it arrives.
		hold.Take(streamBytes)
		complete, err = false, nil
	}
	if err != nil {
		_ = response.Body.Close()
		return nil, brokenAnswer(ctx, err)
	}
	a.held = held
	if !complete {
		a.rest = response.Body
		return a, nil
	}
	_ = response.Body.Close()
	if response.Request.Method != http.MethodHead {
		a.length = int64(len(held))
	}
	return a, nil
}

func brokenAnswer(ctx context.Context, err error) error {
	switch {
	case context.Cause(ctx) == errEnd:
		return outcome.Wrap(outcome.Timeout, err)
	case ctx.Err() != nil:
		return outcome.Wrap(outcome.Canceled, err)
	case httpconn.IsInvalidAnswer(err):
		return outcome.Wrap(outcome.InvalidAnswer, err)
	default:
		return outcome.Wrap(outcome.ConnectionLost, err)
	}
}

// readAnswerHead reads the part of an answer that is buffered.
func readAnswerHead(ctx context.Context, response *http.Response, hold *intake.Hold) (held []byte, complete bool, err error) {
	if response.Request.Method == http.MethodHead {
		return nil, true, nil
	}
	// The connection can be used again only after the end of the body was read.
	return hold.ReadUpTo(ctx, response.Body, response.ContentLength, bufferedAnswer)
}

// release closes the rest of an answer and releases what it holds. complete reports whether the
// answer was written completely.
func (a *answer) release(complete bool) {
	if a.rest != nil {
		_ = a.rest.Close()
	}
	if a.finish != nil {
		a.finish(complete)
	}
}

// deliver forwards an answer and releases what it holds. An error means that it did not arrive
// completely: the handler must then be aborted.
func (a *answer) deliver(w http.ResponseWriter, closing bool) error {
	complete := false
	defer func() { a.release(complete) }()
	err := a.write(w, closing)
	complete = err == nil
	return err
}

// write forwards an answer. An error means that it did not arrive completely: the handler must
// then be aborted.
func (a *answer) write(w http.ResponseWriter, closing bool) error {
	target := w.Header()
	for name, values := range a.header {
		if !httpconn.IsHopByHop(name) && name != hopLoadHeader && name != hopFailureHeader && name != termsHeader {
			target[name] = values
		}
	}
	httpconn.RemoveListed(target, a.header)
	if _, ok := target["Content-Type"]; !ok {
		target["Content-Type"] = nil // keeps the server from guessing
	}
	if a.length >= 0 && httpconn.BodyAllowed(a.status) {
		if _, given := target["Content-Length"]; !given {
			target["Content-Length"] = []string{strconv.FormatInt(a.length, 10)}
		}
	}
	if closing {
		target["Connection"] = []string{"close"}
	}
	w.WriteHeader(a.status)
	if len(a.held) > 0 {
		if _, err := w.Write(a.held); err != nil {
			return err
		}
	}
	if a.rest == nil {
		return nil
	}
	return a.stream(w)
}

func (a *answer) stream(w http.ResponseWriter) error {
	buffer := httpconn.GetBuffer()
	defer httpconn.PutBuffer(buffer)
	control := http.NewResponseController(w)
	for {
		count, readErr := a.rest.Read(buffer[:])
		if count > 0 {
			if _, err := w.Write(buffer[:count]); err != nil {
				return err
			}
			if err := control.Flush(); err != nil {
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
