package dataplane

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/snapshot"
)

// A node that holds only its scope must refuse a request of a route that it does
// not hold, instead of sending it to the service of a less specific route.
func TestRequestOfARouteOutOfScopeReachesNoWorker(t *testing.T) {
	m := newMesh(t)
	own, filings := serviceNamed(testService), testRoute("/filings", model.RepeatNever)
	own.Service.Calls = []string{}
	filings.Service = "filings"
	complete := m.snapshot(2, []model.Resource{
		own, serviceNamed("filings"),
		routeNamed("default", testRoute("/", model.RepeatNever)), routeNamed("filings", filings),
	})
	m.current.Store(complete.Restrict(snapshot.Scope{Service: testService}))
	var requests atomic.Int64
	m.addHandler("a", func(http.ResponseWriter, *http.Request) { requests.Add(1) })

	m.call("POST", "/filings/7", "x").expect(t, http.StatusMisdirectedRequest, "not-run", outcome.OutOfScope)
	if requests.Load() != 0 {
		t.Errorf("%d requests reached the worker of another service", requests.Load())
	}
	m.call("POST", "/other", "x").expect(t, http.StatusOK, "")
}
