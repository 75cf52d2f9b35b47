package dataplane

import (
	"net/http"
	"time"

	"github.com/levertide/levertide/internal/httpconn"
)

const (
	schemePlain     = "http"
	schemeEncrypted = "https"

	// continueWait is how long a long body is held back while waiting for the
	// other node or the worker to answer 100 Continue.
	continueWait = 2 * time.Second
)

func newPeerTransport(config *Config) *http.Transport {
	transport := newTransport(config)
	transport.MaxIdleConnsPerHost = config.Limits.PeerIdleConnections
	transport.IdleConnTimeout = config.Limits.PeerIdle
	transport.MaxResponseHeaderBytes += addedHeaderBytes
	if config.PeerTLS != nil {
		transport.DialTLSContext = httpconn.Track(httpconn.Encrypt(config.Dial, config.PeerTLS), config.Limits.Connect)
	}
	return transport
}

// newWorkerTransport returns a transport that opens at most the given number of connections. The
// bound on requests alone does not ensure that: a connection that was opened for one request stays
// open when an older one became free first and served the request.
func newWorkerTransport(config *Config, connections int) *http.Transport {
	transport := newTransport(config)
	transport.MaxConnsPerHost = connections
	transport.MaxIdleConnsPerHost = config.Limits.PeerIdleConnections
	transport.IdleConnTimeout = config.Limits.WorkerIdle
	return transport
}

func newTransport(config *Config) *http.Transport {
	return &http.Transport{
		DialContext:            httpconn.Track(config.Dial, config.Limits.Connect),
		DisableCompression:     true,
		ExpectContinueTimeout:  continueWait,
		MaxResponseHeaderBytes: int64(config.Limits.HeaderBytes),
	}
}
