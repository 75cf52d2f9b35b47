package forwarding

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/levertide/levertide/internal/testheads"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/workers"
)

// oddFields are those of a worker's answer, with what a node would follow.
const oddFields = "X-Id: %s\r\nX-Stamp: w\r\nKeep-Alive: timeout=2\r\n"

// startOddWorker starts a worker that answers with a text, in which %s stands for the id of the request. A connection
// that is used again after that is an error.
func startOddWorker(t *testing.T, text *atomic.Value) *rawWorker {
	return startRawWorker(t, func(r rawRequest) {
		_, _ = io.WriteString(r.conn, strings.ReplaceAll(text.Load().(string), "%s", r.id))
		var next [1]byte
		if n, _ := r.conn.Read(next[:]); n > 0 {
			t.Errorf("the connection was used again after %.200q", text.Load())
		}
		_ = r.conn.Close()
	})
}

// TestAnswerWithAnOddHeadIsNotPassedOn guards against a worker's answer with names of fields that no field has, folded lines or
// statuses that end no exchange.
func TestAnswerWithAnOddHeadIsNotPassedOn(t *testing.T) {
	var text atomic.Value
	worker := startOddWorker(t, &text)
	front, back := nodesBesideRawWorker(t, worker)
	calls := 0
	check := func(answer testheads.Answer, method string, node *testNode) {
		calls++
		text.Store(answer.Text)
		var got string
		var report CallReport
		worker.untilArrived(t, func() {
			got = rawCall(t, node, method+" /file/1", fmt.Sprintf("X-Id: id-%d\r\n", calls))
			report = <-node.reports
		})
		if !strings.HasPrefix(got, "HTTP/1.1 502 ") || strings.Contains(got, "X-Stamp") || strings.Contains(strings.ToLower(got), "odd") {
			t.Errorf("%s, %s at %s: %.200q", answer.Name, method, node.plane.config.Node, got)
		}
		if report.Outcome != outcome.Unknown {
			t.Errorf("%s, %s at %s: %v, %v", answer.Name, method, node.plane.config.Node, report.Outcome, report.Reason)
		}
	}
	for _, answer := range testheads.Taken(oddFields, "odd") {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			check(answer, method, front)
			check(answer, method, back)
		}
	}
	methods, nodes := []string{http.MethodGet, http.MethodPost}, []*testNode{front, back}
	for i, answer := range testheads.Answers(oddFields, "odd") {
		check(answer, methods[i%2], nodes[i/2%2])
	}
	if got := worker.arrivals.Load(); got != int64(calls) {
		t.Errorf("%d of %d calls arrived", got, calls)
	}
	checkNothingIsHeld(t, front, back)
}

// TestNothingOfAnOddHeadIsBelieved guards against a mark of refusal, or a limit, in a head that is not HTTP.
func TestNothingOfAnOddHeadIsBelieved(t *testing.T) {
	var text atomic.Value
	worker := startOddWorker(t, &text)
	front, back := nodesBesideRawWorker(t, worker)
	for i, line := range []string{"X-Odd : 1", "X-Odd: a\r\n b"} {
		text.Store("HTTP/1.1 503 Service Unavailable\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n" + line + "\r\n\r\n")
		for _, node := range []*testNode{front, back} {
			var got string
			worker.untilArrived(t, func() {
				got = rawCall(t, node, "POST /file/1", fmt.Sprintf("X-Id: %s-%d\r\n", node.plane.config.Node, i))
				if report := <-node.reports; node == back && (report.Reason != outcome.InvalidAnswer || !strings.Contains(fmt.Sprint(report.Cause), "invalid_answer")) {
					t.Errorf("%q: %v, %v", line, report.Reason, report.Cause)
				}
			})
			if !strings.HasPrefix(got, "HTTP/1.1 502 ") {
				t.Errorf("%q at %s: %.200q", line, node.plane.config.Node, got)
			}
		}
	}
}

// TestAnswerOfANodeWithAnOddHeadIsNotPassedOn guards against the same in the answers between nodes.
func TestAnswerOfANodeWithAnOddHeadIsNotPassedOn(t *testing.T) {
	var text atomic.Value
	other := startOddWorker(t, &text)
	front := startNode(t, "front", "desk", nil)
	configure(t, ledgerRoutes, front)
	front.table.Merge([]fleet.Node{{
		ID: "back", Incarnation: 1, Zone: "z", CallAddress: netip.MustParseAddrPort(other.listener.Addr().String()), State: fleet.StateLive,
		Workers: []workers.Worker{{Instance: "w-back", Service: "ledger", Slots: 4, State: workers.StateReady}},
	}})
	fields := oddFields + "Levertide-Hop-Load: 1,0,4,0,0,0,0\r\n"
	answers := testheads.Taken(fields, "odd")
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		answers = append(answers, testheads.WithStatus(status, fields, "odd"))
	}
	for i, answer := range answers {
		text.Store(answer.Text)
		got := rawCall(t, front, "POST /file/1", fmt.Sprintf("X-Id: id-%d\r\n", i))
		if !strings.HasPrefix(got, "HTTP/1.1 502 ") || strings.Contains(strings.ToLower(got), "odd") {
			t.Errorf("%s: %.200q", answer.Name, got)
		}
	}
	checkNothingIsHeld(t, front)
}
