package forwarding

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/testwait"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/slotqueue"
	"github.com/levertide/levertide/pkg/workers"
)

// countedConn counts the bytes that are written.
type countedConn struct {
	net.Conn
	written *atomic.Int64
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// TestRefusedUploadDoesNotCross fills the worker of another node and offers uploads to it: they
// are refused before their bodies are sent.
func TestRefusedUploadDoesNotCross(t *testing.T) {
	front, back, worker := twoNodes(t)
	var written atomic.Int64
	front.plane.peers.DialContext = counting(front.plane.peers.DialContext, &written)
	release := make(chan struct{})
	worker.answer(func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	for range 4 { // as many as the worker has slots
		request := callerRequest(t, front, http.MethodPost, "/file/1", bytes.NewReader([]byte("small")))
		go func() {
			if response, err := http.DefaultClient.Do(request); err == nil {
				_ = response.Body.Close()
			}
		}()
	}
	testwait.Eventually(t, "the worker is full", func() bool { return worker.calls.Load() == 4 })
	fillQueue(t, back)
	before := written.Load()
	const size = 200_000
	status, header, _ := ask(t, callerRequest(t, front, http.MethodPost, "/short/1", bytes.NewReader(make([]byte, size))))
	if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("status %d, headers %v", status, header)
	}
	if crossed := written.Load() - before; crossed > size/10 {
		t.Errorf("%d bytes were sent for a refused upload of %d", crossed, size)
	}
}

// fillQueue makes requests wait for the worker beside a node.
func fillQueue(t *testing.T, node *testNode) {
	t.Helper()
	w, err := node.plane.local.find("ledger", workers.Incarnation{})
	if err != nil {
		t.Fatal(err)
	}
	const waiting = 100
	for range waiting {
		go func() { _, _ = w.queue.Admit(t.Context(), slotqueue.Request{LatestStart: time.Now().Add(testTimeout)}) }()
	}
	testwait.Eventually(t, "requests wait", func() bool { return w.load().Waiting == waiting })
}

func counting(dial func(ctx context.Context, network, address string) (net.Conn, error), written *atomic.Int64) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{conn, written}, nil
	}
}

// TestSealedBodyIsNeverSent seals a body before and after its first byte was read for sending.
func TestSealedBodyIsNeverSent(t *testing.T) {
	body := &requestBody{held: make([]byte, expectContinueBody)}
	var out http.Request
	untouched, _ := body.attach(&out, nil)
	for range 2 {
		if !untouched.seal() {
			t.Error("a body of which nothing was taken must seal, and stay sealed")
		}
	}
	if n, err := out.Body.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Error("a sealed body was read")
	}
	begun, _ := body.attach(&out, nil)
	_, _ = out.Body.Read(make([]byte, expectContinueBody-1))
	if !begun.seal() {
		t.Error("a body that is buffered completely before anything begins must seal while a part is missing")
	}
	if n, err := out.Body.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Error("the rest of a sealed body was read")
	}
	complete, _ := body.attach(&out, nil)
	_, _ = out.Body.Read(make([]byte, expectContinueBody))
	if complete.seal() {
		t.Error("a body that was read completely sealed")
	}
	streamed := &requestBody{rest: bytes.NewReader(make([]byte, expectContinueBody)), length: expectContinueBody}
	stream, _ := streamed.attach(&out, nil)
	_, _ = out.Body.Read(make([]byte, 1))
	if stream.seal() {
		t.Error("a streamed body that was begun sealed")
	}
}

// TestQuestionThatIsNotAnswered makes the other node close the connection before it has sent
// 100-continue for the body: the call has not run.
func TestQuestionThatIsNotAnswered(t *testing.T) {
	front, back, _ := twoNodes(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			_ = conn.Close()
		}
	}()
	record := back.table.View().Self()
	record.CallAddress = netip.MustParseAddrPort(listener.Addr().String())
	record.Sequence += 10
	front.table.Merge([]fleet.Node{record})
	request := callerRequest(t, front, http.MethodPost, "/file/1", bytes.NewReader(make([]byte, 100_000)))
	request.Header.Set("X-Timeout", "700")
	began := time.Now()
	if status, _, _ := ask(t, request); status != http.StatusServiceUnavailable {
		t.Errorf("status %d after %v", status, time.Since(began))
	}
}
