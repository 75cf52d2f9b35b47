package dataplane

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/outcome"
)

func TestDrainEndsNoCallInFlight(t *testing.T) {
	m := newMesh(t)
	running := make(chan struct{})
	node := m.addHandler("a", func(w http.ResponseWriter, r *http.Request) {
		close(running)
		n, _ := io.Copy(io.Discard, r.Body)
		if n == 1<<20 {
			_, _ = io.WriteString(w, "stored")
		}
	})
	var elsewhere atomic.Int64
	reader, writer := io.Pipe()
	upload := make(chan reply, 1)
	go func() { upload <- m.do(m.request("POST", "/", reader)) }()
	part := strings.Repeat("x", 1<<19)
	_, _ = io.WriteString(writer, part)
	<-running

	m.addHandler("b", func(http.ResponseWriter, *http.Request) { elsewhere.Add(1) })
	drained := make(chan DrainReport, 1)
	go func() { drained <- node.plane.Drain(context.Background()) }()
	eventually(t, "drain begun", func() bool { return node.plane.Status().Draining })
	const calls = 20
	for range calls {
		m.call("POST", "/never", "x").expect(t, http.StatusOK, "")
	}
	if elsewhere.Load() != calls {
		t.Errorf("%d of %d calls went to the other worker", elsewhere.Load(), calls)
	}
	select {
	case report := <-drained:
		t.Fatalf("the drain ended with an upload in flight: %+v", report)
	default:
	}
	_, _ = io.WriteString(writer, part)
	_ = writer.Close()
	(<-upload).expectBody(t, "stored")
	if report := <-drained; !report.Clean() {
		t.Errorf("report %+v", report)
	}
}

func TestDrainIsBounded(t *testing.T) {
	m := newMesh(t)
	running := make(chan struct{})
	node := m.addHandler("a", func(_ http.ResponseWriter, r *http.Request) {
		close(running)
		<-r.Context().Done()
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = m.client().Do(m.request("GET", "/", nil).WithContext(ctx))
	}()
	<-running
	bound, stop := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer stop()
	if report := node.plane.Drain(bound); report.PeerCalls != 1 || report.Clean() {
		t.Errorf("report %+v", report)
	}
	cancel()
	<-ended
}

func TestDrainedNodeRefusesCallers(t *testing.T) {
	m := newMesh(t)
	m.addHandler("a", func(http.ResponseWriter, *http.Request) {})
	m.call("GET", "/", "").expect(t, http.StatusOK, "")
	m.entry.plane.Drain(context.Background())
	m.call("GET", "/", "").expect(t, http.StatusServiceUnavailable, "not-run", outcome.Draining)
}

func TestLongUploadIsRetriedAfterARefusal(t *testing.T) {
	m := newMesh(t)
	var stored atomic.Int64
	handler := func(_ http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		stored.Add(n)
	}
	leaving := m.addHandler("a", handler)
	m.addHandler("b", handler)
	leaving.plane.draining.Store(true)
	// The choice between the two nodes is random: continue until the leaving one was
	// chosen. In practice 200 choices do not all miss it.
	const size, fewest, most = 1 << 20, 8, 200
	calls := int64(0)
	for ; calls < fewest || calls < most && leaving.watch.peerReports() == 0; calls++ {
		m.call("POST", "/never", strings.Repeat("x", size)).expect(t, http.StatusOK, "")
		// Discard the knowledge that the node is leaving, so that it can be chosen again.
		m.entry.plane.destinations = destinations{make: m.entry.plane.newDestination}
		m.entry.plane.active.Store(nil)
	}
	if stored.Load() != size*calls {
		t.Errorf("%d bytes were stored, want %d", stored.Load(), size*calls)
	}
	if refused := leaving.watch.peerReports(); refused == 0 {
		t.Error("the leaving node was never chosen: the test proves nothing")
	}
}

func TestUnusedConnectionsToALeavingNodeAreClosed(t *testing.T) {
	m := newMesh(t)
	leaving := m.addHandler("a", func(http.ResponseWriter, *http.Request) {})
	m.call("GET", "/", "").expect(t, http.StatusOK, "")
	if leaving.plane.peerConnections.count() == 0 {
		t.Fatal("no connection was kept")
	}
	m.addHandler("b", func(http.ResponseWriter, *http.Request) {})
	m.leave("a")
	m.call("GET", "/", "").expect(t, http.StatusOK, "")
	eventually(t, "connections closed", func() bool { return leaving.plane.peerConnections.count() == 0 })
}
