package forwarding

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/levertide/levertide/pkg/model"
)

// BenchmarkCall compares a call sent directly to a worker, with the worker beside the caller's
// node, and through two nodes. The ratios within one run show the cost of a node.
func BenchmarkCall(b *testing.B) {
	worker := startWorker(b)
	beside := startNode(b, "a", "ledger", worker)
	distant := startNode(b, "b", "other", nil)
	configure(b, ledgerRoutes, beside, distant)
	exchangeRecords(beside, distant)
	for _, way := range []struct{ name, url string }{
		{"direct", worker.server.URL},
		{"beside", beside.caller.URL},
		{"two-nodes", distant.caller.URL},
	} {
		b.Run(way.name, func(b *testing.B) {
			transport := &http.Transport{MaxIdleConnsPerHost: 4}
			defer transport.CloseIdleConnections()
			b.ReportAllocs()
			for b.Loop() {
				benchCall(b, transport, way.url)
			}
		})
	}
}

func benchCall(b *testing.B, transport *http.Transport, url string) {
	request, err := http.NewRequestWithContext(b.Context(), http.MethodGet, url+"/read/1", nil)
	if err != nil {
		b.Fatal(err)
	}
	request.Host = "mesh.example"
	request.Header.Set("X-Id", "id-1")
	request.Header.Set("X-Timeout", "4000")
	response, err := transport.RoundTrip(request)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		b.Fatal(err)
	}
	if err := response.Body.Close(); err != nil {
		b.Fatal(err)
	}
	if response.StatusCode != http.StatusOK {
		b.Fatalf("status %d", response.StatusCode)
	}
}

// BenchmarkAuthenticatedCall compares calls with a key of one of 1,000 tenants, beside the worker
// and through two nodes, with refused calls.
func BenchmarkAuthenticatedCall(b *testing.B) {
	beside, distant := startTenantNode(b, "a", "ledger", startWorker(b)), startTenantNode(b, "b", "other", nil)
	tenants := map[string]*model.Tenant{}
	for n := range 1000 {
		tenants[fmt.Sprint("tenant-", n)] = tenantWithKeys(fmt.Sprint("key-", n))
	}
	configureTenants(b, 1, tenants, beside, distant)
	exchangeRecords(beside, distant)
	for _, way := range []struct{ name, url, key string }{
		{"beside", beside.caller.URL, "key-7"},
		{"two-nodes", distant.caller.URL, "key-7"},
		{"refused", distant.caller.URL, "other"},
	} {
		b.Run(way.name, func(b *testing.B) {
			transport := &http.Transport{MaxIdleConnsPerHost: 4}
			defer transport.CloseIdleConnections()
			b.ReportAllocs()
			for b.Loop() {
				benchKeyCall(b, transport, way.url, way.key)
			}
		})
	}
}

func benchKeyCall(b *testing.B, transport *http.Transport, url, key string) {
	request, err := http.NewRequestWithContext(b.Context(), http.MethodGet, url+"/read/1", nil)
	if err != nil {
		b.Fatal(err)
	}
	request.Host = "mesh.example"
	request.Header = http.Header{"X-Id": {"id-1"}, "X-Timeout": {"4000"}, "Authorization": {"Token " + key}}
	response, err := transport.RoundTrip(request)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if want := map[bool]int{true: http.StatusOK, false: http.StatusUnauthorized}[key != "other"]; response.StatusCode != want {
		b.Fatalf("status %d", response.StatusCode)
	}
}
