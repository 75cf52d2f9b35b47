package forwarding

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/model"
)

// startRoutes puts routes of which each takes the paths that begin with a text in force.
func startRoutes(t *testing.T, services map[string]string, nodes ...*testNode) {
	t.Helper()
	var resources []model.Resource
	declared := map[string]bool{}
	for start, service := range services {
		resources = append(resources, model.Resource{
			Key: model.Key{Kind: model.KindRoute, Name: "r" + start},
			Route: &model.Route{
				Match: model.Match{Host: "mesh.example", PathStart: start}, Service: service,
				Repeatable: model.RepeatNever, Timeout: 5 * time.Second, Attempts: 1,
			},
		})
		if !declared[service] {
			declared[service] = true
			resources = append(resources, model.Resource{Key: model.Key{Kind: model.KindService, Name: service}, Service: &model.Service{}})
		}
	}
	table := compileTable(t, 1, resources)
	for _, node := range nodes {
		node.config.Store(&Configuration{Table: table, MaximumBody: 8 << 20})
	}
}

// echoing starts a worker of a service that answers with the target that it was sent.
func echoing(t *testing.T, service string) *testWorker {
	t.Helper()
	worker := startWorker(t)
	worker.answer(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, service+" "+r.RequestURI) })
	return worker
}

// sendTarget sends a request with exactly the given target, which no HTTP client would for some, and
// returns the status and the body.
func sendTarget(t *testing.T, node *testNode, method, target string) (int, string) {
	t.Helper()
	conn, err := net.Dial("tcp", node.caller.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: mesh.example\r\nX-Id: id-1\r\nX-Timeout: 4000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", method, target)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

// TestRouteBeginsThePathAsSent guards against requests that are run by the service of a route which
// does not begin their path, and against paths that reach the worker changed. The worker of one
// service is beside the node that the requests start at, that of the other behind another node.
func TestRouteBeginsThePathAsSent(t *testing.T) {
	near := startNode(t, "a", "books", echoing(t, "books"))
	far := startNode(t, "b", "filing", echoing(t, "filing"))
	exchangeRecords(near, far)
	startRoutes(t, map[string]string{"/ledger/": "books", "/ledger/year/": "filing", "/x%2Fy/": "filing"}, near, far)
	for _, c := range []struct{ target, service string }{
		{"/ledger", ""},
		{"/ledger?a=/ledger/", ""},
		{"/ledger/", "books"},
		{"/ledger/year", "books"},
		{"/ledger/year?next=/ledger/year/", "books"},
		{"/ledger/year/", "filing"},
		{"/ledger/year/?", "filing"},
		{"/ledger/year/1?q=a%2Fb//c", "filing"},
		{"/ledger/years/", "books"},
		{"/ledger%2Fyear/", ""},
		{"/ledger/year%2F1", "books"},
		{"/ledger/ye%61r/1", "books"},
		{"/ledger/year/a%2fb%20c", "filing"},
		{"/ledger//year/1", "books"},
		{"//ledger/year/1", ""},
		{"/ledger/year//", "filing"},
		{"/ledger/./year/1", "books"},
		{"/ledger/year/../1", "filing"},
		{"/ledger/{1}|é", "books"},
		{"/ledger/year/{1}|é?q={2}", "filing"},
		{"/x%2Fy/1", "filing"},
		{"/x/y/1", ""},
		{"/unknown/", ""},
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			status, body := sendTarget(t, near, method, c.target)
			switch {
			case c.service == "" && status != http.StatusNotFound:
				t.Errorf("%s %s: status %d, %q", method, c.target, status, body)
			case c.service != "" && (status != http.StatusOK || body != c.service+" "+c.target):
				t.Errorf("%s %s: status %d, the worker had %q, want %s", method, c.target, status, body, c.service)
			}
		}
	}
}

// TestTargetThatCannotBeKeptIsMalformed expects a refusal of the one form of path that would reach
// the worker changed.
func TestTargetThatCannotBeKeptIsMalformed(t *testing.T) {
	node := startNode(t, "a", "books", echoing(t, "books"))
	startRoutes(t, map[string]string{"/": "books"}, node)
	if status, body := sendTarget(t, node, http.MethodGet, "//{1}"); status != http.StatusBadRequest {
		t.Errorf("status %d, %q", status, body)
	}
	if status, body := sendTarget(t, node, http.MethodGet, "//1"); status != http.StatusOK || body != "books //1" {
		t.Errorf("status %d, %q", status, body)
	}
}
