package httpconn

import (
	"net/http"
	"net/url"
	"strings"
)

// PathAsSent returns the path of a received request as the client sent it, without its query.
func PathAsSent(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if strings.HasPrefix(path, "/") {
		return path
	}
	// The target is a whole URL, or the request was not received.
	return r.URL.EscapedPath()
}

// ForwardedURL returns the URL of a request that carries the target of a received one unchanged to
// an address.
func ForwardedURL(r *http.Request, scheme, address string) *url.URL {
	forwarded := &url.URL{
		Scheme:     scheme,
		Host:       address,
		Path:       r.URL.Path,
		RawPath:    r.URL.RawPath,
		RawQuery:   r.URL.RawQuery,
		ForceQuery: r.URL.ForceQuery,
	}
	if path := PathAsSent(r); path != forwarded.EscapedPath() && canBeOpaque(path) {
		// Package url would escape what a path may not have.
		forwarded.Opaque = path
	}
	return forwarded
}

// Forwardable reports whether ForwardedURL keeps the target of a request.
func Forwardable(r *http.Request) bool {
	path := PathAsSent(r)
	return canBeOpaque(path) || path == r.URL.EscapedPath()
}

// canBeOpaque reports whether package url writes an opaque path as it is: it takes two slashes for
// the beginning of a host.
func canBeOpaque(path string) bool {
	return strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//")
}
