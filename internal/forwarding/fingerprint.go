package forwarding

import (
	"net/http"

	"github.com/levertide/levertide/pkg/quarantine"
)

// fingerprint returns the fingerprint of a request of which the body was read. Of a body
// that is not held whole, the beginning and the length count.
func fingerprint(r *http.Request, body *requestBody, dialect *Dialect) quarantine.Fingerprint {
	request := quarantine.Request{
		Method:     r.Method,
		Host:       r.Host,
		Target:     r.URL.RequestURI(),
		Body:       body.held,
		BodyLength: body.length,
	}
	for _, name := range dialect.Credentials {
		request.Credentials = append(request.Credentials, r.Header.Get(name))
	}
	return request.Fingerprint()
}
