package forwarding

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// cutForm is an answer that a worker breaks off.
type cutForm struct {
	// head and body are what the worker writes; %s stands for the id of the request.
	head, body string
	// want is the body that the caller has to get.
	want string
	// ends is set when the end of the connection marks the end of the answer.
	ends bool
}

const (
	// maximumCutRefusals bounds how often a call is made that does not arrive: a worker whose
	// connections end gets no calls for a moment.
	maximumCutRefusals = 40

	cutBody   = "the whole of the body, and nothing else"
	idAndMark = "X-Id: %s\r\nX-Stamp: w\r\n"
	cutChunks = "5\r\nthe w\r\n1a;note=x\r\nhole of the body, and noth\r\n8\r\ning else\r\n0\r\n"
)

// cutForms are answers with each kind of end.
var cutForms = map[string]cutForm{
	"length":           {head: "HTTP/1.1 200 OK\r\n" + idAndMark + "Content-Length: 39\r\n\r\n", body: cutBody, want: cutBody},
	"length first":     {head: "HTTP/1.1 200 OK\r\nContent-Length: 39\r\n" + idAndMark + "\r\n", body: cutBody, want: cutBody},
	"two lengths":      {head: "HTTP/1.1 200 OK\r\nContent-Length: 39\r\n" + idAndMark + "Content-Length: 39\r\n\r\n", body: cutBody, want: cutBody},
	"bare line feeds":  {head: "HTTP/1.1 200 OK\nX-Id: %s\nX-Stamp: w\nContent-Length: 39\n\n", body: cutBody, want: cutBody},
	"folded":           {head: "HTTP/1.1 200 OK\r\n" + idAndMark + "X-Long: a\r\n  b\r\n\tc\r\nContent-Length: 39\r\n\r\n", body: cutBody, want: "never"},
	"empty":            {head: "HTTP/1.1 200 OK\r\n" + idAndMark + "Content-Length: 0\r\n\r\n"},
	"chunks":           {head: "HTTP/1.1 200 OK\r\n" + idAndMark + "Transfer-Encoding: chunked\r\n\r\n", body: cutChunks + "\r\n", want: cutBody},
	"trailer":          {head: "HTTP/1.1 200 OK\r\n" + idAndMark + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n", body: cutChunks + "X-Sum: 1\r\nX-Other: 2\r\n\r\n", want: cutBody},
	"after 100":        {head: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + idAndMark + "Content-Length: 39\r\n\r\n", body: cutBody, want: cutBody},
	"after 102":        {head: "HTTP/1.1 102 Processing\r\n" + idAndMark + "\r\nHTTP/1.1 200 OK\r\n" + idAndMark + "Content-Length: 39\r\n\r\n", body: cutBody, want: cutBody},
	"after 103":        {head: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n" + idAndMark + "Content-Length: 39\r\n\r\nHTTP/1.1 200 OK\r\n" + idAndMark + "Transfer-Encoding: chunked\r\n\r\n", body: cutChunks + "\r\n", want: cutBody},
	"no content":       {head: "HTTP/1.1 204 No Content\r\n" + idAndMark + "\r\n"},
	"old with length":  {head: "HTTP/1.0 200 OK\r\n" + idAndMark + "Content-Length: 39\r\n\r\n", body: cutBody, want: cutBody},
	"old until end":    {head: "HTTP/1.0 200 OK\r\n" + idAndMark + "\r\n", body: cutBody, want: cutBody, ends: true},
	"until end":        {head: "HTTP/1.1 200 OK\r\nConnection: close\r\n" + idAndMark + "\r\n", body: cutBody, want: cutBody, ends: true},
	"streamed":         {head: "HTTP/1.1 200 OK\r\n" + idAndMark + "Transfer-Encoding: chunked\r\n\r\n", body: longChunks(), want: longBody},
	"long":             {head: "HTTP/1.1 200 OK\r\n" + idAndMark + "Content-Length: " + strconv.Itoa(len(longBody)) + "\r\n\r\n", body: longBody, want: longBody},
	"long until end":   {head: "HTTP/1.1 200 OK\r\n" + idAndMark + "\r\n", body: longBody, want: longBody, ends: true},
	"failure":          {head: "HTTP/1.1 500 Internal Server Error\r\n" + idAndMark + "Content-Length: 39\r\n\r\n", body: cutBody, want: cutBody},
	"no header at all": {head: "HTTP/1.1 200 OK\r\n\r\n", body: cutBody, want: "never"},
}

// longBody is longer than what a node buffers of an answer.
var longBody = strings.Repeat("0123456789abcdef", bufferedAnswer/16) + cutBody

func longChunks() string {
	const size = 32 << 10
	var b strings.Builder
	for rest := longBody; rest != ""; {
		part := rest[:min(size, len(rest))]
		rest = rest[len(part):]
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
	}
	return b.String() + "0\r\n\r\n"
}

// cuts returns after how many bytes an answer is cut: after each one, but for those far from an
// end within a long body.
func (f cutForm) cuts(id string) []int {
	const near = 80
	head, all := len(f.written(id))-len(f.body), len(f.written(id))
	var cuts []int
	for k := range all + 1 {
		if k < head+near || k > all-near || len(f.body) < 8*near {
			cuts = append(cuts, k)
		}
	}
	return cuts
}

func (f cutForm) written(id string) string { return strings.ReplaceAll(f.head, "%s", id) + f.body }

// cuttingWorker breaks off the answers that it is told by the paths of requests, and where:
// /read/cut/FORM/BYTES/END.
type cuttingWorker struct {
	*rawWorker
	// arrived has the ids of the requests that have arrived.
	arrived sync.Map
}

func startCuttingWorker(t testing.TB) *cuttingWorker {
	w := &cuttingWorker{}
	w.rawWorker = startRawWorker(t, func(r rawRequest) {
		w.arrived.Store(r.id, true)
		parts := strings.Split(r.URL.Path, "/")
		if parts[2] != "cut" {
			r.respond(http.StatusOK, "X-Stamp: w\r\n", "other")
			return
		}
		bytes, _ := strconv.Atoi(parts[4])
		_, _ = io.WriteString(r.conn, cutForms[parts[3]].written(r.id)[:bytes])
		if parts[5] == "reset" {
			reset(r.conn)
		}
		_ = r.conn.Close()
	})
	return w
}

// cutCall is one call whose answer is cut.
type cutCall struct {
	form          string
	bytes         int
	end           string
	method, route string
	version       string
	id            string
}

func (c cutCall) String() string {
	return fmt.Sprintf("%s of %q, HTTP/%s, cut after %d bytes by %s, on %s", c.method, c.form, c.version, c.bytes, c.end, c.route)
}

// write sends the call and another one behind it on the same connection.
func (c cutCall) write(w io.Writer) {
	const other = "GET /read/other HTTP/1.1\r\nHost: mesh.example\r\nX-Id: other-%s\r\nX-Timeout: 4000\r\nConnection: close\r\n\r\n"
	path := strings.ReplaceAll(fmt.Sprintf("%scut/%s/%d/%s", c.route, c.form, c.bytes, c.end), " ", "%20")
	head := fmt.Sprintf("%s %s HTTP/%s\r\nHost: mesh.example\r\nX-Id: %s\r\nX-Timeout: 4000\r\nContent-Length: 0\r\n\r\n", c.method, path, c.version, c.id)
	if c.version == "1.1" {
		head += fmt.Sprintf(other, c.id)
	}
	_, _ = io.WriteString(w, head)
}

// errCutRefused is the result of a call that the node says has not run, errCutLost that of one whose answer
// would have been complete. A call that met a connection that the worker was closing may have either.
var (
	errCutRefused = errors.New("refused")
	errCutLost    = errors.New("a complete answer became a 502")
)

// ask makes the call and returns what is wrong with what the caller gets; nil when nothing is.
func (c cutCall) ask(node *testNode) error {
	conn, err := net.Dial("tcp", node.caller.Listener.Addr().String())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	c.write(conn)
	reader := bufio.NewReader(conn)
	status, id, body, err := readWhole(reader, c.method)
	if err != nil {
		return cutNotLate(err)
	}
	if status == http.StatusServiceUnavailable {
		return errCutRefused
	}
	if err := c.judge(status, id, body); err != nil {
		return err
	}
	if c.version != "1.1" {
		return nil
	}
	status, id, body, err = readWhole(reader, http.MethodGet)
	if err != nil {
		return fmt.Errorf("the next answer: %w", err)
	}
	if status == http.StatusBadGateway || status == http.StatusServiceUnavailable {
		return nil // it met a connection that the worker was closing, or a pause after that
	}
	if status != http.StatusOK || id != "other-"+c.id || body != "other" {
		return fmt.Errorf("the next answer: %d for %s: %.80q", status, id, body)
	}
	if rest, _ := io.ReadAll(reader); len(rest) > 0 {
		return fmt.Errorf("bytes behind the last answer: %.80q", rest)
	}
	return nil
}

// cutNotLate passes over the end of a connection within an answer, not over a caller that waits.
func cutNotLate(err error) error {
	var failed net.Error
	if errors.As(err, &failed) && failed.Timeout() {
		return err
	}
	return nil
}

// readWhole reads one answer; an error means that it does not look whole.
func readWhole(reader *bufio.Reader, method string) (status int, id, body string, err error) {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return 0, "", "", err
	}
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get("X-Id"), string(content), err
}

// judge judges an answer that looks whole.
func (c cutCall) judge(status int, id, body string) error {
	form := cutForms[c.form]
	head, all := len(form.written(c.id))-len(form.body), len(form.written(c.id))
	bodyless := c.method == http.MethodHead
	complete := c.bytes == all || bodyless && c.bytes >= head
	// An answer that ends with its connection cannot be told from one that is cut in order.
	untold := form.ends && c.bytes >= head && c.end == "close"
	switch {
	case status == http.StatusBadGateway || status == http.StatusGatewayTimeout:
		// A reset may overtake an answer that was written completely.
		if complete && c.end == "close" && form.want != "never" {
			if status == http.StatusBadGateway {
				return errCutLost
			}
			return fmt.Errorf("a complete answer became a %d", status)
		}
		return nil
	case id != c.id:
		return fmt.Errorf("%d with the id %q", status, id)
	case bodyless && complete && body == "" && form.want != "never":
		return nil
	case untold && body == form.written(c.id)[head:c.bytes]:
		return nil
	case complete && !(form.ends && c.end == "reset") && body == form.want:
		return nil
	}
	return fmt.Errorf("%d with %d bytes that looks whole: %.80q", status, len(body), body)
}

// ask makes a call until it has arrived at the worker, and judges what the caller gets.
func (w *cuttingWorker) ask(t *testing.T, node *testNode, call cutCall, calls *atomic.Int64) {
	t.Helper()
	for range maximumCutRefusals {
		call.id = fmt.Sprintf("id-%09d", calls.Add(1))
		err := call.ask(node)
		_, arrived := w.arrived.Load(call.id)
		if !arrived && (err == errCutRefused || err == errCutLost) {
			time.Sleep(unreachablePause / 2)
			continue
		}
		if err != nil {
			t.Errorf("%v: %v", call, err)
		}
		return
	}
	t.Errorf("%v: refused %d times", call, maximumCutRefusals)
}

// TestAnswerThatIsCutAtAnyByteIsNotTakenForWhole guards against a success with an empty or a short
// body, framed as whole, where a worker stops within its answer.
func TestAnswerThatIsCutAtAnyByteIsNotTakenForWhole(t *testing.T) {
	worker := startCuttingWorker(t)
	front, back := nodesBesideRawWorker(t, worker.rawWorker)
	configure(t, []routeSpec{
		{prefix: "/read/", service: "ledger", safe: true, timeout: 10 * time.Second, attempts: 1},
		{prefix: "/file/", service: "ledger", timeout: 10 * time.Second, attempts: 1},
	}, front, back)
	ways := []struct{ method, route, version string }{
		{http.MethodGet, "/read/", "1.1"}, {http.MethodPost, "/file/", "1.1"}, {http.MethodHead, "/read/", "1.1"}, {http.MethodGet, "/read/", "1.0"},
	}
	ends := []string{"close", "reset"}
	var calls atomic.Int64
	t.Run("forms", func(t *testing.T) {
		for name, form := range cutForms {
			for place, node := range []*testNode{front, back} {
				t.Run(name+" at "+node.plane.config.Node, func(t *testing.T) {
					t.Parallel()
					for i, k := range form.cuts("id-123456789") {
						way := ways[i/2%len(ways)]
						call := cutCall{form: name, bytes: k, end: ends[(i+place)%len(ends)], method: way.method, route: way.route, version: way.version}
						worker.ask(t, node, call, &calls)
					}
				})
			}
		}
	})
	checkNothingIsHeld(t, front, back)
}
