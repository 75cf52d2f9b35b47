package dataplane

import (
	"net/http"
	"strings"

	"github.com/levertide/levertide/pkg/outcome"
)

// checkRequest refuses requests that different programs may interpret
// differently, and those that ask for unsupported features.
func checkRequest(r *http.Request) error {
	switch {
	case !r.ProtoAtLeast(1, 1):
		// In HTTP/1.0 the end of an answer cannot always be distinguished from a
		// broken connection.
		return outcome.New(outcome.Unsupported)
	case r.Method == http.MethodConnect || asksForUpgrade(r.Header):
		return outcome.New(outcome.Unsupported)
	case !plainPath(r.URL.Path, r.URL.RawPath):
		return outcome.New(outcome.Malformed)
	}
	return nil
}

func asksForUpgrade(header http.Header) bool {
	if len(header["Upgrade"]) > 0 {
		return true
	}
	for _, list := range header[connectionName] {
		for option := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(option), "upgrade") {
				return true
			}
		}
	}
	return false
}

// plainPath reports whether all programs interpret a path alike. It refuses empty
// segments, "." and ".." segments (also with parameters), backslashes, control
// characters, and percent-encoded slashes and backslashes. Nothing is rewritten:
// an accepted path reaches the worker unchanged.
func plainPath(path, rawPath string) bool {
	if path == "" || path[0] != '/' || hidesSlash(rawPath) {
		return false
	}
	start := 1
	for i := 1; i <= len(path); i++ {
		if i < len(path) && path[i] != '/' {
			if !plainCharacter(path[i]) {
				return false
			}
			continue
		}
		if !plainSegment(path[start:i], i == len(path)) {
			return false
		}
		start = i + 1
	}
	return true
}

func plainCharacter(character byte) bool {
	return character >= ' ' && character != '\\' && character != 0x7f
}

// plainSegment accepts an empty segment only at the end of the path.
func plainSegment(segment string, last bool) bool {
	if segment == "" {
		return last
	}
	name, _, _ := strings.Cut(segment, ";")
	return name != "." && name != ".."
}

func hidesSlash(rawPath string) bool {
	for i := 0; i+2 < len(rawPath); i++ {
		if rawPath[i] != '%' {
			continue
		}
		switch rawPath[i+1 : i+3] {
		case "2f", "2F", "5c", "5C":
			return true
		}
	}
	return false
}
