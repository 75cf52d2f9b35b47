package validation

import (
	"fmt"

	"github.com/levertide/levertide/pkg/model"
)

func (s subject) checkRoute(route model.Route) {
	s.checkHost(route.Match.Host)
	s.checkPaths(route.Match)
	s.checkMethods(route.Match.Methods)
	s.checkDuration("spec.timeout", route.Timeout, s.checker.limits.MaxTimeout)
	s.checkReference("spec.service", model.KindService, route.Service)
	if route.Service == "" {
		s.report("spec.service", "the route names no service", "")
	}
	s.checkChoices(route)
	if route.Credential != nil {
		s.checkCredential(*route.Credential)
	}
}

func (s subject) checkChoices(route model.Route) {
	switch route.Repeatable {
	case model.RepeatSafeMethods, model.RepeatAlways, model.RepeatNever:
	default:
		s.report("spec.repeatable", fmt.Sprintf("%q is not a value of this field", route.Repeatable), "")
	}
	switch route.Priority {
	case model.PriorityLow, model.PriorityNormal, model.PriorityHigh:
	default:
		s.report("spec.priority", fmt.Sprintf("%q is not a value of this field", route.Priority), "")
	}
}

func (s subject) checkPaths(match model.Match) {
	switch {
	case match.Path != "" && match.PathPrefix != "":
		s.report("spec.match.pathPrefix", "path and pathPrefix are both given", "keep one of them")
	case match.PathStart != "" && (match.Path != "" || match.PathPrefix != ""):
		s.report("spec.match.pathStart", "path or pathPrefix is given, too", "keep one of them")
	case match.PathStart != "":
		s.checkPath("spec.match.pathStart", match.PathStart)
		s.checkStartEnd(match.PathStart)
	case match.Path != "":
		s.checkPath("spec.match.path", match.Path)
	case match.PathPrefix != "":
		s.checkPath("spec.match.pathPrefix", match.PathPrefix)
		s.checkPrefixEnd(match.PathPrefix)
	default:
		s.report("spec.match", "neither path nor pathPrefix is given", `write pathPrefix: / to take every path`)
	}
}

func (s subject) checkMethods(methods []string) {
	if len(methods) > s.checker.limits.MaxMethods {
		s.report("spec.match.methods", fmt.Sprintf("%d methods are listed, the limit is %d", len(methods), s.checker.limits.MaxMethods), "")
	}
	seen := make(map[string]struct{}, len(methods))
	for index, method := range methods {
		field := fmt.Sprintf("spec.match.methods[%d]", index)
		if _, duplicate := seen[method]; duplicate {
			s.report(field, fmt.Sprintf("%q is listed twice", method), "")
		}
		seen[method] = struct{}{}
		s.checkMethod(field, method)
	}
}

func (s subject) checkCredential(credential model.Credential) {
	s.checkReference("spec.credential.secret", model.KindSecret, credential.Secret)
	if credential.Secret == "" {
		s.report("spec.credential.secret", "the credential names no secret", "")
	}
	s.checkHeader("spec.credential.header", credential.Header)
	resource, found := s.checker.byKey[model.Key{Kind: model.KindSecret, Name: credential.Secret}]
	if found && resource.Secret != nil {
		s.checkHeaderValue("spec.credential.secret", resource.Secret.Value)
	}
}
