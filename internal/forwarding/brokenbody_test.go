package forwarding

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"
)

// sendRaw sends bytes to a node as a caller does, and returns the status of the answer; zero when the
// connection ends without one.
func sendRaw(t *testing.T, node *testNode, text string) int {
	t.Helper()
	target, err := url.Parse(node.caller.URL)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", target.Host)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	go func() { _, _ = io.WriteString(conn, text) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func chunkedUpload(path, chunks string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: mesh.example\r\nX-Id: id-1\r\nX-Timeout: 4000\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks
}

func chunks(count, size int) string {
	return strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)), count)
}

// TestBrokenBodyIsNoFailureOfAnotherNode has a caller break the encoding of a body that is being sent
// on: neither the node that receives it nor the worker has failed.
func TestBrokenBodyIsNoFailureOfAnotherNode(t *testing.T) {
	front, back, worker := twoNodes(t)
	worker.answer(readAll)
	status := sendRaw(t, front, chunkedUpload("/file/1", chunks(40, 32<<10)+"no chunk\r\n"))
	if status == http.StatusOK || PromisesNotRun(status) {
		t.Errorf("status %d", status)
	}
	if !front.plane.config.Contacts.Reachable(back.plane.config.Node) {
		t.Error("the other node counts as one that cannot be reached")
	}
	if load, ok := back.plane.localLoad("ledger"); !ok || load.Failing > 0 {
		t.Errorf("the worker counts as one that fails: %+v, %v", load, ok)
	}
}

// readAll answers once it has read the body.
func readAll(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "read")
}

// TestChunkedBodyIsBoundedToo has bodies without a length that are larger than the operators allow.
func TestChunkedBodyIsBoundedToo(t *testing.T) {
	front, _, worker := twoNodes(t)
	worker.answer(readAll)
	configuration := *front.config.Load()
	for _, limit := range []int64{4 << 10, bufferedBody, 2 << 20} {
		configuration.MaximumBody = limit
		bounded := configuration
		front.config.Store(&bounded)
		const size = 1 << 10
		fits := int(limit / size)
		if status := sendRaw(t, front, chunkedUpload("/file/1", chunks(fits, size)+"0\r\n\r\n")); status != http.StatusOK {
			t.Errorf("a body of %d bytes: status %d", limit, status)
		}
		ran := worker.calls.Load()
		if status := sendRaw(t, front, chunkedUpload("/file/1", chunks(fits, size)+"1\r\nx\r\n0\r\n\r\n")); status == http.StatusOK || PromisesNotRun(status) {
			t.Errorf("a body of %d bytes and one more: status %d", limit, status)
		}
		if limit < bufferedBody && worker.calls.Load() != ran {
			t.Error("the worker received a body that is too large")
		}
	}
}
