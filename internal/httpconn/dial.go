package httpconn

import (
	"context"
	"crypto/tls"
	"net"
	"time"
)

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Track returns a dial function that bounds the time for opening a connection and
// returns each connection as a Conn. Zero sets no bound.
func Track(dial DialFunc, bound time.Duration) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if bound > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, bound)
			defer cancel()
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: conn}, nil
	}
}

// Encrypt returns a dial function that completes the TLS handshake of each connection. A nil config is
// the default one.
func Encrypt(dial DialFunc, config *tls.Config) DialFunc {
	if config == nil {
		config = &tls.Config{}
	}
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

// configFor fills in the server name that the standard verification needs.
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
