package worker

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
)

// forwardedHeaderPrefix is the prefix of the headers that a worker forwards to the next service.
const forwardedHeaderPrefix = "Levertide-"

// nextService is the base URL and the Host header for calls to the next service of a chain.
type nextService struct{ base, host string }

// nextCaller calls the next service of a chain.
type nextCaller struct {
	service   atomic.Pointer[nextService]
	client    *http.Client
	transport *http.Transport
}

func newNextCaller(config Config) *nextCaller {
	transport := &http.Transport{
		MaxIdleConnsPerHost: config.Connections,
		DisableCompression:  true,
	}
	n := &nextCaller{transport: transport, client: &http.Client{Transport: transport}}
	n.set(config.Next, config.NextHost)
	return n
}

func (n *nextCaller) set(base, host string) {
	n.service.Store(&nextService{base: base, host: host})
}

// call calls the next service for a request. It reports whether the answer
// was complete and successful, and is true when there is no next service.
func (n *nextCaller) call(ctx context.Context, request *http.Request) bool {
	service := n.service.Load()
	if service.base == "" {
		return true
	}
	next, err := service.request(ctx, request)
	if err != nil {
		return false
	}
	response, err := n.client.Do(next)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

func (n *nextService) request(ctx context.Context, request *http.Request) (*http.Request, error) {
	next, err := http.NewRequestWithContext(ctx, request.Method, n.base+request.URL.RequestURI(), nil)
	if err != nil {
		return nil, err
	}
	next.Host = n.host
	next.Header.Set(RequestIDHeader, request.Header.Get(RequestIDHeader))
	for name, values := range request.Header {
		if strings.HasPrefix(name, forwardedHeaderPrefix) {
			next.Header[name] = values
		}
	}
	return next, nil
}

func (n *nextCaller) close() { n.transport.CloseIdleConnections() }
