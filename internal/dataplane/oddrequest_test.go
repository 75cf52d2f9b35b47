package dataplane

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"golang.org/x/net/http/httpguts"

	"github.com/levertide/levertide/internal/testheads"
)

// TestRequestWithAnOddHeadReachesNoWorker guards against a request whose head the worker, or a node, reads in another way. RFC 9112
// lets a server join a folded line to the one before it.
func TestRequestWithAnOddHeadReachesNoWorker(t *testing.T) {
	m := newMesh(t)
	recorder := &headRecorder{}
	back := m.addWorker("a", newRawWorker(t, recorder.serve).address())
	for _, line := range testheads.RequestLines() {
		for _, node := range []*testNode{m.entry, back} {
			conn, err := net.Dial("tcp", node.callers.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(conn, "POST /never HTTP/1.1\r\nHost: "+testHost+"\r\nConnection: close\r\nX-A: a\r\n"+line+"\r\n\r\n")
			got, _ := io.ReadAll(conn)
			_ = conn.Close()
			if folded := strings.ContainsAny(line, "\n") || strings.ContainsAny(line[:1], " \t"); !folded && !strings.HasPrefix(string(got), "HTTP/1.1 400 ") {
				t.Errorf("%q: %.300q", line, got)
			}
		}
	}
	for _, head := range recorder.heads {
		lines := strings.Split(strings.TrimSuffix(head, "\r\n\r\n"), "\r\n")
		for _, line := range lines[1:] {
			if name, _, _ := strings.Cut(line, ":"); !httpguts.ValidHeaderFieldName(name) {
				t.Errorf("%q in %q", line, head)
			}
		}
	}
}

// TestOddTrailerOfARequestCostsNoWorker guards against a request that the transport refuses to send, as if its node could not be reached.
func TestOddTrailerOfARequestCostsNoWorker(t *testing.T) {
	m := newMesh(t)
	recorder := &headRecorder{}
	back := m.addWorker("a", newRawWorker(t, recorder.serve).address())
	for _, name := range []string{"X Odd", "X(Odd", "X-Odd\xff", "X-Even"} {
		for _, node := range []*testNode{m.entry, back} {
			conn, err := net.Dial("tcp", node.callers.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			body := strings.Repeat("x", 2*DefaultBufferedBody)
			_, _ = fmt.Fprintf(conn, "POST /never HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nTrailer: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", testHost, name, len(body), body)
			got, _ := io.ReadAll(conn)
			_ = conn.Close()
			if !strings.HasPrefix(string(got), "HTTP/1.1 200 ") {
				t.Errorf("%q: %.300q", name, got)
			}
		}
	}
	if strings.Contains(strings.Join(recorder.heads, ""), "Odd") {
		t.Error("the name reached the worker")
	}
}
