package validation_test

import (
	"fmt"
	"testing"

	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"github.com/levertide/levertide/pkg/internal/fixedseed"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/routing"
	"github.com/levertide/levertide/pkg/snapshot"
	"github.com/levertide/levertide/pkg/validation"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

var methodNames = []string{"GET", "POST", "PUT"}

func drawRoute(t *rapid.T, name string) model.Resource {
	match := model.Match{
		Host:    rapid.SampledFrom([]string{"*", "*.a", "*.b.a", "b.a", "c.b.a"}).Draw(t, "host"),
		Methods: rapid.SliceOfNDistinct(rapid.SampledFrom(methodNames), 0, 2, rapid.ID).Draw(t, "methods"),
	}
	path := rapid.SampledFrom([]string{"/", "/x", "/x/y", "/x y", "/é", "/100%"}).Draw(t, "path")
	if rapid.Bool().Draw(t, "prefix") {
		match.PathPrefix = path
	} else {
		match.Path = path
	}
	return model.Resource{
		Key:   model.Key{Kind: model.KindRoute, Name: name},
		Route: &model.Route{Match: match, Service: "s", Repeatable: model.RepeatNever, Priority: model.PriorityLow},
	}
}

func drawSet(t *rapid.T) []model.Resource {
	resources := []model.Resource{{
		Key:     model.Key{Kind: model.KindService, Name: "s"},
		Service: &model.Service{Slots: 1, Connections: 1},
	}}
	for i := range rapid.IntRange(1, 12).Draw(t, "routes") {
		resources = append(resources, drawRoute(t, fmt.Sprintf("r-%d", i)))
	}
	return resources
}

// TestConflictsAgreeWithRouting checks that validation reports a set of routes
// exactly when the routing table that nodes use refuses it as ambiguous.
func TestConflictsAgreeWithRouting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		resources := drawSet(t)
		built, err := snapshot.New(1, resources)
		if err != nil {
			t.Fatal(err)
		}
		problems := validation.CheckResources(resources, validation.DefaultLimits())
		_, err = routing.Compile(built)
		if ambiguous := errorx.IsOfType(err, routing.ErrAmbiguousRoute); ambiguous != (len(problems) > 0) || (err != nil && !ambiguous) {
			t.Fatalf("problems %v, routing says %v", problems, err)
		}
	})
}

// TestAcceptedRoutesTakeRequests looks up, for each route of an accepted set, a
// request that no other route could match with a higher precedence.
func TestAcceptedRoutesTakeRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		resources := drawSet(t)
		if len(validation.CheckResources(resources, validation.DefaultLimits())) > 0 {
			t.Skip("not accepted")
		}
		built, err := snapshot.New(1, resources)
		if err != nil {
			t.Fatal(err)
		}
		table, err := routing.Compile(built)
		if err != nil {
			t.Fatal(err)
		}
		for name, route := range built.Routes() {
			requireTaken(t, table, name, route.Match)
		}
	})
}

func requireTaken(t *rapid.T, table *routing.Table, name string, match model.Match) {
	host, path, method := match.Host, match.Path, "OTHER"
	if host[0] == '*' {
		host = "some-other" + host[1:]
	}
	if match.PathPrefix == "/" {
		path = "/some/other"
	} else if match.PathPrefix != "" {
		path = match.PathPrefix + "/some/other"
	}
	if len(match.Methods) > 0 {
		method = match.Methods[0]
	}
	if got, result := table.Match(host, path, method); result != routing.Matched || got.Name != name {
		t.Fatalf("%s %s%s is not taken by %s", method, host, path, name)
	}
}
