package httpconn

import (
	"net/http"
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
