package forwarding

import (
	"strings"
	"testing"

	"github.com/levertide/levertide/internal/testheads"
)

// TestRequestWithAnOddHeadReachesNoWorker guards against a request whose head the worker, or a node, reads in another way.
func TestRequestWithAnOddHeadReachesNoWorker(t *testing.T) {
	worker := startWorker(t)
	front, back := startNode(t, "front", "desk", nil), startNode(t, "back", "ledger", worker)
	configure(t, ledgerRoutes, front, back)
	exchangeRecords(front, back)
	for _, line := range testheads.RequestLines() {
		for _, node := range []*testNode{front, back} {
			for _, before := range []string{"", "X-Long: " + strings.Repeat("x", 6000) + "\r\n"} {
				got := rawCall(t, node, "POST /file/1", "X-Id: odd\r\n"+before+line+"\r\n")
				if !strings.HasPrefix(got, "HTTP/1.1 400 ") {
					t.Errorf("%q after %d bytes at %s: %.200q", line, len(before), node.plane.config.Node, got)
				}
			}
		}
	}
	if got := rawCall(t, front, "GET /read/1", "X-Id: even\r\n"); !strings.HasPrefix(got, "HTTP/1.1 200 ") {
		t.Errorf("an ordinary request after these: %.200q", got)
	}
	if arrived := worker.calls.Load(); arrived != 1 {
		t.Errorf("%d requests arrived", arrived)
	}
}
