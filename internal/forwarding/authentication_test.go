package forwarding

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/quarantine"
)

// markedKey is the key of the tenant "acme". Only the node where the call begins may receive it.
const markedKey = "marked-key-of-acme"

// startTenantNode starts a node whose callers have keys.
func startTenantNode(t testing.TB, id, service string, worker *testWorker) *testNode {
	t.Helper()
	node := startNode(t, id, service, worker)
	dialect := &node.plane.config.Dialect
	dialect.Key, dialect.Tenant = httpconn.KeyScheme{Header: "Authorization", Scheme: "Token"}, "X-Tenant"
	dialect.Parent = slashParent
	return node
}

// configureTenants puts in force the tenants with their keys, and in addition to ledgerRoutes a
// public route.
func configureTenants(t testing.TB, version uint64, tenants map[string]*model.Tenant, nodes ...*testNode) {
	t.Helper()
	resources := []model.Resource{{Key: model.Key{Kind: model.KindService, Name: "ledger"}, Service: &model.Service{}}}
	for _, spec := range append([]routeSpec{{prefix: "/open/", service: "ledger", timeout: time.Second}}, ledgerRoutes...) {
		resources = append(resources, model.Resource{Key: model.Key{Kind: model.KindRoute, Name: "r" + spec.prefix}, Route: &model.Route{
			Match: model.Match{Host: "mesh.example", PathPrefix: spec.prefix}, Service: spec.service, Rank: 2,
			Repeatable: model.RepeatNever, Timeout: spec.timeout, Public: spec.prefix == "/open/",
		}})
	}
	for name, tenant := range tenants {
		resources = append(resources, model.Resource{Key: model.Key{Kind: model.KindTenant, Name: name}, Tenant: tenant})
	}
	table := compileTable(t, version, resources)
	for _, node := range nodes {
		node.config.Store(&Configuration{Table: table})
	}
}

func tenantWithKeys(keys ...string) *model.Tenant {
	tenant := &model.Tenant{}
	for _, key := range keys {
		tenant.Keys = append(tenant.Keys, model.DigestKey(key))
	}
	return tenant
}

// askWith sends a request with the given values of Authorization, and a tenant header that
// callers must not set.
func askWith(t *testing.T, node *testNode, path string, values ...string) (int, http.Header, string) {
	t.Helper()
	request := callerRequest(t, node, http.MethodPost, path, strings.NewReader("body"))
	request.Header["Authorization"] = values
	request.Header["X-Tenant"] = []string{"forged", "twice"}
	request.Header["X-Other"] = []string{"1"}
	return ask(t, request)
}

// headersSeen makes the worker record the headers of the last request.
func headersSeen(worker *testWorker) *atomic.Pointer[http.Header] {
	var seen atomic.Pointer[http.Header]
	worker.answer(func(_ http.ResponseWriter, r *http.Request) {
		header := r.Header.Clone()
		seen.Store(&header)
	})
	return &seen
}

// TestWhoMayCall sends calls with various keys to a node beside the worker and to one beside
// another worker.
func TestWhoMayCall(t *testing.T) {
	worker := startWorker(t)
	beside, distant := startTenantNode(t, "a", "ledger", worker), startTenantNode(t, "b", "other", nil)
	configureTenants(t, 1, map[string]*model.Tenant{"acme": tenantWithKeys(markedKey), "other": tenantWithKeys("k2")}, beside, distant)
	exchangeRecords(beside, distant)
	cases := []struct {
		path   string
		values []string
		status int
		tenant string
	}{
		{"/file/1", []string{"Token " + markedKey}, http.StatusOK, "acme"},
		{"/file/1", []string{"token " + markedKey}, http.StatusOK, "acme"},
		{"/file/1", []string{"Token k2"}, http.StatusOK, "other"},
		{"/file/1", nil, http.StatusUnauthorized, ""},
		{"/file/1", []string{"Token k3"}, http.StatusUnauthorized, ""},
		{"/file/1", []string{"Token "}, http.StatusUnauthorized, ""},
		{"/file/1", []string{"Bearer " + markedKey}, http.StatusUnauthorized, ""},
		{"/file/1", []string{"Token " + markedKey, "Token " + markedKey}, http.StatusUnauthorized, ""},
		{"/open/1", nil, http.StatusOK, ""},
		{"/open/1", []string{"Token " + markedKey}, http.StatusOK, "acme"},
		{"/open/1", []string{"Token k3"}, http.StatusUnauthorized, ""},
		{"/open/1", []string{"Token " + markedKey, "Basic b"}, http.StatusOK, ""},
		{"/none/1", nil, http.StatusNotFound, ""},
		{"/none/1", []string{"Token k3"}, http.StatusNotFound, ""},
	}
	for _, node := range []*testNode{beside, distant} {
		for _, c := range cases {
			seen := headersSeen(worker)
			status, header, body := askWith(t, node, c.path, c.values...)
			name := fmt.Sprintf("%s %s %q", node.table.View().Self().ID, c.path, c.values)
			if status != c.status {
				t.Errorf("%s: %d %q", name, status, body)
			}
			report := <-node.reports
			if status == http.StatusUnauthorized && (report.Reason != outcome.Unauthenticated || report.Outcome != outcome.NotRun || header["Retry-After"] != nil || header.Get("Www-Authenticate") != "Token") {
				t.Errorf("%s: %+v", name, report)
			}
			if status != http.StatusOK {
				if seen.Load() != nil {
					t.Errorf("%s: the worker received the call", name)
				}
				continue
			}
			got := *seen.Load()
			if got.Get("X-Tenant") != c.tenant || len(got["X-Tenant"]) > 1 || got.Get("X-Other") != "1" || report.Tenant != c.tenant {
				t.Errorf("%s: the worker got %v, reported %q", name, got, report.Tenant)
			}
			if strings.Contains(fmt.Sprint(got), markedKey) || got["Levertide-Hop-Tenant"] != nil {
				t.Errorf("%s: the worker got %v", name, got)
			}
		}
	}
}

