package forwarding

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/workers"
)

// earlyWorker starts a worker that refuses long bodies before it has read them, and reads nothing
// more on that connection for the rest of the test.
func earlyWorker(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go answerEarly(conn)
		}
	}()
	return listener
}

func answerEarly(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("X-Id")
		if request.ContentLength >= expectContinueBody {
			fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok", id)
	}
}

// TestCallsDoNotWaitBehindABodyThatIsNotRead sends a short call after a long one that the worker
// has refused without reading its body.
func TestCallsDoNotWaitBehindABodyThatIsNotRead(t *testing.T) {
	front := startNode(t, "front", "ledger", nil)
	_, err := front.registry.Heartbeat(workers.Heartbeat{
		Instance: "w", Service: "ledger", Address: netip.MustParseAddrPort(earlyWorker(t).Addr().String()), Slots: 4, Sequence: 1,
	}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	front.plane.Update(front.registry.Workers())
	front.table.Update(func(own *fleet.Node) { own.Workers = front.registry.Workers() })
	configure(t, ledgerRoutes, front)
	for call := range 5 {
		long := callerRequest(t, front, http.MethodPost, "/file/1", bytes.NewReader(make([]byte, 2*expectContinueBody)))
		if status, _, _ := ask(t, long); status != http.StatusServiceUnavailable {
			t.Fatalf("call %d: a long body: status %d", call, status)
		}
		if status, _, body := get(t, front, "/short/1"); status != http.StatusOK || body != "ok" {
			t.Fatalf("call %d: a short call after it: status %d, %q", call, status, body)
		}
	}
}
