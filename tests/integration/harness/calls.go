package harness

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/levertide/levertide/internal/lab/worker"
	"github.com/levertide/levertide/pkg/outcome"
)

var requestNumber atomic.Uint64

// Answer is the result of a call as its caller received it.
type Answer struct {
	RequestID string
	Status    int
	Outcome   outcome.Outcome
	Reason    outcome.Reason
	Worker    string
	// Err is set when the answer was missing, incomplete or wrong.
	Err error
}

// Request is one call.
type Request struct {
	// ID identifies the request; NewRequestID makes one when it is empty.
	ID     string
	Method string
	Host   string
	Path   string
	// Body is streamed as it is read; nil means no body.
	Body io.Reader
	// Content is the complete content of Body, used to verify the answer.
	Content []byte
}

// NewRequestID returns an identifier that is unique in this process.
func NewRequestID() string { return fmt.Sprintf("request-%d", requestNumber.Add(1)) }

// Call sends a request to a node and checks that the answer is complete and
// belongs to this request.
func Call(ctx context.Context, node *Node, call Request) Answer {
	id := cmp.Or(call.ID, NewRequestID())
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+node.CallerAddress()+call.Path, call.Body)
	if err != nil {
		return Answer{RequestID: id, Err: err}
	}
	request.Host = call.Host
	request.Header.Set(worker.RequestIDHeader, id)
	// Without connection reuse, the client never resends a request by itself.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return Answer{RequestID: id, Err: err}
	}
	defer response.Body.Close()
	return readAnswer(id, response, call.Content)
}

func readAnswer(id string, response *http.Response, content []byte) Answer {
	answer := Answer{RequestID: id, Status: response.StatusCode, Worker: response.Header.Get(worker.WorkerHeader)}
	answer.Outcome, answer.Reason = outcome.FromResponse(response.Header)
	if answer.Outcome != outcome.Answered {
		return answer
	}
	digester := worker.NewDigester(id)
	_, _ = digester.Write(content)
	answer.Err = worker.VerifyAnswer(response.Body, digester.Sum(), worker.DefaultAnswerSize)
	return answer
}

// Executions returns how often the workers, taken together, completed a request.
func (m *Mesh) Executions(requestID string) int {
	total := 0
	for _, node := range m.nodes {
		total += node.record(requestID).Executed
	}
	return total
}

// AllExecutions returns how often each request was completed, by request ID.
func (m *Mesh) AllExecutions() map[string]int {
	executions := make(map[string]int)
	for _, node := range m.nodes {
		if node.Worker == nil {
			continue
		}
		records, _ := node.Worker.Records()
		for _, record := range records {
			executions[record.ID] += record.Executed
		}
	}
	return executions
}

// Holder returns the node whose worker admitted a request, or nil.
func (m *Mesh) Holder(requestID string) *Node {
	for _, node := range m.nodes {
		if node.record(requestID).Started > 0 {
			return node
		}
	}
	return nil
}

func (n *Node) record(requestID string) worker.Record {
	if n.Worker == nil {
		return worker.Record{}
	}
	records, _ := n.Worker.Records()
	for _, record := range records {
		if record.ID == requestID {
			return record
		}
	}
	return worker.Record{}
}

// Body returns a request body of the given size, as a reader and as bytes.
func Body(t *testing.T, size int) (io.Reader, []byte) {
	t.Helper()
	content := bytes.Repeat([]byte(strconv.Itoa(size)), size)[:size]
	return bytes.NewReader(content), content
}
