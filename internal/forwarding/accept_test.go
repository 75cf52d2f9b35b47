package forwarding

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/intake"
	"github.com/levertide/levertide/internal/testwait"
)

// deadlineOf returns the end of the time that a worker is given with a request.
func deadlineOf(t *testing.T, r *http.Request) time.Time {
	t.Helper()
	milliseconds, err := strconv.Atoi(r.Header.Get(testDialect.Timeout))
	if err != nil {
		t.Error(err)
	}
	return time.Now().Add(time.Duration(milliseconds) * time.Millisecond)
}

// TestWaitToBeAcceptedCountsAgainstTheDeadline guards against time that a worker is given though the
// caller no longer has it: a call from another node waits for a connection that others hold.
func TestWaitToBeAcceptedCountsAgainstTheDeadline(t *testing.T) {
	const (
		left  = 5 * time.Second
		wait  = 700 * time.Millisecond
		slack = wait / 2
	)
	worker := startWorker(t)
	node := startNode(t, "back", "ledger", worker)
	configure(t, ledgerRoutes, node)
	node.plane.hopConnections = intake.New("calls", intake.Limits{Connections: 1}, nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := node.plane.HopServer()
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	release, deadlines := make(chan struct{}), make(chan time.Time, 2)
	worker.answer(func(_ http.ResponseWriter, r *http.Request) {
		deadlines <- deadlineOf(t, r)
		<-release
	})
	offer := func() {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		h := hop{service: "ledger", incarnation: node.registry.Workers()[0].Incarnation(), waitLimit: left, left: left}
		head := "GET /read/1 HTTP/1.1\r\nHost: mesh.example\r\nX-Id: id-1\r\nConnection: close\r\n%s: %s\r\n\r\n"
		if _, err := io.WriteString(conn, fmt.Sprintf(head, hopHeader, h.encode())); err != nil {
			t.Fatal(err)
		}
	}
	offer()
	testwait.Eventually(t, "the first call holds the only connection", func() bool { return worker.calls.Load() == 1 })
	sent := time.Now()
	offer()
	time.AfterFunc(wait, func() { close(release) })
	<-deadlines
	if end := <-deadlines; end.After(sent.Add(left + slack)) {
		t.Errorf("the worker was given %v more than was left", end.Sub(sent.Add(left)))
	}
}
