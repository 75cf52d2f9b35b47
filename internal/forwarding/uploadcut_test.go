package forwarding

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// openHeads are heads of answers that end with their connection.
var openHeads = map[string]string{
	"1.1":       "HTTP/1.1 200 OK\r\n" + idAndMark + "\r\n",
	"1.1 close": "HTTP/1.1 200 OK\r\nConnection: close\r\n" + idAndMark + "\r\n",
	"1.0":       "HTTP/1.0 200 OK\r\n" + idAndMark + "\r\n",
}

// uploadPlay is one upload whose worker answers at once.
type uploadPlay struct {
	head   string
	upload int
	// chunked is set when the length of the upload is not announced.
	chunked bool
	part    int
	pause   time.Duration
	// end is "reset", "close" with the upload unread, "read" to its end before a close, or "half" closed
	// before the upload is read.
	end string
}

// The bounds of what is drawn, in bytes.
const (
	shortestUpload, longestUpload = 300 << 10, 8 << 20
	longestPart                   = 70_000
	longestPause                  = 200 * time.Millisecond
)

func drawUpload(random *rand.Rand, head, end string) uploadPlay {
	return uploadPlay{
		head: head, end: end,
		upload:  shortestUpload + random.IntN(longestUpload-shortestUpload),
		chunked: random.IntN(4) == 0,
		part:    random.IntN(longestPart),
		pause:   time.Duration(random.Int64N(int64(longestPause))),
	}
}

// path tells the worker what to play.
func (p uploadPlay) path() string {
	return strings.ReplaceAll(fmt.Sprintf("/file/%s/%d/%d/%s", p.head, p.part, p.pause.Microseconds(), p.end), " ", "-")
}

// startEarlyWorker starts a worker that answers each request as its path tells.
func startEarlyWorker(t testing.TB) *rawWorker {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	worker := &rawWorker{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go playUpload(conn.(*net.TCPConn), &worker.arrivals)
		}
	}()
	return worker
}

func playUpload(conn *net.TCPConn, arrivals *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	arrivals.Add(1)
	fields := strings.Split(request.URL.Path, "/")
	part, _ := strconv.Atoi(fields[3])
	pause, _ := strconv.Atoi(fields[4])
	head := openHeads[strings.ReplaceAll(fields[2], "-", " ")]
	_, _ = io.WriteString(conn, strings.ReplaceAll(head, "%s", request.Header.Get("X-Id")))
	_, _ = conn.Write(make([]byte, part))
	time.Sleep(time.Duration(pause) * time.Microsecond)
	switch fields[5] {
	case "reset":
		_ = conn.SetLinger(0)
	case "read":
		_, _ = io.Copy(io.Discard, request.Body)
	case "half":
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, request.Body)
	}
}

// uploadResult is what a caller gets of an upload.
type uploadResult struct {
	status int
	body   []byte
	// err is set when the answer has no end.
	err error
}