// TestOtherCredentialsReachTheWorker uses a public route whose callers authenticate at the
// worker.
func TestOtherCredentialsReachTheWorker(t *testing.T) {
	worker := startWorker(t)
	node := startTenantNode(t, "a", "ledger", worker)
	configureTenants(t, 1, map[string]*model.Tenant{"acme": tenantWithKeys(markedKey)}, node)
	seen := headersSeen(worker)
	if status, _, body := askWith(t, node, "/open/1", "Basic b", "Token "+markedKey); status != http.StatusOK {
		t.Fatalf("%d %q", status, body)
	}
	if got := (*seen.Load())["Authorization"]; len(got) != 1 || got[0] != "Basic b" {
		t.Errorf("the worker got %q", got)
	}
}

// TestWithoutTenantsNothingChanges sends calls before there is a configuration and under a
// version without tenants.
func TestWithoutTenantsNothingChanges(t *testing.T) {
	worker := startWorker(t)
	beside, distant := startTenantNode(t, "a", "ledger", worker), startTenantNode(t, "b", "other", nil)
	exchangeRecords(beside, distant)
	for _, node := range []*testNode{beside, distant} {
		if status, _, _ := askWith(t, node, "/file/1"); status != http.StatusServiceUnavailable {
			t.Errorf("without a configuration: %d", status)
		}
		<-node.reports
	}
	configureTenants(t, 1, nil, beside, distant)
	for _, node := range []*testNode{beside, distant} {
		seen := headersSeen(worker)
		if status, _, body := askWith(t, node, "/file/1", "Token k3", "Basic b"); status != http.StatusOK {
			t.Fatalf("%d %q", status, body)
		}
		got := *seen.Load()
		for name, want := range map[string]string{"Authorization": "[Token k3 Basic b]", "X-Tenant": "[forged twice]", "Levertide-Hop-Tenant": "[]"} {
			if fmt.Sprint(got[name]) != want {
				t.Errorf("%s: %v", name, got[name])
			}
		}
		if report := <-node.reports; report.Tenant != "" {
			t.Errorf("%+v", report)
		}
	}
	if len(beside.plane.running.runs) != 0 {
		t.Error("runs are recorded")
	}
}

// TestKeysAreAddedAndRemoved sends requests over one connection while configuration versions add
// and remove a key.
func TestKeysAreAddedAndRemoved(t *testing.T) {
	worker := startWorker(t)
	node := startTenantNode(t, "a", "ledger", worker)
	client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{}}
	for version, keys := range [][]string{{"old"}, {"old", markedKey}, {markedKey}, {"old"}, {}} {
		configureTenants(t, uint64(version+1), map[string]*model.Tenant{"acme": tenantWithKeys(keys...)}, node)
		request := callerRequest(t, node, http.MethodGet, "/read/1", nil)
		request.Header.Set("Authorization", "Token "+markedKey)
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		want := http.StatusUnauthorized
		if strings.Contains(strings.Join(keys, " "), markedKey) {
			want = http.StatusOK
		}
		if response.StatusCode != want {
			t.Errorf("version %d: %d", version+1, response.StatusCode)
		}
	}
}

// nestedCall sends a call as a worker does while it runs another call.
func nestedCall(t *testing.T, node *testNode, id string) (int, string) {
	t.Helper()
	request := callerRequest(t, node, http.MethodPost, "/file/nested", strings.NewReader("n"))
	request.Header.Set("X-Id", id)
	status, _, body := ask(t, request)
	return status, body
}

