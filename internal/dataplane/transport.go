package dataplane

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

const (
	schemePlain     = "http"
	schemeEncrypted = "https"

	// continueWait is how long a long body is held back for the other node or
	// the worker to ask for it.
	continueWait = 2 * time.Second
)

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func newPeerTransport(config *Config) *http.Transport {
	transport := newTransport(config)
	transport.MaxIdleConnsPerHost = config.Limits.PeerIdleConnections
	transport.IdleConnTimeout = config.Limits.PeerIdle
	transport.MaxResponseHeaderBytes += addedHeaderBytes
	if config.PeerTLS != nil {
		transport.DialTLSContext = track(encrypt(config.Dial, config.PeerTLS), config.Limits.Connect)
	}
	return transport
}

func newWorkerTransport(config *Config) *http.Transport {
	transport := newTransport(config)
	// The gate bounds the requests at the worker, and thereby the connections.
	transport.MaxIdleConnsPerHost = config.Limits.PeerIdleConnections
	transport.IdleConnTimeout = config.Limits.WorkerIdle
	return transport
}

func newTransport(config *Config) *http.Transport {
	return &http.Transport{
		DialContext:            track(config.Dial, config.Limits.Connect),
		DisableCompression:     true,
		ExpectContinueTimeout:  continueWait,
		MaxResponseHeaderBytes: int64(config.Limits.HeaderBytes),
	}
}

// track bounds the time that opening a connection takes, and has it tracked.
func track(dial dialFunc, bound time.Duration) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, bound)
		defer cancel()
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
}

// encrypt has connections shake hands once they are open.
func encrypt(dial dialFunc, config *tls.Config) dialFunc {
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
