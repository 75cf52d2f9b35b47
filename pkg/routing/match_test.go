package routing

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/levertide/levertide/pkg/internal/fixedseed"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/snapshot"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func compile(t testing.TB, matches map[string]model.Match) *Table {
	t.Helper()
	table, err := tryCompile(t, matches)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func tryCompile(t testing.TB, matches map[string]model.Match) (*Table, error) {
	t.Helper()
	resources := []model.Resource{serviceCalling("ledger")}
	for name, match := range matches {
		resources = append(resources, routeTo(name, "ledger", match))
	}
	source, err := snapshot.New(7, resources)
	if err != nil {
		t.Fatal(err)
	}
	return Compile(source)
}

func TestPrecedence(t *testing.T) {
	table := compile(t, map[string]model.Match{
		"any":        {Host: "*", PathPrefix: "/"},
		"wide":       {Host: "*.example.com", PathPrefix: "/"},
		"narrow":     {Host: "*.eu.example.com", PathPrefix: "/"},
		"host":       {Host: "a.eu.example.com", PathPrefix: "/books"},
		"host-deep":  {Host: "a.eu.example.com", PathPrefix: "/books/open/"},
		"host-exact": {Host: "a.eu.example.com", Path: "/books/open/1"},
		"host-post":  {Host: "a.eu.example.com", PathPrefix: "/books", Methods: []string{"POST"}},
		"put-only":   {Host: "put.example.org", PathPrefix: "/", Methods: []string{"PUT"}},
	})
	cases := []struct{ host, path, method, want string }{
		{"other.org", "/x", "GET", "any"},
		{"b.example.com:8080", "/x", "GET", "wide"},
		{"B.EU.Example.com.", "/x", "GET", "narrow"},
		{"x.y.eu.example.com", "/x", "GET", "narrow"},
		{"a.eu.example.com", "/books", "GET", "host"},
		{"a.eu.example.com", "/books/", "GET", "host"},
		{"a.eu.example.com", "/books/1", "POST", "host-post"},
		{"a.eu.example.com", "/books/open", "POST", "host-deep"},
		{"a.eu.example.com", "/books/open/1", "GET", "host-exact"},
		{"a.eu.example.com", "/bookshop", "GET", "narrow"},
		{"example.com", "/x", "GET", "any"},
		{"put.example.org", "/x", "PUT", "put-only"},
		{"put.example.org", "/x", "GET", "any"},
		{"[::1]:80", "/", "GET", "any"},
		{strings.Repeat("a", 300), "/", "GET", "any"},
	}
	for _, c := range cases {
		route, result := table.Match(c.host, c.path, c.method)
		if result != Matched || route.Name != c.want {
			t.Errorf("Match(%q, %q, %q) = %v, want %s", c.host, c.path, c.method, route, c.want)
		}
	}
}

func TestNoMatchSaysWhy(t *testing.T) {
	table := compile(t, map[string]model.Match{
		"post": {Host: "a.example", Path: "/file", Methods: []string{"POST"}},
	})
	cases := []struct {
		host, path, method string
		want               MatchResult
	}{
		{"a.example", "/file", "GET", MethodNotAllowed},
		{"a.example", "/file/", "POST", NoRoute},
		{"b.example", "/file", "POST", NoRoute},
		{"", "", "", NoRoute},
	}
	for _, c := range cases {
		if route, result := table.Match(c.host, c.path, c.method); result != c.want || route != nil {
			t.Errorf("Match(%q, %q, %q) = %v %d, want %d", c.host, c.path, c.method, route, result, c.want)
		}
	}
}

func TestAllowedMethods(t *testing.T) {
	table := compile(t, map[string]model.Match{
		"post": {Host: "a.example", Path: "/file", Methods: []string{"POST"}},
		"get":  {Host: "*", PathPrefix: "/file", Methods: []string{"GET"}},
	})
	if got := table.AllowedMethods("a.example", "/file"); !slices.Equal(got, []string{"GET", "POST"}) {
		t.Errorf("AllowedMethods = %v", got)
	}
	if got := table.AllowedMethods("a.example", "/other"); len(got) != 0 {
		t.Errorf("AllowedMethods = %v for a path without routes", got)
	}
}

func TestAmbiguousRoutesAreRefused(t *testing.T) {
	pairs := [][2]model.Match{
		{{Host: "a.example", PathPrefix: "/x"}, {Host: "A.example", PathPrefix: "/x/"}},
		{{Host: "*", Path: "/x"}, {Host: "*", Path: "/x"}},
		{{Host: "*", PathStart: "/x/"}, {Host: "*", PathStart: "/x/"}},
		{{Host: "*", PathStart: "/x"}, {Host: "*", Path: "/y"}},
		{{Host: "*", PathStart: "/x/", PathPrefix: "/x"}, {Host: "*", Path: "/y"}},
		{{Host: "*", Path: "/x", Methods: []string{"GET", "PUT"}}, {Host: "*", Path: "/x", Methods: []string{"PUT"}}},
	}
	for _, pair := range pairs {
		if _, err := tryCompile(t, map[string]model.Match{"one": pair[0], "two": pair[1]}); err == nil {
			t.Errorf("%v and %v were accepted", pair[0], pair[1])
		}
	}
}

// TestPathStartBeginsThePath guards against requests that go to the service of a longer prefix,
// though their path lacks the last slash of it.
func TestPathStartBeginsThePath(t *testing.T) {
	table := compile(t, map[string]model.Match{
		"books":       {Host: "a.example", PathStart: "/books/"},
		"year":        {Host: "a.example", PathStart: "/books/year/"},
		"year-itself": {Host: "a.example", PathPrefix: "/books/year", Methods: []string{"PUT"}},
		"empty":       {Host: "a.example", PathStart: "/books//"},
		"root":        {Host: "b.example", PathStart: "/"},
	})
	cases := []struct{ host, path, method, want string }{
		{"a.example", "/books", "GET", ""},
		{"a.example", "/books/", "GET", "books"},
		{"a.example", "/books/1", "GET", "books"},
		{"a.example", "/books/year", "GET", "books"},
		{"a.example", "/books/year", "PUT", "year-itself"},
		{"a.example", "/books/year/", "GET", "year"},
		{"a.example", "/books/year/", "PUT", "year"},
		{"a.example", "/books/yearly/", "GET", "books"},
		{"a.example", "/books/year/../1", "GET", "year"},
		{"a.example", "/books//", "GET", "empty"},
		{"a.example", "/books//year/1", "GET", "empty"},
		{"a.example", "/books%2Fyear/", "GET", ""},
		{"a.example", "/books/%79ear/", "GET", "books"},
		{"a.example", "//books/1", "GET", ""},
		{"a.example", "/", "GET", ""},
		{"b.example", "/", "GET", "root"},
		{"b.example", "//x", "GET", "root"},
		{"b.example", "", "GET", ""},
		{"b.example", "*", "OPTIONS", ""},
	}
	for _, c := range cases {
		got := ""
		if route, result := table.Match(c.host, c.path, c.method); result == Matched {
			got = route.Name
		}
		if got != c.want {
			t.Errorf("%s %s %s: got %q, want %q", c.method, c.host, c.path, got, c.want)
		}
	}
}

// specificity reports whether a route matches a request, and ranks it in the
// order that the package comment states.
func specificity(match model.Match, host, path, method string) ([3]int, bool) {
	var rank [3]int
	switch {
	case match.Host == host:
		rank[0] = 1000
	case match.Host == "*":
		rank[0] = 0
	case strings.HasPrefix(match.Host, "*.") && strings.HasSuffix(host, match.Host[1:]) && host != match.Host[1:]:
		rank[0] = len(match.Host)
	default:
		return rank, false
	}
	prefix := strings.TrimSuffix(match.PathPrefix, "/")
	switch {
	case match.Path != "" && match.Path == path:
		rank[1] = 1000
	case match.PathPrefix != "" && (path == prefix || strings.HasPrefix(path, prefix+"/")):
		rank[1] = len(prefix)
	case match.PathStart != "" && strings.HasPrefix(path, match.PathStart):
		rank[1] = len(match.PathStart)
	default:
		return rank, false
	}
	if len(match.Methods) == 0 {
		return rank, true
	}
	rank[2] = 1
	return rank, slices.Contains(match.Methods, method)
}

// drawnPaths are the paths of drawn routes and of requests to them.
var drawnPaths = []string{"/", "/x", "/x/y", "/x/y/z", "/xy", "/x/", "/x//", "/x/y/", "//x"}

// drawMatches draws matches that often overlap and are never ambiguous.
func drawMatches(t testing.TB, rt *rapid.T, hosts ...string) map[string]model.Match {
	matches := map[string]model.Match{}
	for i := range rapid.IntRange(0, 12).Draw(rt, "routes") {
		match := model.Match{
			Host:    rapid.SampledFrom(hosts).Draw(rt, "host"),
			Methods: rapid.SampledFrom([][]string{nil, {"GET"}, {"POST"}, {"GET", "POST"}}).Draw(rt, "methods"),
		}
		path := rapid.SampledFrom(drawnPaths).Draw(rt, "path")
		switch rapid.SampledFrom([]string{"exact", "prefix", "start"}).Draw(rt, "form") {
		case "exact":
			match.Path = path
		case "prefix":
			match.PathPrefix = path
		default:
			match.PathStart = strings.TrimSuffix(path, "/") + "/"
		}
		name := fmt.Sprintf("route-%d", i)
		matches[name] = match
		if _, err := tryCompile(t, matches); err != nil {
			delete(matches, name)
		}
	}
	return matches
}

func TestMatchAgreesWithThePlainRule(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		matches := drawMatches(t, rt, "*", "a.b", "*.b", "*.a.b", "c.a.b", "b")
		table := compile(t, matches)
		host := rapid.SampledFrom([]string{"a.b", "b", "x.b", "x.a.b", "c.a.b", "other"}).Draw(rt, "request host")
		path := rapid.SampledFrom(drawnPaths).Draw(rt, "request path")
		method := rapid.SampledFrom([]string{"GET", "POST"}).Draw(rt, "request method")
		want, best := "", [3]int{-1}
		for name, match := range matches {
			rank, ok := specificity(match, host, path, method)
			if ok && slices.Compare(rank[:], best[:]) > 0 {
				want, best = name, rank
			}
		}
		got := ""
		if route, result := table.Match(host, path, method); result == Matched {
			got = route.Name
		}
		if got != want {
			rt.Fatalf("%s %s %s: got %q, want %q of %v", method, host, path, got, want, matches)
		}
	})
}

