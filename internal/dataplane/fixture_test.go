package dataplane

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/snapshot"
)

func TestMain(m *testing.M) {
	code := m.Run()
	if code == 0 {
		// toxiproxy leaves these behind when a toxic cuts a connection.
		err := goleak.Find(
			goleak.IgnoreAnyFunction("github.com/Shopify/toxiproxy/v2.(*ToxicLink).read"),
			goleak.IgnoreAnyFunction("github.com/Shopify/toxiproxy/v2/toxics.(*ToxicStub).Run"),
		)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
	}
	os.Exit(code)
}

const (
	testService = "ledger"
	testHost    = "books.example"
)

// mesh is a set of nodes in one process, with one directory and one snapshot.
type mesh struct {
	t         testing.TB
	table     *membership.Table
	directory atomic.Pointer[membership.View]
	current   atomic.Pointer[snapshot.Snapshot]
	entry     *testNode
}

// testNode is one node with its two listeners.
type testNode struct {
	plane   *Plane
	callers *httptest.Server
	peers   *httptest.Server
	watch   *recordingObserver
}

// recordingObserver records what a plane reports.
type recordingObserver struct {
	noObserver
	mutex   sync.Mutex
	reports []CallReport
	peers   int
}

func (w *recordingObserver) CallFinished(report CallReport) {
	w.mutex.Lock()
	w.reports = append(w.reports, report)
	w.mutex.Unlock()
}

func (w *recordingObserver) PeerCallFinished(CallReport) {
	w.mutex.Lock()
	w.peers++
	w.mutex.Unlock()
}

// peerReports returns how many calls of other nodes have ended.
func (w *recordingObserver) peerReports() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.peers
}

func (w *recordingObserver) last() CallReport {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.reports[len(w.reports)-1]
}

func testRoute(path string, repeatable model.Repeatable) *model.Route {
	return &model.Route{
		Match:      model.Match{Host: testHost, PathPrefix: path},
		Service:    testService,
		Repeatable: repeatable,
		Timeout:    10 * time.Second,
	}
}

func serviceNamed(name string) model.Resource {
	return model.Resource{
		Key:     model.Key{Kind: model.KindService, Name: name},
		Service: &model.Service{Slots: 64, Connections: 130, Queue: 64, Timeout: time.Minute},
	}
}

func routeNamed(name string, route *model.Route) model.Resource {
	return model.Resource{Key: model.Key{Kind: model.KindRoute, Name: name}, Route: route}
}

// newMesh starts a node without a worker, through which calls enter.
func newMesh(t testing.TB, change ...func(*Config)) *mesh {
	m := &mesh{t: t, table: membership.NewTable()}
	m.publish(1, map[string]*model.Route{
		"default": testRoute("/", model.RepeatSafeMethods),
		"always":  testRoute("/always", model.RepeatAlways),
		"never":   testRoute("/never", model.RepeatNever),
	})
	m.directory.Store(m.table.View())
	m.entry = m.start("entry", "", change...)
	return m
}

// publish puts routes to testService in force.
func (m *mesh) publish(version uint64, routes map[string]*model.Route) {
	resources := []model.Resource{
		serviceNamed(testService),
		{Key: model.Key{Kind: model.KindSecret, Name: "key"}, Secret: &model.Secret{Value: "s3cret"}},
	}
	for name, route := range routes {
		resources = append(resources, routeNamed(name, route))
	}
	m.current.Store(m.snapshot(version, resources))
}

func (m *mesh) snapshot(version uint64, resources []model.Resource) *snapshot.Snapshot {
	built, err := snapshot.New(version, resources)
	if err != nil {
		m.t.Fatal(err)
	}
	return built
}

func (m *mesh) start(id, worker string, change ...func(*Config)) *testNode {
	watch := &recordingObserver{}
	config := Config{
		Node: id, Region: "region", Zone: "zone",
		Current:   m.current.Load,
		Directory: m.directory.Load,
		Observer:  watch,
		Limits:    Limits{DrainNotice: time.Millisecond},
	}
	if worker != "" {
		config.Service, config.WorkerAddress = testService, worker
	}
	for _, apply := range change {
		apply(&config)
	}
	plane, err := New(config)
	if err != nil {
		m.t.Fatal(err)
	}
	node := &testNode{plane: plane, watch: watch}
	node.callers = serve(plane.CallerServer())
	node.peers = serve(plane.PeerServer())
	m.t.Cleanup(func() {
		plane.Close()
		node.callers.Close()
		node.peers.Close()
	})
	return node
}

