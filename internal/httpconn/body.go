package httpconn

import (
	"io"
	"net/http"
)

// IdentityEncoding is the transfer encoding to give with EmptyBody: it keeps the
// transport from probing or chunking it.
var IdentityEncoding = []string{"identity"}

// EmptyBody is a body without content that is neither nil nor http.NoBody, so
// that the transport considers the request one that it cannot repeat.
type EmptyBody struct{}

// Read implements io.Reader.
func (EmptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (EmptyBody) Close() error { return nil }

// NeedsContentLength reports whether requests with the method carry
// "Content-Length: 0" when they have no body.
func NeedsContentLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// HideIdempotencyKey changes the names of idempotency keys to lower case, which
// is equivalent for every receiver. The transport repeats a request without a
// body only if it finds such a key under its canonical name.
func HideIdempotencyKey(header http.Header) {
	renameHeader(header, "Idempotency-Key", "idempotency-key")
	renameHeader(header, "X-Idempotency-Key", "x-idempotency-key")
}

func renameHeader(header http.Header, from, to string) {
	if values, ok := header[from]; ok {
		header[to] = values
		delete(header, from)
	}
}

// BodyAllowed reports whether an answer with the status may have a body.
func BodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