// TestCallsOfWorkersInherit runs a call at a worker that makes a nested call, which makes a third
// one.
func TestCallsOfWorkersInherit(t *testing.T) {
	worker := startWorker(t)
	front, back := startTenantNode(t, "front", "other", nil), startTenantNode(t, "back", "ledger", worker)
	exchangeRecords(front, back)
	acme := tenantWithKeys(markedKey)
	acme.Rank = 1
	configureTenants(t, 1, map[string]*model.Tenant{"acme": acme}, front, back)
	var mu sync.Mutex
	var tenants []string
	worker.answer(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		tenants = append(tenants, r.Header.Get("X-Tenant"))
		depth := len(tenants)
		mu.Unlock()
		if depth == 3 {
			return
		}
		if status, body := nestedCall(t, back, fmt.Sprintf("%s/%d", "id-1", depth)); status != http.StatusOK {
			t.Errorf("%d %q", status, body)
		}
	})
	if status, _, body := askWith(t, front, "/file/1", "Token "+markedKey); status != http.StatusOK {
		t.Fatalf("%d %q", status, body)
	}
	if fmt.Sprint(tenants) != "[acme acme acme]" {
		t.Errorf("workers received the tenants %q", tenants)
	}
	parent := &parentCall{tenant: "acme", rank: rankOf(1, 2, stepFirst)}
	if got, want := (&call{checked: true, parent: parent}).rank(), rankOf(1, 1, stepNested); got != want {
		t.Errorf("a nested call has rank %d, want %d: first within the next lower rank of its parent's route", got, want)
	}
}

// TestMadeUpParentsGainNothing sends calls whose ids claim a parent that does not run.
func TestMadeUpParentsGainNothing(t *testing.T) {
	worker := startWorker(t)
	node := startTenantNode(t, "a", "ledger", worker)
	configureTenants(t, 1, map[string]*model.Tenant{"acme": tenantWithKeys(markedKey)}, node)
	if status, _ := nestedCall(t, node, "nobody/1"); status != http.StatusServiceUnavailable {
		t.Errorf("while a run under a previous incarnation may go on: %d", status)
	}
	if report := <-node.reports; report.Reason != outcome.ParentUnknown || report.Outcome != outcome.NotRun {
		t.Errorf("%+v", report)
	}
	node.plane.started = node.plane.started.Add(-time.Hour)
	if status, _ := nestedCall(t, node, "nobody/1"); status != http.StatusUnauthorized {
		t.Errorf("later: %d", status)
	}
	<-node.reports
	// A call with a key belongs to the holder of the key, whatever its id.
	request := callerRequest(t, node, http.MethodPost, "/file/1", strings.NewReader("n"))
	request.Header.Set("X-Id", "nobody/1")
	request.Header.Set("Authorization", "Token "+markedKey)
	seen := headersSeen(worker)
	if status, _, _ := ask(t, request); status != http.StatusOK || (*seen.Load()).Get("X-Tenant") != "acme" {
		t.Errorf("with a key: %d", status)
	}
}

// TestParentsAreForgotten runs two calls with the same id, and ends them.
func TestParentsAreForgotten(t *testing.T) {
	var calls runningCalls
	now := time.Unix(9000, 0)
	of := func(tenant string) *workerCall {
		return &workerCall{principal: principal{checked: true, tenant: tenant}, claim: claim{tenant: tenant, rank: 7}, end: now.Add(time.Second)}
	}
	calls.begin("id", of("first"), now)
	calls.begin("id", of("second"), now)
	if parent := calls.parent("id", now); parent == nil || *parent != (parentCall{"first", 7}) {
		t.Errorf("%+v", parent)
	}
	calls.end("id", false, now)
	calls.end("id", false, now)
	if calls.parent("id", now.Add(900*time.Millisecond)) == nil {
		t.Error("a worker whose call was given up has no time to notice")
	}
	if calls.parent("id", now.Add(time.Second)) != nil || calls.parent("other", now) != nil {
		t.Error("calls inherit from a parent that no longer runs")
	}
	const many = 10 * leastSweep
	for i := range many {
		id := fmt.Sprint(i)
		calls.begin(id, of("first"), now)
		calls.end(id, false, now)
		now = now.Add(10 * time.Millisecond)
	}
	if len(calls.runs) > 2*leastSweep {
		t.Errorf("%d runs are kept", len(calls.runs))
	}
}

