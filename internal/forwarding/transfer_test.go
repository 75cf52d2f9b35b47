package forwarding

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/testwait"
	"github.com/levertide/levertide/pkg/slotqueue"
)

// uploads sends uploads concurrently and returns the number of those answered by the worker.
func uploads(t *testing.T, node *testNode, count, size int) *atomic.Int64 {
	t.Helper()
	var served atomic.Int64
	for range count {
		request := callerRequest(t, node, http.MethodPost, "/file/1", bytes.NewReader(make([]byte, size)))
		go func() {
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				served.Add(1)
			}
		}()
	}
	return &served
}

// TestLongBodiesTakeTurnsOnTheLink occupies a node's link with transfers: uploads are refused or
// wait although the worker is idle, and short calls go on.
func TestLongBodiesTakeTurnsOnTheLink(t *testing.T) {
	front, back, worker := twoNodes(t)
	var held []slotqueue.Permit
	for range parallelTransfers {
		permit, err := back.plane.transfers.Admit(t.Context(), slotqueue.Request{LatestStart: time.Now()})
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, permit)
	}
	served := uploads(t, front, 1, 100_000)
	testwait.Eventually(t, "the upload waits", func() bool { return back.plane.transfers.Load().Waiting == 1 })
	if status, _, _ := ask(t, callerRequest(t, front, http.MethodGet, "/read/1", nil)); status != http.StatusOK {
		t.Errorf("a short call got %d", status)
	}
	if calls := worker.calls.Load(); calls != 1 {
		t.Errorf("the worker had %d calls", calls)
	}
	for _, permit := range held {
		permit.Release(false)
	}
	testwait.Eventually(t, "the upload is served", func() bool { return served.Load() == 1 })
}

// TestBusyLinkIsReported checks that a node reports how long an upload would wait, and that the
// report counts in the score.
func TestBusyLinkIsReported(t *testing.T) {
	text := formatLoad(slotqueue.Load{Running: 1, Slots: 4, Hold: time.Second, Transfer: 70 * time.Millisecond}, time.Millisecond)
	load, _, ok := parseLoad(text)
	if !ok || load.Transfer != 70*time.Millisecond {
		t.Fatalf("%q: %+v, %v", text, load, ok)
	}
	d := &destination{service: "ledger", self: "front", zone: "z"}
	e := &endpoint{node: "back", zone: "z", slowness: 1}
	long, short := criteria{long: true, target: time.Second}, criteria{target: time.Second}
	if d.score(e, load, long, true)-d.score(e, load, short, true) < float64(60*time.Millisecond) {
		t.Error("a busy link does not count for a long body")
	}
}

// slowWrites is a connection that writes a little at a time.
type slowWrites struct{ net.Conn }

func (c slowWrites) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		part := p[:min(len(p), 4096)]
		n, err := c.Conn.Write(part)
		written += n
		if err != nil {
			return written, err
		}
		p = p[n:]
		time.Sleep(20 * time.Millisecond)
	}
	return written, nil
}

// TestUploadThatCrossesTooSlowlyHasNotRun sends a body over a link that is too slow for the
// target of its route: the failure reports that the call has not run, and it has not.
func TestUploadThatCrossesTooSlowlyHasNotRun(t *testing.T) {
	front, _, worker := twoNodes(t)
	dial := front.plane.peers.DialContext
	front.plane.peers.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return slowWrites{conn}, nil
	}
	const size = 900_000 // over four seconds; the target of the route is 2.5 s
	status, header, _ := ask(t, callerRequest(t, front, http.MethodPost, "/file/1", bytes.NewReader(make([]byte, size))))
	if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("status %d, headers %v", status, header)
	}
	if calls := worker.calls.Load(); calls != 0 {
		t.Errorf("the worker had %d calls", calls)
	}
}

// TestRefusedLongBodyIsCounted occupies the link of the only worker's node for longer than an
// upload may wait.
func TestRefusedLongBodyIsCounted(t *testing.T) {
	front, back, worker := twoNodes(t)
	for range parallelTransfers {
		if _, err := back.plane.transfers.Admit(t.Context(), slotqueue.Request{LatestStart: time.Now()}); err != nil {
			t.Fatal(err)
		}
	}
	status, _, _ := ask(t, callerRequest(t, front, http.MethodPost, "/file/1", bytes.NewReader(make([]byte, 100_000))))
	if status != http.StatusServiceUnavailable || worker.calls.Load() != 0 {
		t.Errorf("status %d, %d calls of the worker", status, worker.calls.Load())
	}
	if back.plane.RefusedTransfers() == 0 {
		t.Error("the refusal is not counted")
	}
}
