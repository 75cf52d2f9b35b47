package routing

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/snapshot"
)

func serviceCalling(name string, calls ...string) model.Resource {
	return model.Resource{
		Key:     model.Key{Kind: model.KindService, Name: name},
		Service: &model.Service{Slots: 1, Connections: 1, Calls: append([]string{}, calls...)},
	}
}

func routeTo(name, service string, match model.Match) model.Resource {
	return model.Resource{
		Key:   model.Key{Kind: model.KindRoute, Name: name},
		Route: &model.Route{Match: match, Service: service},
	}
}

func compileScope(t testing.TB, scope snapshot.Scope, resources ...model.Resource) *Table {
	t.Helper()
	complete, err := snapshot.New(7, resources)
	if err != nil {
		t.Fatal(err)
	}
	table, err := Compile(complete.Restrict(scope))
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// TestRequestOfARouteOutOfScopeIsNotMisrouted checks that a request whose route is out
// of scope is not sent to the service of a less specific route that is in scope.
func TestRequestOfARouteOutOfScopeIsNotMisrouted(t *testing.T) {
	table := compileScope(t, snapshot.Scope{Service: "worker"},
		serviceCalling("worker", "site"), serviceCalling("site"), serviceCalling("filings"),
		routeTo("site", "site", model.Match{Host: "*", PathPrefix: "/"}),
		routeTo("filings", "filings", model.Match{Host: "*", PathPrefix: "/filings"}),
		routeTo("posts", "filings", model.Match{Host: "a.example", Path: "/form", Methods: []string{"POST"}}),
	)
	cases := []struct {
		path, method string
		want         MatchResult
	}{
		{"/", "GET", Matched},
		{"/filings", "GET", OutOfScope},
		{"/filings/7", "POST", OutOfScope},
		{"/form", "GET", Matched},
		{"/form", "POST", OutOfScope},
	}
	for _, c := range cases {
		route, result := table.Match("a.example", c.path, c.method)
		if result != c.want || (route != nil) != (result == Matched) {
			t.Errorf("%s %s: %v %d, want %d", c.method, c.path, route, result, c.want)
		}
	}
	if _, held := table.Route("filings"); held || table.Len() != 1 {
		t.Errorf("a route out of scope is held: %v, %d routes", held, table.Len())
	}
	if allowed := table.AllowedMethods("a.example", "/form"); len(allowed) != 0 {
		t.Errorf("methods %v of a route out of scope are said to be allowed", allowed)
	}
}

func TestScopedTableNeverGivesAnotherRoute(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		calls := rapid.SampledFrom([][]string{{}, {"b"}, {"b", "c"}}).Draw(rt, "calls")
		resources := []model.Resource{serviceCalling("a", calls...), serviceCalling("b"), serviceCalling("c")}
		matches := drawMatches(t, rt, "*", "h.b", "H.b.", "*.b", "*.a.b", "c.a.b", "b")
		for _, name := range slices.Sorted(maps.Keys(matches)) {
			target := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "target")
			resources = append(resources, routeTo(name, target, matches[name]))
		}
		unscoped := compileScope(t, snapshot.Scope{All: true}, resources...)
		scoped := compileScope(t, snapshot.Scope{Service: "a"}, resources...)
		for _, host := range []string{"h.b", "b", "x.a.b", "c.a.b", "other"} {
			for _, path := range append([]string{"/z"}, drawnPaths...) {
				for _, method := range []string{"GET", "POST", "PUT"} {
					requireSameRouteOrNone(rt, unscoped, scoped, host, path, method)
				}
			}
		}
	})
}

// requireSameRouteOrNone checks one request: the scoped table returns the route of
// the unscoped table or reports that this node has none, and reports that a
// method is not allowed only when the unscoped table does.
func requireSameRouteOrNone(t *rapid.T, unscoped, scoped *Table, host, path, method string) {
	want, wantResult := unscoped.Match(host, path, method)
	got, gotResult := scoped.Match(host, path, method)
	inScope := false
	if want != nil {
		_, inScope = scoped.Route(want.Name)
	}
	switch gotResult {
	case Matched:
		if want == nil || got.Name != want.Name {
			t.Fatalf("%s %s%s: %v, the unscoped table gives %v", method, host, path, got.Name, want)
		}
	case OutOfScope, NoRoute:
		if inScope {
			t.Fatalf("%s %s%s: %d, though %s is in scope", method, host, path, gotResult, want.Name)
		}
	case MethodNotAllowed:
		if wantResult != MethodNotAllowed {
			t.Fatalf("%s %s%s: method not allowed, the unscoped table gives %v", method, host, path, want.Name)
		}
	}
}

// TestRouteOutOfScopeDoesNotRuleOutMethods checks that a route out of scope that does
// not accept the method is no proof that no route does: another one may exist that this
// node does not know of.
func TestRouteOutOfScopeDoesNotRuleOutMethods(t *testing.T) {
	table := compileScope(t, snapshot.Scope{Service: "worker"},
		serviceCalling("worker"), serviceCalling("filings"),
		routeTo("own", "worker", model.Match{Host: "a.example", Path: "/x/y"}),
		routeTo("get", "filings", model.Match{Host: "a.example", PathPrefix: "/x", Methods: []string{"GET"}}),
		routeTo("exact", "filings", model.Match{Host: "a.example", Path: "/x"}),
	)
	for method, want := range map[string]MatchResult{"GET": OutOfScope, "POST": NoRoute} {
		if _, got := table.Match("a.example", "/x/z", method); got != want {
			t.Errorf("%s: %d, want %d", method, got, want)
		}
	}
}
