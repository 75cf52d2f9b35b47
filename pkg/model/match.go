package model

import "strings"

// The forms of Match.Host besides an exact name.
const (
	// AnyHost matches every host.
	AnyHost = "*"
	// AnySubdomain is the prefix of a host that matches every sub-domain of the rest.
	AnySubdomain = "*."
)

// CanonicalHost returns Host in the form used for comparison: in lower case and
// without a trailing dot.
func (m Match) CanonicalHost() string {
	return strings.ToLower(strings.TrimSuffix(m.Host, "."))
}

// CanonicalPrefix returns PathPrefix in the form used for comparison: without a
// trailing slash, so that the prefix of every path is empty.
func (m Match) CanonicalPrefix() string { return strings.TrimSuffix(m.PathPrefix, "/") }

// Overlaps reports whether some host and path satisfies both matches.
// Methods are ignored.
func (m Match) Overlaps(other Match) bool {
	return hostsOverlap(m.CanonicalHost(), other.CanonicalHost()) && m.pathsOverlap(other)
}

func hostsOverlap(one, other string) bool {
	return hostCovers(one, other) || hostCovers(other, one)
}

// hostCovers reports whether wide matches every host that narrow matches.
func hostCovers(wide, narrow string) bool {
	switch {
	case wide == AnyHost || wide == narrow:
		return true
	case strings.HasPrefix(wide, AnySubdomain):
		suffix := wide[len(AnyHost):]
		return strings.HasSuffix(narrow, suffix) && narrow != suffix
	default:
		return false
	}
}

// pathsOverlap reports whether some path satisfies both matches. All paths of a match begin with
// its shortest one, so that one of the two shortest paths satisfies both if any does.
func (m Match) pathsOverlap(other Match) bool {
	return m.takesPath(other.shortestPath()) || other.takesPath(m.shortestPath())
}

// takesPath reports whether a path satisfies the match.
func (m Match) takesPath(path string) bool {
	switch {
	case m.Path != "":
		return path == m.Path
	case m.PathStart != "":
		return strings.HasPrefix(path, m.PathStart)
	default:
		prefix := m.CanonicalPrefix()
		return strings.HasPrefix(path, prefix) && (len(path) == len(prefix) || path[len(prefix)] == '/')
	}
}

// shortestPath returns the shortest path that satisfies the match.
func (m Match) shortestPath() string {
	switch {
	case m.Path != "":
		return m.Path
	case m.PathStart != "":
		return m.PathStart
	case m.CanonicalPrefix() == "":
		return "/"
	default:
		return m.CanonicalPrefix()
	}
}
