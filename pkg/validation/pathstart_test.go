package validation_test

import (
	"strings"
	"testing"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/validation"
)

// TestPathStarts checks routes by the beginning of their paths, which manifests cannot declare.
func TestPathStarts(t *testing.T) {
	for _, c := range []struct {
		one, two model.Match
		want     string
	}{
		{model.Match{PathStart: "/a/"}, model.Match{PathPrefix: "/a"}, ""},
		{model.Match{PathStart: "/a/"}, model.Match{PathStart: "/a/b/"}, ""},
		{model.Match{PathStart: "/a/"}, model.Match{PathStart: "/a/"}, "the same requests are taken already"},
		{model.Match{PathStart: "/a"}, model.Match{Path: "/b"}, `a start ends with "/"`},
		{model.Match{PathStart: "a/"}, model.Match{Path: "/b"}, `it does not start with "/"`},
		{model.Match{PathStart: "/a/", PathPrefix: "/a"}, model.Match{Path: "/b"}, "path or pathPrefix is given, too"},
	} {
		resources := []model.Resource{{Key: model.Key{Kind: model.KindService, Name: "ledger"}, Service: &model.Service{Slots: 1, Connections: 1}}}
		for name, match := range map[string]model.Match{"one": c.one, "two": c.two} {
			match.Host = "*"
			resources = append(resources, model.Resource{
				Key:   model.Key{Kind: model.KindRoute, Name: name},
				Route: &model.Route{Match: match, Service: "ledger", Repeatable: model.RepeatNever, Priority: model.PriorityNormal},
			})
		}
		var found []string
		for _, problem := range validation.CheckResources(resources, validation.DefaultLimits()) {
			found = append(found, problem.String())
		}
		text := strings.Join(found, "; ")
		if c.want == "" && text != "" || !strings.Contains(text, c.want) {
			t.Errorf("%+v, %+v: %q, want %q", c.one, c.two, text, c.want)
		}
	}
}
