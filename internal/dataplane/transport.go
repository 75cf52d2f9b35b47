package dataplane

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/levertide/levertide/internal/httpleg"
)

const (
	schemePlain     = "http"
	schemeEncrypted = "https"

	// continueWait is how long a long body is held back for the other node or
	// the worker to ask for it.
	continueWait = 2 * time.Second
)

func newPeerTransport(config *Config) *http.Transport {
	transport := newTransport(config)
	transport.MaxIdleConnsPerHost = config.Limits.PeerIdleConnections
	transport.IdleConnTimeout = config.Limits.PeerIdle
	transport.MaxResponseHeaderBytes += addedHeaderBytes
	if config.PeerTLS != nil {
		transport.DialTLSContext = httpleg.Track(encrypt(config.Dial, config.PeerTLS), config.Limits.Connect)
	}
	return transport
}

// newWorkerTransport returns a transport that opens the given number of connections at most. The
// bound on requests alone does not see to that: a connection that was opened for one request stays
// when an older one became free first.
func newWorkerTransport(config *Config, connections int) *http.Transport {
	transport := newTransport(config)
	transport.MaxConnsPerHost = connections
	transport.MaxIdleConnsPerHost = config.Limits.PeerIdleConnections
	transport.IdleConnTimeout = config.Limits.WorkerIdle
	return transport
}

func newTransport(config *Config) *http.Transport {
	return &http.Transport{
		DialContext:            httpleg.Track(config.Dial, config.Limits.Connect),
		DisableCompression:     true,
		ExpectContinueTimeout:  continueWait,
		MaxResponseHeaderBytes: int64(config.Limits.HeaderBytes),
	}
}

// encrypt has connections shake hands once they are open.
func encrypt(dial httpleg.DialFunc, config *tls.Config) httpleg.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		encrypted := tls.Client(conn, configFor(config, address))
		if err := encrypted.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, err
		}
		return encrypted, nil
	}
}

// configFor fills in the server name that a plain verification needs.
func configFor(config *tls.Config, address string) *tls.Config {
	if config.ServerName != "" || config.InsecureSkipVerify {
		return config
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return config
	}
	named := config.Clone()
	named.ServerName = host
	return named
}
