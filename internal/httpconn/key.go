package httpconn

import (
	"net/http"
	"slices"
	"strings"
)

// KeyScheme defines how callers send their keys: in a header, after the name of an HTTP
// authentication scheme. A key is a secret: it must never leave the node or be shown
// anywhere. The zero value finds no keys.
type KeyScheme struct {
	// Header is canonical.
	Header string
	// Scheme is compared without regard to case.
	Scheme string
}

// Read returns the key of a request; false when there is none. When the header has several
// values, none is used, since programs might interpret them differently.
func (s KeyScheme) Read(header http.Header) (string, bool) {
	values := header[s.Header]
	if len(values) != 1 {
		return "", false
	}
	return s.keyIn(values[0])
}

func (s KeyScheme) keyIn(value string) (string, bool) {
	scheme, key, _ := strings.Cut(value, " ")
	key = strings.TrimSpace(key)
	if key == "" || !strings.EqualFold(scheme, s.Scheme) {
		return "", false
	}
	return key, true
}

// Strip removes the values that may hold a key. The slice of values is not changed in
// place, since requests share it.
func (s KeyScheme) Strip(header http.Header) {
	values := header[s.Header]
	if !slices.ContainsFunc(values, s.holdsKey) {
		return
	}
	var rest []string
	for _, value := range values {
		if !s.holdsKey(value) {
			rest = append(rest, value)
		}
	}
	if len(rest) == 0 {
		delete(header, s.Header)
		return
	}
	header[s.Header] = rest
}

// holdsKey reports whether a reader of a value may find a key in it: at its beginning, or
// after the value of another scheme where a proxy has joined values to a list.
func (s KeyScheme) holdsKey(value string) bool {
	first := strings.TrimLeft(value, " \t,")
	if s.hasSchemePrefix(first) {
		return true
	}
	_, rest, more := strings.Cut(first, ",")
	for more {
		var part string
		part, rest, more = strings.Cut(rest, ",")
		part = strings.TrimLeft(part, " \t")
		if s.hasSchemePrefix(part) && strings.ContainsAny(part[len(s.Scheme):min(len(s.Scheme)+1, len(part))], " \t") {
			return true
		}
	}
	return false
}

// hasSchemePrefix reports whether a text begins with the name of the scheme.
func (s KeyScheme) hasSchemePrefix(text string) bool {
	return len(text) >= len(s.Scheme) && strings.EqualFold(text[:len(s.Scheme)], s.Scheme)
}
