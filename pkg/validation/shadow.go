package validation

import (
	"fmt"

	"github.com/levertide/levertide/pkg/model"
)

// precedence is the position of a route in the order of precedence. Routes with
// different values never tie.
type precedence struct{ host, path, prefix, start string }

// claim is one method at one precedence; the empty method stands for a route that
// lists none.
type claim struct {
	precedence precedence
	method     string
}

// checkShadows reports routes that match the same requests as another route of the
// same precedence: nothing would decide between the two.
func (c *checker) checkShadows() {
	first := map[claim]model.Key{}
	for _, resource := range c.resources {
		if resource.Route != nil {
			c.claimAll(first, resource)
		}
	}
}

// claimAll claims the methods of one route, and reports at most one conflict with
// each other route.
func (c *checker) claimAll(first map[claim]model.Key, resource model.Resource) {
	match := resource.Route.Match
	target := precedence{host: match.Host, path: match.Path, prefix: match.PathPrefix, start: match.PathStart}
	methods := match.Methods
	if len(methods) == 0 {
		methods = []string{""}
	}
	reported := map[model.Key]struct{}{}
	for _, method := range methods {
		claimed := claim{target, method}
		holder, taken := first[claimed]
		if !taken {
			first[claimed] = resource.Key
			continue
		}
		if _, alreadyReported := reported[holder]; alreadyReported || holder == resource.Key {
			continue
		}
		reported[holder] = struct{}{}
		c.report(shadowProblem(resource.Key, holder, method))
	}
}

func shadowProblem(key, holder model.Key, method string) Problem {
	problem := Problem{
		Key:        key,
		Field:      "spec.match",
		Message:    "the same requests are taken already by",
		Other:      holder,
		OtherField: "spec.match",
		Hint:       "change host, path or methods of one of them",
	}
	if method != "" {
		problem.Message = fmt.Sprintf("the same %s requests are taken already by", method)
	}
	return problem
}
