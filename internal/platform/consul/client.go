package consul

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/pkg/store"
)

// Defaults of Config.
const (
	DefaultTimeout     = 5 * time.Second
	DefaultDialTimeout = 2 * time.Second

	maxIdleConnections = 4
	idleTimeout        = 90 * time.Second
)

// Config configures a Client; zero fields other than Address take the defaults.
type Config struct {
	// Address is "http://host:port" or "https://host:port".
	Address string
	// Token is sent with each request when it is not empty.
	Token string
	// Client identifies this process to the platform, in the User-Agent header.
	Client string
	// Timeout bounds one request; the wait of a blocking read is added to it.
	Timeout time.Duration
	// LockDelay is how long the keys of an expired session cannot be acquired again.
	// Zero, the default, is safe, because leases only limit load.
	LockDelay time.Duration
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// TLS is used with https addresses; nil means the system's defaults.
	TLS *tls.Config
}

// Client sends requests to one Consul agent. It is safe for concurrent use.
type Client struct {
	config    Config
	transport *http.Transport
	answers   http.RoundTripper
}

var (
	_ store.Store       = (*Client)(nil)
	_ store.MachineList = (*Client)(nil)
)

// New returns a client. It opens no connection before the first request.
func New(config Config) *Client {
	config.Address = strings.TrimSuffix(config.Address, "/")
	if config.Timeout <= 0 {
		config.Timeout = DefaultTimeout
	}
	if config.Dial == nil {
		config.Dial = (&net.Dialer{Timeout: DefaultDialTimeout}).DialContext
	}
	transport := &http.Transport{
		DialContext:         httpconn.Track(config.Dial, 0),
		DialTLSContext:      httpconn.Track(httpconn.Encrypt(config.Dial, config.TLS), 0),
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: httpconn.MaximumAnswerHead,
	}
	return &Client{config: config, transport: transport, answers: httpconn.CheckAnswers(transport, 1)}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