func serve(server *http.Server) *httptest.Server {
	running := httptest.NewUnstartedServer(server.Handler)
	running.Config = server
	running.Start()
	return running
}

// addWorker starts a node beside a worker that is already listening.
func (m *mesh) addWorker(id, worker string, change ...func(*Config)) *testNode {
	node := m.start(id, worker, change...)
	m.join(id, node.peers.Listener.Addr().String())
	return node
}

func (m *mesh) join(id, address string) {
	m.table.Merge(membership.Record{
		ID: id, Incarnation: 1, Region: "region", Zone: "zone",
		Service: testService, CallAddress: address,
	})
	m.directory.Store(m.table.View())
}

// addHandler starts a worker with a handler and a node beside it.
func (m *mesh) addHandler(id string, handler http.HandlerFunc, change ...func(*Config)) *testNode {
	return m.addWorker(id, listen(m.t, handler), change...)
}

// addRaw starts one raw worker with a node for each identifier beside it.
func (m *mesh) addRaw(handle func(worker *rawWorker, conn net.Conn), ids ...string) *rawWorker {
	worker := newRawWorker(m.t, handle)
	for _, id := range ids {
		m.addWorker(id, worker.address())
	}
	return worker
}

// listen serves a handler until the test ends, and returns its address.
func listen(t testing.TB, handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// client is a caller that never repeats anything by itself.
func (m *mesh) client() *http.Client {
	transport := &http.Transport{DisableCompression: true}
	m.t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
}

func (m *mesh) request(method, path string, body io.Reader) *http.Request {
	request, err := http.NewRequest(method, m.entry.callers.URL+path, body)
	if err != nil {
		m.t.Fatal(err)
	}
	request.Host = testHost
	return request
}

// reply is a complete answer.
type reply struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error
}

func (m *mesh) do(request *http.Request) reply {
	m.t.Helper()
	response, err := m.client().Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, trailer: response.Trailer, body: string(body), err: err}
}

// call makes a request with header fields given as names and values in turn.
func (m *mesh) call(method, path, body string, header ...string) reply {
	m.t.Helper()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	request := m.request(method, path, reader)
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	return m.do(request)
}

// expectBody checks that a worker answered with status 200 and a body.
func (r reply) expectBody(t testing.TB, want string) {
	t.Helper()
	r.expect(t, http.StatusOK, "")
	if r.body != want {
		t.Errorf("answered %q, want %q", r.body, want)
	}
}

// expect checks status, outcome and, when one is given, the reason.
func (r reply) expect(t testing.TB, status int, reported string, reason ...outcome.Reason) {
	t.Helper()
	if r.err != nil {
		t.Fatalf("call failed: %v", r.err)
	}
	gotReason := outcome.Reason(r.header.Get("Levertide-Reason"))
	if got := r.header.Get("Levertide-Outcome"); r.status != status || got != reported {
		t.Fatalf("got %d %q (%s), want %d %q", r.status, got, gotReason, status, reported)
	}
	if len(reason) > 0 && gotReason != reason[0] {
		t.Errorf("reason %q, want %q", gotReason, reason[0])
	}
}

// rawWorker is a worker that handles its connections itself.
type rawWorker struct {
	listener net.Listener
	requests atomic.Int64
	wait     sync.WaitGroup
}

// newRawWorker starts a worker; handle gets each connection.
func newRawWorker(t testing.TB, handle func(worker *rawWorker, conn net.Conn)) *rawWorker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &rawWorker{listener: listener}
	w.wait.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			w.wait.Go(func() {
				defer func() { _ = conn.Close() }()
				handle(w, conn)
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		w.wait.Wait()
	})
	return w
}

func (w *rawWorker) address() string { return w.listener.Addr().String() }

// eventually waits up to 30 s for a condition, which event describes.
func eventually(t testing.TB, event string, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			t.Fatalf("did not happen within 30 s: %s", event)
		}
	}
}
