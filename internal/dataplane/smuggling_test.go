package dataplane

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// ambiguousRequests are heads and bodies in which a server that determines the
// length in another way finds a second request.
var ambiguousRequests = map[string]string{
	"both lengths":       "Content-Length: 60\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: books.example\r\n\r\n",
	"two lengths":        "Content-Length: 0\r\nContent-Length: 52\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: books.example\r\n\r\n",
	"length list":        "Content-Length: 0, 52\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: books.example\r\n\r\n",
	"signed length":      "Content-Length: +0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: books.example\r\n\r\n",
	"folded coding":      "Content-Length: 5\r\nTransfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: books.example\r\n\r\n",
	"space before colon": "Content-Length: 5\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: books.example\r\n\r\n",
	"unknown coding":     "Content-Length: 5\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: books.example\r\n\r\n",
	"bad chunk size":     "Transfer-Encoding: chunked\r\n\r\n0x0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: books.example\r\n\r\n",
}

// headRecorder is a worker that records the heads it was sent, byte for byte.
type headRecorder struct {
	mutex sync.Mutex
	heads []string
}

func (h *headRecorder) serve(_ *rawWorker, conn net.Conn) {
	var head strings.Builder
	request, err := http.ReadRequest(bufio.NewReader(io.TeeReader(conn, &head)))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	h.mutex.Lock()
	h.heads = append(h.heads, head.String())
	h.mutex.Unlock()
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
}

// Whatever the caller's framing, a worker must receive requests with one length
// only: net/http refuses a framing or reads it in one way, and the node frames the
// request anew.
func TestAmbiguousFramingDoesNotReachTheWorker(t *testing.T) {
	for name, rest := range ambiguousRequests {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t)
			recorder := &headRecorder{}
			m.addWorker("a", newRawWorker(t, recorder.serve).address())
			conn, err := net.Dial("tcp", m.entry.callers.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "POST /never HTTP/1.1\r\nHost: books.example\r\n"+rest)
			_ = conn.(*net.TCPConn).CloseWrite()
			if _, err := io.Copy(io.Discard, conn); err != nil {
				t.Fatal(err)
			}
			recorder.check(t)
		})
	}
}

func (h *headRecorder) check(t *testing.T) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, sent := range h.heads {
		head, _, _ := strings.Cut(strings.ToLower(sent), "\r\n\r\n")
		lengths := strings.Count(head, "\r\ncontent-length:") + strings.Count(head, "\r\ntransfer-encoding:")
		if lengths > 1 {
			t.Errorf("the worker was sent more than one length:\n%s", head)
		}
		if strings.HasPrefix(head, "post /never") && strings.Contains(sent, "smuggled") {
			t.Errorf("the worker was sent a request inside another:\n%s", sent)
		}
	}
}
