package dataplane

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// A repeatable request whose first attempt may have run is not reported as
// not-run because a later attempt was refused.
func TestNotRunIsNotSaidAfterAnAttemptThatMayHaveRun(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nLevertide-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
	m := newMesh(t)
	worker := newRawWorker(t, func(worker *rawWorker, conn net.Conn) {
		lines := bufio.NewReader(conn)
		for {
			if _, err := readRequest(lines); err != nil {
				return
			}
			if worker.requests.Add(1) == 1 {
				return
			}
			_, _ = io.WriteString(conn, refusal)
		}
	})
	m.addWorker("a", worker.address())
	m.addWorker("b", worker.address())
	m.call("POST", "/always", "x").expect(t, http.StatusBadGateway, "unknown")
	if got := worker.requests.Load(); got != 2 {
		t.Errorf("%d attempts were made, want 2", got)
	}
}
