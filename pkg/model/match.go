package model

import "strings"

// The forms of Match.Host besides an exact name.
const (
	// AnyHost takes every host.
	AnyHost = "*"
	// AnySubdomain begins a host that takes every sub-domain of what follows.
	AnySubdomain = "*."
)

// CanonicalHost returns Host as hosts are compared: in lower case and without
// a trailing dot.
func (m Match) CanonicalHost() string {
	return strings.ToLower(strings.TrimSuffix(m.Host, "."))
}

// CanonicalPrefix returns PathPrefix as prefixes are compared: without a
// trailing slash, so that the prefix of every path is empty.
func (m Match) CanonicalPrefix() string { return strings.TrimSuffix(m.PathPrefix, "/") }

// Overlaps reports whether both matches take some host and path in common.
// Their methods are not looked at.
func (m Match) Overlaps(other Match) bool {
	return hostsOverlap(m.CanonicalHost(), other.CanonicalHost()) && m.pathsOverlap(other)
}

func hostsOverlap(one, other string) bool {
	return hostCovers(one, other) || hostCovers(other, one)
}

// hostCovers reports whether wide takes every host that narrow takes.
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
		return prefixTakes(other.CanonicalPrefix(), m.Path)
	case other.Path != "":
		return prefixTakes(m.CanonicalPrefix(), other.Path)
	default:
		one, two := m.CanonicalPrefix(), other.CanonicalPrefix()
		return prefixTakes(one, two) || prefixTakes(two, one)
	}
}

// prefixTakes reports whether a canonical prefix takes a path or a longer prefix.
func prefixTakes(prefix, path string) bool {
	return strings.HasPrefix(path, prefix) && (len(path) == len(prefix) || path[len(prefix)] == '/')
}
