package validation

import (
	"fmt"

	"github.com/levertide/levertide/pkg/model"
)

// CheckResources returns a problem for every rule that a complete set breaks.
func CheckResources(resources []model.Resource, limits Limits) []Problem {
	checker := newChecker(resources, limits)
	checker.checkReferences = true
	checker.checkEmpty()
	checker.checkAll()
	return checker.problems
}

// CheckPart returns a problem for every rule that a part of a set breaks. A part may
// be empty and may lack services that only the Calls of a service name, but must
// contain the service and the secret of each of its routes.
func CheckPart(resources []model.Resource, limits Limits) []Problem {
	checker := newChecker(resources, limits)
	checker.checkReferences = true
	checker.partial = true
	checker.checkAll()
	return checker.problems
}

// checker checks a set in one pass and collects its problems.
type checker struct {
	limits    Limits
	resources []model.Resource
	byKey     map[model.Key]model.Resource
	// unread holds the keys of documents of which only the key could be read.
	unread map[model.Key]struct{}
	// keyHolders maps each tenant key checked so far to the first tenant that lists it.
	keyHolders      map[model.KeyDigest]model.Key
	checkReferences bool
	partial         bool
	problems        []Problem
}

func newChecker(resources []model.Resource, limits Limits) *checker {
	checker := &checker{
		limits: limits, resources: resources,
		byKey:      make(map[model.Key]model.Resource, len(resources)),
		keyHolders: map[model.KeyDigest]model.Key{},
	}
	for _, resource := range resources {
		checker.byKey[resource.Key] = resource
	}
	return checker
}

func (c *checker) report(problem Problem) { c.problems = append(c.problems, problem) }

// subject reports problems of one resource.
type subject struct {
	checker *checker
	key     model.Key
}

func (s subject) report(field, message, hint string) {
	s.checker.report(Problem{Key: s.key, Field: field, Message: message, Hint: hint})
}

// checkRange reports a number below lowest or above highest.
func (s subject) checkRange(field string, value, lowest, highest int) {
	if value < lowest || value > highest {
		s.report(field, fmt.Sprintf("%d is not between %d and %d", value, lowest, highest), "")
	}
}

func (c *checker) checkEmpty() {
	if len(c.resources) == 0 && len(c.unread) == 0 {
		c.report(Problem{Message: "the set declares nothing", Hint: "a set is applied whole: an empty one would remove everything"})
	}
}

func (c *checker) checkCount() {
	if len(c.resources) > c.limits.MaxResources {
		c.report(Problem{Message: fmt.Sprintf("the set declares %d resources, the limit is %d", len(c.resources), c.limits.MaxResources)})
	}
}

func (c *checker) checkAll() {
	c.checkCount()
	total := 0
	for _, resource := range c.resources {
		total += c.checkResource(resource)
	}
	if total > c.limits.MaxSetBytes {
		c.report(Problem{Message: fmt.Sprintf("the set takes %d bytes, the limit is %d", total, c.limits.MaxSetBytes)})
	}
	c.checkShadows()
}

// checkResource returns the size of the resource's encoding in bytes.
func (c *checker) checkResource(resource model.Resource) int {
	target := subject{c, resource.Key}
	if err := resource.CheckShape(); err != nil {
		target.report("", "the body does not agree with the kind", "")
		return 0
	}
	target.checkName(resource.Key.Name)
	switch resource.Key.Kind {
	case model.KindService:
		target.checkService(*resource.Service)
	case model.KindRoute:
		target.checkRoute(*resource.Route)
	case model.KindSecret:
		target.checkSecret(*resource.Secret)
	case model.KindTenant:
		target.checkTenant(*resource.Tenant)
	default:
		target.report("", "resources of this kind cannot be declared", "")
	}
	encoded, _ := model.Encode(resource)
	if len(encoded) > c.limits.MaxResourceBytes {
		target.report("spec", fmt.Sprintf("the resource takes %d bytes, the limit is %d", len(encoded), c.limits.MaxResourceBytes), "")
	}
	return len(encoded)
}

// checkReference reports a name that no document declares.
func (s subject) checkReference(field string, kind model.Kind, name string) {
	key := model.Key{Kind: kind, Name: name}
	if !s.checker.checkReferences || name == "" {
		return
	}
	if _, found := s.checker.byKey[key]; found {
		return
	}
	if _, declared := s.checker.unread[key]; declared {
		return
	}
	s.report(field, fmt.Sprintf("%s is not declared in the set", key), "a set is applied whole: declare it in the same set")
}