// TestBothNodesKnowTheRequestByOneFingerprint compares the fingerprint computed by the node where
// the call begins with that of the worker's node, which does not receive the key.
func TestBothNodesKnowTheRequestByOneFingerprint(t *testing.T) {
	dialect := &Dialect{Key: httpconn.KeyScheme{Header: "Authorization", Scheme: "Token"}, Tenant: "X-Tenant"}
	prints := map[quarantine.Fingerprint]bool{}
	for _, c := range []struct {
		whose  principal
		values []string
	}{
		{principal{true, "acme"}, []string{"Token " + markedKey}},
		{principal{true, "acme"}, []string{"token other-key"}},
		{principal{true, "other"}, []string{"Token k2"}},
		{principal{true, ""}, []string{"Token k2", "Basic b"}},
		{principal{true, ""}, nil},
		{principal{}, []string{"Token k2"}},
	} {
		began := httptest.NewRequest(http.MethodGet, "/read/1", nil)
		began.Header["Authorization"] = c.values
		if c.whose.checked {
			(&call{plane: &Plane{config: Config{Dialect: *dialect}}, request: began}).takeKey()
		}
		hopped := newRequest(began, "127.0.0.1:1", forwardedHeader(began, dialect))
		var here, there identity
		print := here.of(began, &requestBody{}, c.whose)
		if print != there.of(hopped, &requestBody{}, c.whose) {
			t.Errorf("%+v %q: the nodes differ", c.whose, c.values)
		}
		prints[print] = true
	}
	const different = 5
	if len(prints) != different {
		t.Errorf("%d fingerprints, want %d", len(prints), different)
	}
}

// TestPipelinedRequestsAreEachTheirOwn sends, on one connection and before the first is answered,
// requests with a key, without one and with an unknown one.
func TestPipelinedRequestsAreEachTheirOwn(t *testing.T) {
	node := startTenantNode(t, "a", "ledger", startWorker(t))
	configureTenants(t, 1, map[string]*model.Tenant{"acme": tenantWithKeys(markedKey)}, node)
	conn, err := net.Dial("tcp", node.caller.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	for _, authorization := range []string{"Authorization: Token " + markedKey + "\r\n", "", "Authorization: Token other\r\n", "Authorization: Token " + markedKey + "\r\n"} {
		if _, err := fmt.Fprintf(conn, "GET /read/1 HTTP/1.1\r\nHost: mesh.example\r\nX-Id: id\r\n%s\r\n", authorization); err != nil {
			t.Fatal(err)
		}
	}
	reader := bufio.NewReader(conn)
	for n, want := range []int{http.StatusOK, http.StatusUnauthorized, http.StatusUnauthorized, http.StatusOK} {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		if response.StatusCode != want {
			t.Errorf("request %d: %d, want %d", n, response.StatusCode, want)
		}
	}
}

// TestNodesOfDifferentVersions runs the node where the call begins and the worker's node with
// different configuration versions, of which only one has tenants.
func TestNodesOfDifferentVersions(t *testing.T) {
	worker := startWorker(t)
	front, back := startTenantNode(t, "front", "other", nil), startTenantNode(t, "back", "ledger", worker)
	exchangeRecords(front, back)
	acme := map[string]*model.Tenant{"acme": tenantWithKeys(markedKey)}
	configureTenants(t, 2, acme, front)
	configureTenants(t, 1, nil, back)
	seen := headersSeen(worker)
	if status, _, body := askWith(t, front, "/file/1", "Token "+markedKey); status != http.StatusOK {
		t.Fatalf("%d %q", status, body)
	}
	if got := *seen.Load(); got.Get("X-Tenant") != "acme" || got["Authorization"] != nil {
		t.Errorf("the caller's node decides: the worker got %v", got)
	}
	configureTenants(t, 3, nil, front)
	configureTenants(t, 2, acme, back)
	seen = headersSeen(worker)
	if status, _, body := askWith(t, front, "/file/1", "Token other"); status != http.StatusOK {
		t.Fatalf("%d %q", status, body)
	}
	if got := *seen.Load(); got.Get("Authorization") != "Token other" {
		t.Errorf("without tenants all headers are forwarded: the worker got %v", got)
	}
}

// TestFirstVersionWithTenants puts the first version with tenants in force while a worker runs a
// request, during which it makes a nested call.
func TestFirstVersionWithTenants(t *testing.T) {
	worker := startWorker(t)
	node := startTenantNode(t, "a", "ledger", worker)
	configureTenants(t, 1, nil, node)
	worker.answer(func(_ http.ResponseWriter, r *http.Request) {
		configureTenants(t, 2, map[string]*model.Tenant{"acme": tenantWithKeys(markedKey)}, node)
		if status, body := nestedCall(t, node, "id-1/1"); status != http.StatusServiceUnavailable {
			t.Errorf("%d %q", status, body)
		}
	})
	if status, _, body := askWith(t, node, "/file/1"); status != http.StatusOK {
		t.Errorf("%d %q", status, body)
	}
}
