package forwarding

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/workers"
)

// rawWorker is a worker that writes its answers byte by byte, also such as net/http does not write.
type rawWorker struct {
	listener net.Listener
	// arrivals counts the requests that were read, open the connections that are open.
	arrivals, open atomic.Int64
}

// rawRequest is one request that a rawWorker has read.
type rawRequest struct {
	*http.Request
	conn net.Conn
	id   string
	// number counts the requests of the worker, from one.
	number int64
}

// respond writes a complete answer with the id of the request and further header lines.
func (r rawRequest) respond(status int, header, body string) {
	fmt.Fprintf(r.conn, "HTTP/1.1 %d %s\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), r.id, header, len(body), body)
}

// startRawWorker starts a worker that passes each request, with its body read, to a function.
func startRawWorker(t testing.TB, answer func(r rawRequest)) *rawWorker {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	worker := &rawWorker{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			worker.open.Add(1)
			go func() {
				defer worker.open.Add(-1)
				defer func() { _ = conn.Close() }()
				worker.serve(conn, answer)
			}()
		}
	}()
	return worker
}

func (w *rawWorker) serve(conn net.Conn, answer func(r rawRequest)) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		answer(rawRequest{Request: request, conn: conn, id: request.Header.Get("X-Id"), number: w.arrivals.Add(1)})
	}
}

// register registers a worker at the given address.
func (n *testNode) register(t testing.TB, instance, service, address string) {
	t.Helper()
	_, err := n.registry.Heartbeat(workers.Heartbeat{Instance: instance, Service: service, Address: netip.MustParseAddrPort(address), Slots: 4, Sequence: 1}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	n.plane.Update(n.registry.Workers())
	n.table.Update(func(own *fleet.Node) { own.Workers = n.registry.Workers() })
}

// nodesBesideRawWorker starts a node without a worker and one beside the given worker.
func nodesBesideRawWorker(t testing.TB, worker *rawWorker) (front, back *testNode) {
	t.Helper()
	front, back = startNode(t, "front", "desk", nil), startNode(t, "back", "ledger", nil)
	back.register(t, "w-back", "ledger", worker.listener.Addr().String())
	exchangeRecords(front, back)
	configure(t, ledgerRoutes, front, back)
	return front, back
}

// untilArrived makes a call until it arrives at the worker: one whose connection takes too long to
// open has not run, and is refused.
func (w *rawWorker) untilArrived(t testing.TB, call func()) {
	t.Helper()
	const most = 40
	for range most {
		before := w.arrivals.Load()
		call()
		if w.arrivals.Load() > before {
			return
		}
		time.Sleep(unreachablePause)
	}
	t.Fatalf("none of %d calls arrived", most)
}
