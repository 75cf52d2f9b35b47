package forwarding

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// TestOldCallerIsBegunNoAnswerAmidItsUpload guards against an answer to an HTTP/1.0 caller that is broken
// off where only the caller's own writing is told.
func TestOldCallerIsBegunNoAnswerAmidItsUpload(t *testing.T) {
	const upload, pause = 4 << 20, 300 * time.Millisecond
	cut := make(chan struct{})
	listener := startResettingWorker(t, cut)
	front, back := startNode(t, "front", "ledger", nil), startNode(t, "back", "ledger", nil)
	back.register(t, "w-raw", "ledger", listener.Addr().String())
	exchangeRecords(front, back)
	configure(t, []routeSpec{{prefix: "/file/", service: "ledger", timeout: testTimeout, attempts: 1}}, front, back)
	conn, err := net.Dial("tcp", back.caller.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST /file/1 HTTP/1.0\r\nHost: mesh.example\r\nX-Id: id-upload\r\nX-Timeout: 20000\r\nContent-Length: %d\r\n\r\n", upload)
	if _, err := conn.Write(make([]byte, upload/2)); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(pause))
	if n, err := conn.Read(make([]byte, 1)); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("%d bytes of an answer amid the upload, %v", n, err)
	}
	close(cut)
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	go func() { _, _ = conn.Write(make([]byte, upload/2)) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusBadGateway {
		t.Errorf("status %d", response.StatusCode)
	}
}

// startResettingWorker starts a worker that answers each request at once, with a part that is longer than
// what a node holds, and resets its connection when cut is closed.
func startResettingWorker(t *testing.T, cut <-chan struct{}) net.Listener {
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
			go func() {
				defer func() { _ = conn.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, strings.ReplaceAll(openHeads["1.1"], "%s", request.Header.Get("X-Id")))
				_, _ = conn.Write(make([]byte, bufferedAnswer+longestPart))
				<-cut
				_ = conn.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return listener
}