func FuzzMatch(f *testing.F) {
	table := compile(f, map[string]model.Match{
		"deep":   {Host: "*.example.com", PathPrefix: "/a/b"},
		"exact":  {Host: "a.example.com", Path: "/a/b/c", Methods: []string{"GET"}},
		"prefix": {Host: "*", PathPrefix: "/a"},
	})
	f.Add("a.example.com:80", "/a/b/c", "GET")
	f.Add("[::1]", "//", "POST")
	f.Fuzz(func(t *testing.T, host, path, method string) {
		route, result := table.Match(host, path, method)
		if (route != nil) != (result == Matched) {
			t.Fatalf("route %v with result %d", route, result)
		}
		if route != nil && path != "/a" && !strings.HasPrefix(path, "/a/") {
			t.Fatalf("%q matched %s", path, route.Name)
		}
	})
}

func BenchmarkMatch(b *testing.B) {
	for _, services := range []int{10, 310} {
		matches := map[string]model.Match{}
		for i := range services {
			matches[fmt.Sprintf("read-%d", i)] = model.Match{Host: fmt.Sprintf("s%d.example.com", i), PathPrefix: "/books"}
			matches[fmt.Sprintf("file-%d", i)] = model.Match{Host: fmt.Sprintf("s%d.example.com", i), Path: "/books/file", Methods: []string{"POST"}}
		}
		matches["rest"] = model.Match{Host: "*", PathPrefix: "/"}
		table := compile(b, matches)
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Match("s7.example.com:8080", "/books/open/1/pages", "GET")
			}
		})
	}
}
