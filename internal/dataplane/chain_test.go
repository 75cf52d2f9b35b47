package dataplane

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/retry"
)

// chainLevels is how many services call one another in a chain.
const chainLevels = 6

// forwardedHeaders are the headers that a worker copies to the calls that it makes
// on behalf of a call.
var forwardedHeaders = []string{retry.DeadlineHeader, retry.AttemptsLeftHeader}

// newChain starts a chain of services, each with a node of its own and a worker
// that calls the next service through its node. The last one aborts its answers.
func newChain(t *testing.T, change func(*Config)) (entry *mesh, bottom *atomic.Int64) {
	m := &mesh{t: t, table: membership.NewTable()}
	m.publishChain()
	m.directory.Store(m.table.View())
	bottom = &atomic.Int64{}
	handlers := make([]atomic.Pointer[http.HandlerFunc], chainLevels)
	nodes := make([]*testNode, chainLevels)
	for level := range chainLevels {
		worker := listen(t, func(w http.ResponseWriter, r *http.Request) { (*handlers[level].Load())(w, r) })
		service := fmt.Sprintf("level-%d", level)
		nodes[level] = m.start(service, worker, change, func(c *Config) { c.Service = service })
		m.table.Merge(membership.Record{
			ID: service, Incarnation: 1, Region: "region", Zone: "zone", Service: service,
			CallAddress: nodes[level].peers.Listener.Addr().String(),
		})
	}
	m.directory.Store(m.table.View())
	for level := range chainLevels {
		handler := m.levelHandler(level, nodes[level], bottom)
		handlers[level].Store(&handler)
	}
	m.entry = m.start("entry", "", change)
	return m, bottom
}

func (m *mesh) publishChain() {
	var resources []model.Resource
	for level := range chainLevels {
		name := fmt.Sprintf("level-%d", level)
		route := &model.Route{Match: model.Match{Host: name, PathPrefix: "/"}, Service: name}
		resources = append(resources, serviceNamed(name), routeNamed(name, route))
	}
	m.current.Store(m.snapshot(1, resources))
}

// levelHandler calls the next level; a failure there aborts the answer, as if the
// worker had crashed because of it.
func (m *mesh) levelHandler(level int, node *testNode, bottom *atomic.Int64) http.HandlerFunc {
	client := m.client()
	return func(_ http.ResponseWriter, r *http.Request) {
		if level == chainLevels-1 {
			bottom.Add(1)
			panic(http.ErrAbortHandler)
		}
		request, err := http.NewRequestWithContext(r.Context(), "GET", node.callers.URL+"/", nil)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		request.Host = fmt.Sprintf("level-%d", level+1)
		for _, name := range forwardedHeaders {
			request.Header.Set(name, r.Header.Get(name))
		}
		response, err := client.Do(request)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			panic(http.ErrAbortHandler)
		}
	}
}

func (m *mesh) callChain(t *testing.T) {
	request := m.request("GET", "/", nil)
	request.Host = "level-0"
	m.do(request).expect(t, http.StatusBadGateway, "unknown")
}

func TestAllowanceTravelsDownTheChain(t *testing.T) {
	m, bottom := newChain(t, func(*Config) {})
	m.callChain(t)
	if got := bottom.Load(); got > 1+int64(retry.DefaultAllowance) {
		t.Errorf("one call made %d at the bottom, the allowance is %d", got, retry.DefaultAllowance)
	}
}

func TestWithoutAllowanceLevelsMultiply(t *testing.T) {
	m, bottom := newChain(t, func(c *Config) { c.NoRetryBudget = true })
	m.callChain(t)
	if got := bottom.Load(); got < 3*3 {
		t.Errorf("one call made %d at the bottom: the comparison proves nothing", got)
	}
}
