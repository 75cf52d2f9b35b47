package calls

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/internal/lab/experiment"
	"github.com/levertide/levertide/internal/lab/worker"
	"github.com/levertide/levertide/pkg/outcome"
)

// call is one call to be made.
type call struct {
	id      string
	kind    experiment.Call
	targets []string
	// answer is the requested size of the answer in bytes.
	answer int64
}

// do makes the call to the first target that accepts a connection. The reason
// is why the call was not answered correctly, or empty.
func (c call) do(client *http.Client) (Result, string) {
	body := c.body()
	for _, target := range c.targets {
		response, err := c.send(client, target, body)
		if isDialError(err) {
			continue
		}
		if err != nil {
			return ResultUnknown, err.Error()
		}
		defer func() { _ = response.Body.Close() }()
		return c.judge(response, body)
	}
	return ResultNotRun, "no node takes a connection"
}

// body returns the bytes that the call uploads, a function of its identifier and size only.
func (c call) body() []byte {
	content := make([]byte, c.kind.Body)
	seed := worker.NewDigester(c.id).Sum()
	_, _ = io.ReadFull(rand.NewChaCha8(seed), content)
	return content
}

// send sends the call to one target. The body of the request cannot be rewound, so that
// the HTTP client does not send it again on its own.
func (c call) send(client *http.Client, target string, body []byte) (*http.Response, error) {
	var upload io.Reader
	if len(body) > 0 {
		upload = io.NopCloser(bytes.NewReader(body))
	}
	request, err := http.NewRequest(c.kind.Method, "http://"+target+c.kind.Path, upload)
	if err != nil {
		return nil, err
	}
	request.Host = c.kind.Host
	request.ContentLength = int64(len(body))
	request.Header.Set(worker.RequestIDHeader, c.id)
	request.Header.Set(worker.AnswerSizeHeader, strconv.FormatInt(c.answer, 10))
	return client.Do(request)
}

// isDialError reports whether no connection was made, so that nothing was sent.
func isDialError(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

// judge compares the answer with the one expected for this call.
func (c call) judge(response *http.Response, body []byte) (Result, string) {
	reported, reason := outcome.FromResponse(response.Header)
	switch reported {
	case outcome.NotRun:
		return ResultNotRun, string(reason)
	case outcome.Unknown:
		return ResultUnknown, string(reason)
	}
	if response.StatusCode != http.StatusOK {
		return ResultWrong, fmt.Sprintf("status %d without an outcome", response.StatusCode)
	}
	digester := worker.NewDigester(c.id)
	_, _ = digester.Write(body)
	if got := response.Header.Get(worker.DigestHeader); got != digester.Sum().String() {
		return ResultWrong, "the answer is for another request"
	}
	err := worker.VerifyAnswer(response.Body, digester.Sum(), c.answer)
	switch {
	case err == nil:
		return ResultAnswered, ""
	case errorx.IsOfType(err, worker.ErrAnswer):
		return ResultWrong, err.Error()
	default:
		return ResultUnknown, "the answer broke off: " + err.Error()
	}
}
