package control

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"

	"github.com/twitchtv/twirp"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/pkg/topology"
)

// Limits of HTTP/2 connections to other nodes, in bytes.
const (
	clientHeaderTable = 4 << 10
	clientFrameBytes  = 64 << 10
)

// peerClients calls other nodes over one connection to each.
type peerClients struct {
	scheme    string
	prefix    string
	transport *http.Transport
	client    *http.Client

	mutex sync.Mutex
	// recent caches the client of recentAddress, normally the parent's address,
	// to which nearly all calls go.
	recent        controlpb.Control
	recentAddress string
}

func newPeerClients(config Config) *peerClients {
	dial := config.Dial
	if dial == nil {
		dial = newDialer().DialContext
	}
	protocols := &http.Protocols{}
	scheme := "http"
	if config.ClientTLS != nil {
		scheme = "https"
		protocols.SetHTTP2(true)
	} else {
		protocols.SetUnencryptedHTTP2(true)
	}
	transport := &http.Transport{
		DialContext:            config.Traffic.Dial(dial),
		TLSClientConfig:        cloneTLS(config.ClientTLS),
		TLSHandshakeTimeout:    DefaultDialTimeout,
		Protocols:              protocols,
		DisableCompression:     true,
		IdleConnTimeout:        idleConnectionTimeout,
		MaxResponseHeaderBytes: maximumHeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxDecoderHeaderTableSize: clientHeaderTable,
			MaxEncoderHeaderTableSize: clientHeaderTable,
			MaxReadFrameSize:          clientFrameBytes,
			WriteByteTimeout:          config.CallTimeout,
		},
	}
	return &peerClients{
		scheme:    scheme,
		prefix:    config.pathPrefix(),
		transport: transport,
		client:    &http.Client{Transport: httpconn.LimitAnswers(httpconn.CheckAnswers(transport, 2), maximumAnswerBytes)},
	}
}

func cloneTLS(config *tls.Config) *tls.Config {
	if config == nil {
		return nil
	}
	return config.Clone()
}

// newDialer returns a dialer whose keepalive probes detect a dead peer within seconds.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: DefaultDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     dialKeepAliveIdle,
			Interval: keepAliveInterval,
			Count:    dialKeepAliveCount,
		},
	}
}

// recentClient returns the client of an address and caches it for the next call.
func (p *peerClients) recentClient(address string) controlpb.Control {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.recent == nil || p.recentAddress != address {
		p.recent = p.newClient(address)
		p.recentAddress = address
	}
	return p.recent
}

// closeIdle closes the idle connections to all peers, so that the next call to a
// peer that failed opens a new one.
func (p *peerClients) closeIdle(string) { p.transport.CloseIdleConnections() }

func (p *peerClients) close() { p.transport.CloseIdleConnections() }

func (p *peerClients) watch(ctx context.Context, peer topology.Peer, request *controlpb.WatchRequest) (*controlpb.WatchResponse, error) {
	return p.recentClient(peer.ControlAddress).Watch(ctx, request)
}

func (p *peerClients) report(ctx context.Context, peer topology.Peer, request *controlpb.ReportRequest) (*controlpb.ReportResponse, error) {
	return p.recentClient(peer.ControlAddress).Report(ctx, request)
}

func (p *peerClients) floor(ctx context.Context, peer topology.Peer, request *controlpb.FloorRequest) (*controlpb.FloorResponse, error) {
	return p.newClient(peer.ControlAddress).Floor(ctx, request)
}

func (p *peerClients) status(ctx context.Context, peer topology.Peer, request *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
	return p.newClient(peer.ControlAddress).Status(ctx, request)
}

func (p *peerClients) members(ctx context.Context, address string, request *controlpb.MembersRequest) (*controlpb.MembersResponse, error) {
	return p.newClient(address).Members(ctx, request)
}

// newClient returns a client that does not replace the cached one of the parent.
func (p *peerClients) newClient(address string) controlpb.Control {
	return controlpb.NewControlProtobufClient(p.scheme+"://"+address, p.client, twirp.WithClientPathPrefix(p.prefix))
}
