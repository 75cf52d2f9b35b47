package forwarding

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/workers"
)

// noFinalAnswers are the beginnings of answers that do not end an exchange of HTTP/1.
var noFinalAnswers = []string{
	"HTTP/1.1 000", "HTTP/1.1 001", "HTTP/1.1 042", "HTTP/1.1 099", "HTTP/1.1 +42", "HTTP/1.1 101",
	"HTTP/1.1 600", "HTTP/1.1 999", "HTTP/2.0 200", "HTTP/0.9 200",
}

// rawCall sends a request with further header lines on a connection of its own and returns all that
// comes back until the connection ends.
func rawCall(t testing.TB, node *testNode, line, header string) string {
	t.Helper()
	conn, err := net.Dial("tcp", node.caller.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	_, _ = fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: mesh.example\r\nX-Timeout: 3000\r\nConnection: close\r\n%s\r\n", line, header)
	got, _ := io.ReadAll(conn)
	return string(got)
}

// TestAnswerThatIsNoFinalOneIsNotPassedOn guards against answers with a status that no final answer
// has: the caller would get bytes that are no HTTP, or take the connection for another protocol's.
func TestAnswerThatIsNoFinalOneIsNotPassedOn(t *testing.T) {
	var line, rest string
	var mu sync.Mutex
	retired := map[net.Conn]bool{}
	worker := startRawWorker(t, func(r rawRequest) {
		mu.Lock()
		defer mu.Unlock()
		if retired[r.conn] {
			t.Errorf("%s: the connection was used again", line)
		}
		retired[r.conn] = true
		fmt.Fprintf(r.conn, "%s Odd\r\nX-Id: %s\r\nX-Stamp: w\r\n%s", line, r.id, rest)
	})
	front, back := nodesBesideRawWorker(t, worker)
	calls := 0
	for _, line = range noFinalAnswers {
		for _, rest = range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 3\r\n\r\nodd", "Upgrade: odd\r\nConnection: Upgrade\r\nContent-Length: 0\r\n\r\n"} {
			for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
				for _, node := range []*testNode{front, back} {
					calls++
					var got string
					var report CallReport
					worker.untilArrived(t, func() {
						got = rawCall(t, node, method+" /file/1", fmt.Sprintf("X-Id: id-%d\r\n", calls))
						report = <-node.reports
					})
					if !strings.HasPrefix(got, "HTTP/1.1 502 ") || strings.Contains(got, "X-Stamp") {
						t.Fatalf("%s, %q, %s at %s: %.40q", line, rest, method, node.plane.config.Node, got)
					}
					if report.Reason != outcome.InvalidAnswer || report.Outcome != outcome.Unknown {
						t.Fatalf("%s at %s: %v, %v", line, node.plane.config.Node, report.Outcome, report.Reason)
					}
				}
			}
		}
	}
	if got := worker.arrivals.Load(); got != int64(calls) {
		t.Errorf("%d of %d calls arrived", got, calls)
	}
	checkNothingIsHeld(t, front, back)
}

// TestAnswerOfANodeThatIsNoFinalOneIsNotPassedOn guards the same of the answers between nodes.
func TestAnswerOfANodeThatIsNoFinalOneIsNotPassedOn(t *testing.T) {
	var line string
	other := startRawWorker(t, func(r rawRequest) {
		fmt.Fprintf(r.conn, "%s Odd\r\nX-Id: %s\r\nLevertide-Hop-Load: 1,0,4,0,0,0,0\r\nContent-Length: 3\r\n\r\nodd", line, r.id)
	})
	front := startNode(t, "front", "desk", nil)
	configure(t, ledgerRoutes, front)
	front.table.Merge([]fleet.Node{{
		ID: "back", Incarnation: 1, Zone: "z", CallAddress: netip.MustParseAddrPort(other.listener.Addr().String()), State: fleet.StateLive,
		Workers: []workers.Worker{{Instance: "w-back", Service: "ledger", Slots: 4, State: workers.StateReady}},
	}})
	for _, line = range noFinalAnswers {
		if status, _, body := post(t, front, "/file/1", "vat"); status != http.StatusBadGateway || strings.Contains(body, "odd") {
			t.Errorf("%s: %d %q", line, status, body)
		}
	}
	line = "HTTP/1.1 200"
	if status, _, body := post(t, front, "/file/1", "vat"); status != http.StatusOK || body != "odd" {
		t.Errorf("%s: %d %q", line, status, body)
	}
	checkNothingIsHeld(t, front)
}
