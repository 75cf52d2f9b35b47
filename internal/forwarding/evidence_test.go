package forwarding

import (
	"net/http"
	"testing"
)

// TestReportSaysWhoRefused guards against refusals of which the log does not tell who decided them,
// and by what.
func TestReportSaysWhoRefused(t *testing.T) {
	refuse := func(status int, mark string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if mark != "" {
				w.Header().Set("X-Not-Run", mark)
			}
			w.WriteHeader(status)
		}
	}
	marked, misdirected := refuse(http.StatusServiceUnavailable, "1"), refuse(http.StatusMisdirectedRequest, "")
	for name, c := range map[string]struct {
		beside bool
		answer http.HandlerFunc
		stop   bool
		want   decision
	}{
		"worker beside the node":     {true, marked, false, decision{"w-back", WorkerMarked}},
		"worker by its status":       {true, misdirected, false, decision{"w-back", WorkerMisdirected}},
		"worker beside another node": {false, marked, false, decision{"w-back", NodeReported}},
		"another node, that leaves":  {false, marked, true, decision{"back", NodeReported}},
		"this node, that leaves":     {true, marked, true, decision{"back", NothingSent}},
	} {
		t.Run(name, func(t *testing.T) {
			front, back, worker := twoNodes(t)
			worker.answer(c.answer)
			if c.stop {
				back.plane.Stop()
			}
			node := front
			if c.beside {
				node = back
			}
			if status, _, _ := post(t, node, "/file/1", "vat"); status != http.StatusServiceUnavailable {
				t.Fatalf("status %d", status)
			}
			report := <-node.reports
			if got := (decision{report.RefusedBy, report.Evidence}); got != c.want {
				t.Errorf("decided by %+v, want %+v", got, c.want)
			}
		})
	}
}
