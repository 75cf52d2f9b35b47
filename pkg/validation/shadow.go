package validation

import (
	"fmt"

	"github.com/levertide/levertide/pkg/model"
)

// place is where in the order of precedence a route stands: routes with
// different places never tie.
type place struct{ host, path, prefix string }

// claim is one method of a place; the empty method stands for a route that
// lists none.
type claim struct {
	place  place
	method string
}

// checkShadows reports routes whose requests are taken by another route of the
// same precedence, so that nothing could decide between the two.
func (c *checker) checkShadows() {
	first := map[claim]model.Key{}
	for _, resource := range c.resources {
		if resource.Route != nil {
			c.claimAll(first, resource)
		}
	}
}

// claimAll reports at most one clash for each other route.
func (c *checker) claimAll(first map[claim]model.Key, resource model.Resource) {
	match := resource.Route.Match
	target := place{host: match.Host, path: match.Path, prefix: match.PathPrefix}
	methods := match.Methods
	if len(methods) == 0 {
		methods = []string{""}
	}
	reported := map[model.Key]struct{}{}
	for _, method := range methods {
		wanted := claim{target, method}
		holder, taken := first[wanted]
		if !taken {
			first[wanted] = resource.Key
			continue
		}
		if _, again := reported[holder]; again || holder == resource.Key {
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
