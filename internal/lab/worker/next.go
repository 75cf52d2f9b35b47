package worker

import (
	"context"
	"io"
	"net/http"
	"strings"
)

// passedOn is the prefix of the headers that a worker hands to the next service.
const passedOn = "Levertide-"

// nextCaller calls the next service of a chain.
type nextCaller struct {
	base, host string
	client     *http.Client
	transport  *http.Transport
}

func newNextCaller(config Config) *nextCaller {
	transport := &http.Transport{
		MaxIdleConnsPerHost: config.Connections,
		DisableCompression:  true,
	}
	return &nextCaller{
		base:      config.Next,
		host:      config.NextHost,
		transport: transport,
		client:    &http.Client{Transport: transport},
	}
}

// call makes the call that belongs to a request. It reports whether the answer
// was whole and a success, and is true when there is no next service.
func (n *nextCaller) call(ctx context.Context, request *http.Request) bool {
	if n.base == "" {
		return true
	}
	next, err := n.request(ctx, request)
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

func (n *nextCaller) request(ctx context.Context, request *http.Request) (*http.Request, error) {
	next, err := http.NewRequestWithContext(ctx, request.Method, n.base+request.URL.RequestURI(), nil)
	if err != nil {
		return nil, err
	}
	next.Host = n.host
	next.Header.Set(RequestIDHeader, request.Header.Get(RequestIDHeader))
	for name, values := range request.Header {
		if strings.HasPrefix(name, passedOn) {
			next.Header[name] = values
		}
	}
	return next, nil
}

func (n *nextCaller) close() { n.transport.CloseIdleConnections() }
