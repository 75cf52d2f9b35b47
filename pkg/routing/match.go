package routing

import (
	"maps"
	"slices"
	"strings"
)

// maximumHostLength is the length, in bytes, of the longest host name that is
// looked up.
const maximumHostLength = 255

// MatchResult is the outcome of a look-up.
type MatchResult uint8

// The results of a look-up.
const (
	// Matched: the returned route matches the request.
	Matched MatchResult = iota
	// NoRoute: no route matches host and path.
	NoRoute
	// MethodNotAllowed: routes match host and path, but none accepts the method.
	MethodNotAllowed
	// OutOfScope: the most specific route for the request is outside the scope
	// of the snapshot, so this node does not hold it.
	OutOfScope
)

// Match returns the most specific route for a request. Host is the Host
// header, with or without a port; path is the path in the form in which the paths of
// the routes are given, decoded or as sent. The route is nil unless the result is Matched.
func (t *Table) Match(host, path, method string) (*Route, MatchResult) {
	lookup := search{path: path, method: method}
	route := t.find(&lookup, host)
	switch {
	case route != nil && route.outOfScope:
		return nil, OutOfScope
	case route != nil:
		return route, Matched
	case lookup.pathMatched:
		return nil, MethodNotAllowed
	default:
		return nil, NoRoute
	}
}

// search is a look-up in progress.
type search struct {
	path, method string
	// pathMatched reports whether a route in scope matches host and path.
	pathMatched bool
	// collect, when not nil, receives the methods that routes in scope list for
	// the host and path.
	collect map[string]struct{}
}

// find returns the most specific route of all hosts, or nil.
func (t *Table) find(lookup *search, host string) *Route {
	var buffer [maximumHostLength]byte
	name := normalizeHost(&buffer, host)
	if len(name) > 0 {
		if route := lookup.matchHost(t.exact[string(name)]); route != nil {
			return route
		}
		if route := t.findSuffix(lookup, name); route != nil {
			return route
		}
	}
	return lookup.matchHost(t.anyHost)
}

// findSuffix tries the suffixes of a host from the longest to the shortest.
func (t *Table) findSuffix(lookup *search, name []byte) *Route {
	if len(t.suffixes) == 0 {
		return nil
	}
	for i := 1; i < len(name); i++ {
		if name[i] != '.' {
			continue
		}
		if route := lookup.matchHost(t.suffixes[string(name[i:])]); route != nil {
			return route
		}
	}
	return nil
}

// normalizeHost returns the host in lower case without port and trailing dot;
// it is empty when the host is too long for any name.
func normalizeHost(buffer *[maximumHostLength]byte, host string) []byte {
	host = strings.TrimSuffix(withoutPort(host), ".")
	if len(host) > maximumHostLength {
		return nil
	}
	for i := range len(host) {
		buffer[i] = lower(host[i])
	}
	return buffer[:len(host)]
}

func withoutPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.IndexByte(host[colon:], ']') >= 0 {
		return host
	}
	return host[:colon]
}

func lower(character byte) byte {
	if character >= 'A' && character <= 'Z' {
		return character + ('a' - 'A')
	}
	return character
}

// matchHost returns the most specific route of one host, or nil.
func (s *search) matchHost(paths *pathTable) *Route {
	if paths == nil {
		return nil
	}
	if route := s.matchMethod(paths.exact[s.path]); route != nil {
		return route
	}
	return s.longestPrefix(&paths.prefix)
}

// longestPrefix returns the route with the longest prefix, or nil.
func (s *search) longestPrefix(node *prefixNode) *Route {
	if s.path == "" || s.path[0] != '/' {
		return nil
	}
	best := s.matchNode(node, true)
	rest := s.path[1:]
	for node.children != nil {
		segment, after, more := strings.Cut(rest, "/")
		node = node.children[segment]
		if node == nil {
			return best
		}
		if route := s.matchNode(node, more); route != nil {
			best = route
		}
		if !more {
			return best
		}
		rest = after
	}
	return best
}

// matchNode returns the route of a node that takes the path. Slash tells whether the path goes on
// after the node with a slash.
func (s *search) matchNode(node *prefixNode, slash bool) *Route {
	if slash {
		if route := s.matchMethod(&node.below); route != nil {
			return route
		}
	}
	return s.matchMethod(&node.methods)
}

// matchMethod returns the route of one host and path that accepts the method, or nil.
func (s *search) matchMethod(methods *methodTable) *Route {
	if methods == nil || methods.empty() {
		return nil
	}
	s.pathMatched = s.pathMatched || methods.hasInScope
	if s.collect != nil {
		methods.collect(s.collect)
	}
	return methods.find(s.method)
}

// AllowedMethods returns the sorted methods that the routes in scope list for a
// host and path. It serves responses to requests whose method is not allowed.
func (t *Table) AllowedMethods(host, path string) []string {
	lookup := search{path: path, collect: map[string]struct{}{}}
	t.find(&lookup, host)
	return slices.Sorted(maps.Keys(lookup.collect))
}
