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

func (m Match) pathsOverlap(other Match) bool {
	switch {
	case m.Path != "" && other.Path != "":
		return m.Path == other.Path
	case m.Path != "":
		return prefixCovers(other.CanonicalPrefix(), m.Path)
	case other.Path != "":
		return prefixCovers(m.CanonicalPrefix(), other.Path)
	default:
		one, two := m.CanonicalPrefix(), other.CanonicalPrefix()
		return prefixCovers(one, two) || prefixCovers(two, one)
	}
}

// prefixCovers reports whether a canonical prefix matches a path or a longer prefix.
func prefixCovers(prefix, path string) bool {
	return strings.HasPrefix(path, prefix) && (len(path) == len(prefix) || path[len(prefix)] == '/')
}
