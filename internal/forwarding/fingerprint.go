package forwarding

import (
	"net/http"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/pkg/quarantine"
)

// identity caches the fingerprint of one request, which is computed when it is first needed:
// while no crashing requests are known, none is.
type identity struct {
	taken       bool
	fingerprint quarantine.Fingerprint
}

// of returns the fingerprint of a request whose body was read. For a body that is not buffered
// completely, it covers the buffered beginning and the length.
func (i *identity) of(r *http.Request, body *requestBody, whose principal) quarantine.Fingerprint {
	if i.taken {
		return i.fingerprint
	}
	request := quarantine.Request{
		Method:     r.Method,
		Host:       r.Host,
		Target:     r.URL.RequestURI(),
		Body:       body.held,
		BodyLength: body.length,
	}
	for _, name := range httpconn.CredentialHeaders {
		request.Credentials = append(request.Credentials, r.Header.Get(name))
	}
	if whose.checked {
		// The tenant stands for the key, which the node beside the worker does not see.
		request.Credentials = append(request.Credentials, whose.tenant)
	}
	i.taken, i.fingerprint = true, request.Fingerprint()
	return i.fingerprint
}

func (c *call) fingerprint() quarantine.Fingerprint {
	return c.identified.of(c.request, c.body, c.principal())
}

func (c *workerCall) fingerprint() quarantine.Fingerprint {
	return c.identified.of(c.inbound, c.body, c.principal)
}
