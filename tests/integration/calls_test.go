package integration_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/levertide/levertide/internal/lab/observe"
	"github.com/levertide/levertide/internal/lab/worker"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/tests/integration/harness"
)

// eventDrainStarted is the event number listed in docs/EVENTS.md.
const eventDrainStarted observe.EventNumber = 112

func TestWorkerDiesAfterExecuting(t *testing.T) {
	mesh, _ := running(t, twoZones()...)
	gateway := mesh.Node("a-gateway")
	get(t, mesh, gateway, 1)
	setFaults(mesh, worker.Fault{Kind: worker.DieAfterExecuting})
	for range 10 {
		answer := harness.Call(t.Context(), gateway, harness.Request{Method: http.MethodPost, Path: path(1)})
		if answer.Err != nil || answer.Outcome != outcome.Unknown {
			t.Errorf("answer %+v", answer)
		}
		if runs := mesh.Executions(answer.RequestID); runs != 1 {
			t.Errorf("%s ran %d times", answer.RequestID, runs)
		}
	}
}

func TestWorkerShedsAndOthersTakeOver(t *testing.T) {
	mesh, _ := running(t, twoZones()...)
	gateway := mesh.Node("a-gateway")
	// Other workers can take over only once the gateway knows them.
	answeredBy := map[string]bool{}
	mesh.Eventually("the gateway calls two workers", func() bool {
		answeredBy[get(t, mesh, gateway, 1).Worker] = true
		return len(answeredBy) > 1
	})
	mesh.Node("a-ledger-1").Worker.SetFaults(worker.Fault{Kind: worker.Shed})
	for range 20 {
		answer := harness.Call(t.Context(), gateway, harness.Request{Method: http.MethodPost, Path: path(1)})
		if answer.Err != nil || answer.Outcome != outcome.Answered {
			t.Errorf("answer %+v", answer)
		}
		if runs := mesh.Executions(answer.RequestID); runs != 1 {
			t.Errorf("%s ran %d times", answer.RequestID, runs)
		}
	}
	setFaults(mesh, worker.Fault{Kind: worker.Shed})
	refused := harness.Call(t.Context(), gateway, harness.Request{Method: http.MethodPost, Path: path(1)})
	if refused.Outcome != outcome.NotRun || mesh.Executions(refused.RequestID) != 0 {
		t.Errorf("answer while every worker sheds: %+v", refused)
	}
}

func TestTruncatedAnswerIsNotAnswered(t *testing.T) {
	mesh, _ := running(t, twoZones()...)
	gateway := mesh.Node("b-gateway")
	get(t, mesh, gateway, 1)
	setFaults(mesh, worker.Fault{Kind: worker.DieMidAnswer})
	answer := harness.Call(t.Context(), gateway, harness.Request{Method: http.MethodPost, Path: path(1)})
	if answer.Err == nil && answer.Outcome == outcome.Answered {
		t.Errorf("a truncated answer was accepted as complete: %+v", answer)
	}
	if runs := mesh.Executions(answer.RequestID); runs != 1 {
		t.Errorf("%s ran %d times", answer.RequestID, runs)
	}
}

func setFaults(mesh *harness.Mesh, fault worker.Fault) {
	for _, node := range mesh.Nodes("") {
		if node.Worker != nil {
			node.Worker.SetFaults(fault)
		}
	}
}

// upload is a long request in progress.
type upload struct {
	id      string
	writer  *io.PipeWriter
	content []byte
	answer  chan harness.Answer
}

// startUpload sends the first half of a body and waits until a worker has admitted the request.
func startUpload(t *testing.T, mesh *harness.Mesh, gateway *harness.Node) (*upload, *harness.Node) {
	t.Helper()
	_, content := harness.Body(t, 1<<20)
	reader, writer := io.Pipe()
	started := &upload{id: harness.NewRequestID(), writer: writer, content: content, answer: make(chan harness.Answer, 1)}
	go func() {
		started.answer <- harness.Call(t.Context(), gateway, harness.Request{
			ID: started.id, Method: http.MethodPost, Path: path(1), Body: reader, Content: content,
		})
	}()
	if _, err := writer.Write(content[:len(content)/2]); err != nil {
		t.Fatal(err)
	}
	mesh.Eventually("a worker has the upload", func() bool { return mesh.Holder(started.id) != nil })
	return started, mesh.Holder(started.id)
}

// finish sends the rest of the body and returns the answer.
func (u *upload) finish(t *testing.T) harness.Answer {
	t.Helper()
	if _, err := u.writer.Write(u.content[len(u.content)/2:]); err != nil {
		t.Fatal(err)
	}
	_ = u.writer.Close()
	return <-u.answer
}

func TestPlannedStopCutsOffNoUpload(t *testing.T) {
	mesh, _ := running(t, twoZones()...)
	gateway := mesh.Node("a-gateway")
	get(t, mesh, gateway, 1)
	sent, holder := startUpload(t, mesh, gateway)
	mark := mesh.Events.Mark()
	holder.Terminate()
	gateway.Terminate()
	mesh.Events.AwaitAfter(mark, holder.Name, "drain started", drainStarted)
	mesh.Events.AwaitAfter(mark, gateway.Name, "drain started", drainStarted)
	answer := sent.finish(t)
	if answer.Err != nil || answer.Status != http.StatusOK || answer.Outcome != outcome.Answered {
		t.Errorf("upload: %+v", answer)
	}
	for _, node := range []*harness.Node{holder, gateway} {
		if code := node.AwaitExit(); code != 0 {
			t.Errorf("%s exited with code %d, want 0", node.Name, code)
		}
	}
	if runs := mesh.Executions(sent.id); runs != 1 {
		t.Errorf("the upload ran %d times", runs)
	}
}

func TestLeavingWorkerGetsNoNewWork(t *testing.T) {
	mesh, _ := running(t, twoZones()...)
	gateway := mesh.Node("a-gateway")
	get(t, mesh, gateway, 1)
	sent, leaving := startUpload(t, mesh, gateway)
	mark := mesh.Events.Mark()
	leaving.Terminate()
	for mesh.Events.Count(mark, drainStarted) == 0 {
		expectAnswer(t, mesh, gateway)
	}
	_, before := leaving.Worker.Records()
	for range 100 {
		expectAnswer(t, mesh, gateway)
		expectAnswer(t, mesh, mesh.Node("b-gateway"))
	}
	if _, after := leaving.Worker.Records(); after.Started != before.Started {
		t.Errorf("%s got %d requests after its drain had started", leaving.Name, after.Started-before.Started)
	}
	if answer := sent.finish(t); answer.Err != nil || answer.Status != http.StatusOK {
		t.Errorf("upload: %+v", answer)
	}
	if code := leaving.AwaitExit(); code != 0 {
		t.Errorf("%s exited with code %d, want 0", leaving.Name, code)
	}
}

func expectAnswer(t *testing.T, mesh *harness.Mesh, node *harness.Node) {
	t.Helper()
	answer := harness.Call(t.Context(), node, harness.Request{Method: http.MethodPost, Path: path(1)})
	if answer.Err != nil || answer.Outcome != outcome.Answered {
		t.Errorf("answer %+v", answer)
	}
	if runs := mesh.Executions(answer.RequestID); runs != 1 {
		t.Errorf("%s ran %d times", answer.RequestID, runs)
	}
}

func drainStarted(event observe.Event) bool { return event.Number == eventDrainStarted }