// play makes the call.
func (p uploadPlay) play(t testing.TB, node *testNode, version string) uploadResult {
	conn, err := net.Dial("tcp", node.caller.Listener.Addr().String())
	if err != nil {
		return uploadResult{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://mesh.example"+p.path(), bytes.NewReader(make([]byte, p.upload)))
	if err != nil {
		return uploadResult{err: err}
	}
	if p.chunked && version == "1.1" {
		r.ContentLength = -1
	}
	r.Header.Set("X-Id", "id-upload")
	r.Header.Set("X-Timeout", "8000")
	go func() { _ = r.Write(versionWriter{conn, version}) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		return uploadResult{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return uploadResult{status: response.StatusCode, body: body, err: err}
}

// versionWriter writes a request with another version of HTTP.
type versionWriter struct {
	conn    net.Conn
	version string
}

// Write implements io.Writer. The first line comes with the first write.
func (w versionWriter) Write(p []byte) (int, error) {
	if bytes.HasPrefix(p, []byte("POST ")) {
		p = bytes.Replace(p, []byte(" HTTP/1.1\r\n"), []byte(" HTTP/"+w.version+"\r\n"), 1)
	}
	return w.conn.Write(p)
}

// nodesBesideEarlyWorker starts a node without a worker and one beside a worker that answers uploads at
// once.
func nodesBesideEarlyWorker(t testing.TB) []*testNode {
	t.Helper()
	front, back := nodesBesideRawWorker(t, startEarlyWorker(t))
	configure(t, []routeSpec{{prefix: "/file/", service: "ledger", timeout: 10 * time.Second, attempts: 1}}, front, back)
	return []*testNode{front, back}
}

// TestPartOfAnAnswerIsNoWholeAnswerWhileItsUploadIsCut guards against the whole 200 of a part where a
// worker answers an upload at once and ends the connection within it.
func TestPartOfAnAnswerIsNoWholeAnswerWhileItsUploadIsCut(t *testing.T) {
	const plays = 144
	nodes := nodesBesideEarlyWorker(t)
	random := rand.New(rand.NewPCG(75, 1))
	heads, ends, versions := []string{"1.1", "1.1 close", "1.0"}, []string{"reset", "close"}, []string{"1.1", "1.0"}
	var whole, broken, refused atomic.Int64
	group := errgroup.Group{}
	group.SetLimit(4)
	for i := range plays {
		p := drawUpload(random, heads[i%3], ends[i/3%2])
		node, version := nodes[i/6%2], versions[i/12%2]
		group.Go(func() error {
			got := p.play(t, node, version)
			switch {
			case got.err == nil && got.status == http.StatusOK:
				whole.Add(1)
				t.Errorf("%+v on HTTP/%s at %s: a whole 200 with %d bytes", p, version, node.plane.config.Node, len(got.body))
			case got.status == http.StatusServiceUnavailable:
				refused.Add(1)
			default:
				broken.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait()
	t.Logf("%d plays: %d whole, %d not, %d refused", plays, whole.Load(), broken.Load(), refused.Load())
	if broken.Load() < plays/2 {
		t.Error("most plays did not reach the worker")
	}
	checkNothingIsHeld(t, nodes...)
}

// TestStreamedPartOfAnAnswerIsNotEndedAsWhole guards against the end of an answer whose beginning was
// passed on before its worker broke it off.
func TestStreamedPartOfAnAnswerIsNotEndedAsWhole(t *testing.T) {
	const plays = 96
	nodes := nodesBesideEarlyWorker(t)
	random := rand.New(rand.NewPCG(75, 2))
	group := errgroup.Group{}
	group.SetLimit(4)
	for i := range plays {
		p := drawUpload(random, []string{"1.1", "1.1 close", "1.0"}[i%3], []string{"reset", "close"}[i/3%2])
		p.part += bufferedAnswer
		node, version := nodes[i/6%2], []string{"1.1", "1.0"}[i/12%2]
		group.Go(func() error {
			if got := p.play(t, node, version); got.err == nil && got.status == http.StatusOK {
				t.Errorf("%+v on HTTP/%s at %s: a whole 200 with %d bytes", p, version, node.plane.config.Node, len(got.body))
			}
			return nil
		})
	}
	_ = group.Wait()
	checkNothingIsHeld(t, nodes...)
}

// TestAnswerThatEndsWithItsConnectionIsWholeOnceTheUploadIsTaken guards against a whole answer that is
// lost or hangs, for bodies of all sizes around the buffers between the node and its worker.
func TestAnswerThatEndsWithItsConnectionIsWholeOnceTheUploadIsTaken(t *testing.T) {
	nodes := nodesBesideEarlyWorker(t)
	group := errgroup.Group{}
	group.SetLimit(4)
	i := 0
	for _, upload := range uploadSizes() {
		for _, end := range []string{"read", "half"} {
			i++
			p := uploadPlay{head: []string{"1.1", "1.1 close", "1.0"}[i%3], upload: upload, chunked: i%5 < 2, part: i * 977 % longestPart, end: end}
			node := nodes[i/2%2]
			group.Go(func() error {
				if got := p.play(t, node, "1.1"); got.err != nil || got.status != http.StatusOK || len(got.body) != p.part {
					t.Errorf("%+v at %s: %d, %d bytes, %v", p, node.plane.config.Node, got.status, len(got.body), got.err)
				}
				return nil
			})
		}
	}
	_ = group.Wait()
	checkNothingIsHeld(t, nodes...)
}

// uploadSizes returns sizes around those at which a request is written in another number of parts.
func uploadSizes() []int {
	sizes := []int{0, 1, 2, 3 << 20, longestUpload}
	for _, edge := range []int{4096, 8192, 32 << 10, expectContinueBody, bufferedBody} {
		for _, near := range []int{-400, -300, -1, 0, 1} {
			sizes = append(sizes, edge+near)
		}
	}
	// With the head before it, the body ends at each place around the end of the transport's buffer.
	for size := 3500; size < 4096; size += 7 {
		sizes = append(sizes, size)
	}
	return sizes
}

// TestAnswerWithAnEndOfItsOwnIsWholeThoughItsUploadIsCut guards against the loss of answers that announce
// their length, or end with a last chunk, when their worker reads no more of the upload.
func TestAnswerWithAnEndOfItsOwnIsWholeThoughItsUploadIsCut(t *testing.T) {
	bodies := map[string]string{"length": "Content-Length: 5\r\n\r\nwhole", "chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"}
	for name, body := range bodies {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			answered := make(chan struct{})
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%s", request.Header.Get("X-Id"), body)
				<-answered
				_ = conn.Close()
			}()
			node := startNode(t, "front", "ledger", nil)
			node.register(t, "w", "ledger", listener.Addr().String())
			configure(t, ledgerRoutes, node)
			got := uploadPlay{head: "1.1", upload: longestUpload, end: "close"}.play(t, node, "1.1")
			close(answered)
			if got.err != nil || got.status != http.StatusOK || string(got.body) != "whole" {
				t.Errorf("%d %q, %v", got.status, got.body, got.err)
			}
		})
	}
}
