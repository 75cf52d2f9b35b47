package dataplane

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// cutBody is the body of the answers that are broken off.
const cutBody = "the whole of the body, and nothing else"

// cutForms are answers of a worker: heads with a length, chunks, interim answers.
var cutForms = map[string]string{
	"length":          "HTTP/1.1 200 OK\r\nX-Stamp: w\r\nContent-Length: 39\r\n\r\n" + cutBody,
	"bare line feeds": "HTTP/1.1 200 OK\nX-Stamp: w\nContent-Length: 39\n\n" + cutBody,
	"chunks":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nthe w\r\n1a;note=x\r\nhole of the body, and noth\r\n8\r\ning else\r\n0\r\n\r\n",
	"trailer":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n27\r\n" + cutBody + "\r\n0\r\nX-Sum: 1\r\nX-Other: 2\r\n\r\n",
	"interim":         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 39\r\n\r\n" + cutBody,
	"old":             "HTTP/1.0 200 OK\r\nContent-Length: 39\r\n\r\n" + cutBody,
	"old until end":   "HTTP/1.0 200 OK\r\n\r\n" + cutBody,
	"until end":       "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + cutBody,
}

// TestAnswerThatIsCutAtAnyByteIsNotTakenForWhole guards against a success with an empty or a short
// body, framed as whole, where a worker stops within its answer.
func TestAnswerThatIsCutAtAnyByteIsNotTakenForWhole(t *testing.T) {
	m := newMesh(t)
	m.addRaw(func(_ *rawWorker, conn net.Conn) {
		lines := bufio.NewReader(conn)
		request, err := readRequest(lines)
		if err != nil {
			return
		}
		var k int
		_, _ = fmt.Sscan(request.Header.Get("X-Bytes"), &k)
		_, _ = io.WriteString(conn, cutForms[request.Header.Get("X-Form")][:k])
		if tcp, ok := conn.(*net.TCPConn); ok && request.Header.Get("X-End") == "reset" {
			_ = tcp.SetLinger(0)
		}
	}, "a")
	ways := []struct{ method, path, body string }{{http.MethodGet, "/never", ""}, {http.MethodPost, "/never", "vat"}, {http.MethodHead, "/never", ""}}
	for name, form := range cutForms {
		for k := range len(form) + 1 {
			for j, end := range []string{"close", "reset"} {
				way := ways[(k+j)%len(ways)]
				got := m.call(way.method, way.path, way.body, "X-Form", name, "X-Bytes", fmt.Sprint(k), "X-End", end)
				whole := way.method == http.MethodHead && got.body == "" && k >= len(form)-len(cutBody) || k == len(form) && got.body == cutBody
				switch {
				case got.err != nil || got.status == http.StatusBadGateway || got.status == http.StatusGatewayTimeout:
					if k == len(form) && end == "close" && !strings.HasSuffix(name, "until end") {
						t.Errorf("%s of %q: %d, %v for a whole answer", way.method, name, got.status, got.err)
					}
				case got.status != http.StatusOK || !whole && !(way.method == http.MethodHead && strings.Contains(form[:k], "\r\n\r\n")):
					t.Errorf("%s of %q cut after %d bytes by %s: %d %q", way.method, name, k, end, got.status, got.body)
				}
			}
		}
	}
}

// TestAnswerThatIsNoFinalOneIsNotPassedOn guards against answers with a status that no final answer
// has: the caller would get bytes that are no HTTP, or take the connection for another protocol's.
func TestAnswerThatIsNoFinalOneIsNotPassedOn(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000", "HTTP/1.1 042", "HTTP/1.1 099", "HTTP/1.1 101", "HTTP/1.1 600", "HTTP/1.1 999", "HTTP/2.0 200"} {
		t.Run(line, func(t *testing.T) {
			m := newMesh(t)
			m.addRaw(answerOnce(line+" Odd\r\nX-Stamp: w\r\nContent-Length: 3\r\n\r\nodd"), "a")
			for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
				got := m.call(method, "/never", "")
				if got.err != nil || got.status != http.StatusBadGateway || got.header.Get("X-Stamp") != "" {
					t.Errorf("%s: %d %v, %v", method, got.status, got.header, got.err)
				}
			}
		})
	}
}

// TestAnswerThatEndsWithItsConnectionIsRefusedWithAnUpload guards against the whole 200 of a part where a
// worker answers an upload at once and ends the connection within it, beside the caller's node and beside
// another.
func TestAnswerThatEndsWithItsConnectionIsRefusedWithAnUpload(t *testing.T) {
	const part = 20_000
	heads := []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n"}
	for _, place := range []string{"beside the caller's node", "beside another"} {
		t.Run(place, func(t *testing.T) {
			m := newMesh(t)
			raw := func(_ *rawWorker, conn net.Conn) {
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				var head int
				_, _ = fmt.Sscan(request.Header.Get("X-Head"), &head)
				_, _ = io.WriteString(conn, heads[head]+strings.Repeat("p", part))
				if request.Header.Get("X-End") == "reset" {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			}
			m.addRaw(raw, "b")
			if place == "beside the caller's node" {
				m.entry = m.addWorker("a", newRawWorker(t, raw).address())
			}
			for head := range heads {
				for _, end := range []string{"close", "reset"} {
					for _, upload := range []int{300 << 10, 2 << 20, 8 << 20} {
						got := m.call(http.MethodPost, "/never", strings.Repeat("u", upload), "X-Head", fmt.Sprint(head), "X-End", end)
						if got.status != http.StatusBadGateway {
							t.Errorf("%q by %s with %d bytes: %d with %d bytes, %v", heads[head], end, upload, got.status, len(got.body), got.err)
						}
					}
				}
			}
		})
	}
}
