package routing

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/snapshot"
)

func scopedService(name string, calls ...string) model.Resource {
	return model.Resource{
		Key:     model.Key{Kind: model.KindService, Name: name},
		Service: &model.Service{Slots: 1, Connections: 1, Calls: slices.Concat([]string{}, calls)},
	}
}

func routeTo(name, service string, match model.Match) model.Resource {
	return model.Resource{
		Key:   model.Key{Kind: model.KindRoute, Name: name},
		Route: &model.Route{Match: match, Service: service},
	}
}

func compileResources(t interface{ Fatal(...any) }, scope snapshot.Scope, resources ...model.Resource) *Table {
	whole, err := snapshot.New(7, resources)
	if err != nil {
		t.Fatal(err)
	}
	table, err := Compile(whole.Restrict(scope))
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// A request whose route is out of scope is not sent to the service of a less
// specific route that is in scope.
func TestRequestOfARouteOutOfScopeIsNotMisrouted(t *testing.T) {
	table := compileResources(t, snapshot.Scope{Service: "worker"},
		scopedService("worker", "site"), scopedService("site"), scopedService("filings"),
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

// drawRoutes draws routes that often overlap, to services a, b and c.
func drawRoutes(t *rapid.T) []model.Resource {
	hosts := rapid.SampledFrom([]string{"*", "h.b", "H.b.", "*.b", "*.a.b", "c.a.b", "b"})
	paths := rapid.SampledFrom([]string{"/", "/x", "/x/", "/x/y", "/x/y/z", "/xy"})
	var accepted []model.Resource
	for i := range rapid.IntRange(0, 10).Draw(t, "routes") {
		match := model.Match{Host: hosts.Draw(t, "host")}
		if path := paths.Draw(t, "path"); rapid.Bool().Draw(t, "exact") {
			match.Path = path
		} else {
			match.PathPrefix = path
		}
		match.Methods = rapid.SampledFrom([][]string{nil, {"GET"}, {"POST"}, {"GET", "POST"}}).Draw(t, "methods")
		target := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "target")
		candidate := append(slices.Clone(accepted), routeTo(fmt.Sprintf("route-%d", i), target, match))
		whole, err := snapshot.New(1, append(scopeServices(), candidate...))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Compile(whole); err == nil {
			accepted = candidate
		}
	}
	return accepted
}

func scopeServices(calls ...string) []model.Resource {
	return []model.Resource{scopedService("a", calls...), scopedService("b"), scopedService("c")}
}

func TestScopedTableNeverGivesAnotherRoute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		calls := rapid.SampledFrom([][]string{{}, {"b"}, {"b", "c"}}).Draw(t, "calls")
		resources := append(scopeServices(calls...), drawRoutes(t)...)
		whole := compileResources(t, snapshot.Scope{All: true}, resources...)
		scoped := compileResources(t, snapshot.Scope{Service: "a"}, resources...)
		for _, host := range []string{"h.b", "b", "x.a.b", "c.a.b", "other"} {
			for _, path := range []string{"/", "/x", "/x/", "/x/y", "/x/y/z", "/xy", "/z"} {
				for _, method := range []string{"GET", "POST", "PUT"} {
					requireNoOtherRoute(t, whole, scoped, host, path, method)
				}
			}
		}
	})
}

// requireNoOtherRoute checks one request: the scoped table gives the route of
// the whole table or tells that there is none for this node, and says that a
// method is not allowed only when the whole table says so.
func requireNoOtherRoute(t *rapid.T, whole, scoped *Table, host, path, method string) {
	want, wantResult := whole.Match(host, path, method)
	got, gotResult := scoped.Match(host, path, method)
	inScope := false
	if want != nil {
		_, inScope = scoped.Route(want.Name)
	}
	switch gotResult {
	case Matched:
		if want == nil || got.Name != want.Name {
			t.Fatalf("%s %s%s: %v, the whole table gives %v", method, host, path, got.Name, want)
		}
	case OutOfScope, NoRoute:
		if inScope {
			t.Fatalf("%s %s%s: %d, though %s is in scope", method, host, path, gotResult, want.Name)
		}
	case MethodNotAllowed:
		if wantResult != MethodNotAllowed {
			t.Fatalf("%s %s%s: method not allowed, the whole table gives %v", method, host, path, want.Name)
		}
	}
}
