package dataplane

import (
	"net/http"
	"testing"
)

// A repeatable request whose first attempt may have run must not be reported as
// not-run when a later attempt is refused.
func TestNotRunIsNotReportedAfterAnAttemptThatMayHaveRun(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nLevertide-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
	m := newMesh(t)
	worker := m.addRaw(breaking(refusal, func(_ int, inAll int64) bool { return inAll == 1 }), "a", "b")
	m.call("POST", "/always", "x").expect(t, http.StatusBadGateway, "unknown")
	if got := worker.requests.Load(); got != 2 {
		t.Errorf("%d attempts were made, want 2", got)
	}
}
