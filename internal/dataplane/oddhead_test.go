package dataplane

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/levertide/levertide/internal/testheads"
	"github.com/levertide/levertide/pkg/outcome"
)

// rawReply makes a call on a connection of its own and returns all that comes back, and whether it looks whole.
func (n *testNode) rawReply(t *testing.T, method string) (got string, whole bool) {
	t.Helper()
	conn, err := net.Dial("tcp", n.callers.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, method+" /never HTTP/1.1\r\nHost: "+testHost+"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	raw, err := io.ReadAll(conn)
	if err != nil {
		return string(raw), false
	}
	reader := bufio.NewReader(strings.NewReader(string(raw)))
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return string(raw), false
		}
		if response.StatusCode >= http.StatusOK {
			_, err = io.Copy(io.Discard, response.Body)
			return string(raw), err == nil
		}
	}
}

// checkOddHead checks that nothing of an answer is passed on as a whole answer: one with a length, or a trailer, has begun by then.
func checkOddHead(t *testing.T, node *testNode, answer testheads.Answer, method string) {
	t.Helper()
	got, whole := node.rawReply(t, method)
	trailer := strings.HasSuffix(answer.Name, "trailer")
	refused := strings.Contains(got, "HTTP/1.1 502 ") && !strings.Contains(got, "X-Stamp") && !strings.Contains(strings.ToLower(got), "odd")
	if !refused && (whole || !trailer || strings.Contains(got, ": odd")) {
		t.Errorf("%s, %s: %.300q", answer.Name, method, got)
	}
}

// TestAnswerWithAnOddHeadIsNotPassedOn guards against a worker's answer with names of fields that no field has, or folded lines.
func TestAnswerWithAnOddHeadIsNotPassedOn(t *testing.T) {
	var text atomic.Value
	worker := testheads.Serve(t, func(*http.Request) string { return text.Load().(string) })
	m := newMesh(t)
	back := m.addWorker("a", worker)
	methods, nodes := []string{http.MethodGet, http.MethodPost}, []*testNode{m.entry, back}
	for i, answer := range testheads.Answers("X-Stamp: w\r\n", "odd") {
		text.Store(answer.Text)
		checkOddHead(t, nodes[i/2%2], answer, methods[i%2])
	}
	for _, answer := range testheads.Taken("X-Stamp: w\r\n", "odd") {
		text.Store(answer.Text)
		for _, node := range nodes {
			for _, method := range methods {
				checkOddHead(t, node, answer, method)
			}
		}
	}
}

// TestNothingOfAnOddHeadIsBelieved guards against a refusal by a worker in a head that is not HTTP.
func TestNothingOfAnOddHeadIsBelieved(t *testing.T) {
	for _, line := range []string{"X-Odd : 1", "X-Odd: a\r\n b"} {
		worker := testheads.Serve(t, func(*http.Request) string {
			return "HTTP/1.1 503 Service Unavailable\r\nLevertide-Outcome: not-run\r\nLevertide-Reason: overloaded\r\nContent-Length: 0\r\n" + line + "\r\n\r\n"
		})
		m := newMesh(t)
		back := m.addWorker("a", worker)
		for _, node := range []*testNode{m.entry, back} {
			got, _ := node.rawReply(t, http.MethodPost)
			if !strings.HasPrefix(got, "HTTP/1.1 502 ") || !strings.Contains(got, string(outcome.InvalidAnswer)) {
				t.Errorf("%q: %.300q", line, got)
			}
		}
	}
}

// TestAnswerOfANodeWithAnOddHeadIsNotPassedOn guards against the same in the answers between nodes.
func TestAnswerOfANodeWithAnOddHeadIsNotPassedOn(t *testing.T) {
	checkOddNode(t, newMesh(t), testheads.Serve)
}

// TestEncryptedAnswerOfANodeWithAnOddHeadIsNotPassedOn guards against the same over TLS.
func TestEncryptedAnswerOfANodeWithAnOddHeadIsNotPassedOn(t *testing.T) {
	m := newMesh(t, func(c *Config) { c.PeerTLS = &tls.Config{InsecureSkipVerify: true} })
	checkOddNode(t, m, func(t testing.TB, answer func(*http.Request) string) string {
		return testheads.ServeTLS(t, answer).Listener.Addr().String()
	})
}

// checkOddNode checks that a node passes on no odd answer of another one.
func checkOddNode(t *testing.T, m *mesh, serve func(testing.TB, func(*http.Request) string) string) {
	t.Helper()
	const fields = "X-Stamp: w\r\nLevertide-Load: 1\r\n"
	answers := testheads.Taken(fields, "odd")
	for _, status := range testheads.Statuses() {
		answers = append(answers, testheads.WithStatus(status, fields, "odd"))
	}
	var text atomic.Value
	m.join("a", serve(t, func(*http.Request) string { return text.Load().(string) }))
	for _, answer := range answers {
		text.Store(answer.Text)
		checkOddHead(t, m.entry, answer, http.MethodPost)
	}
}
