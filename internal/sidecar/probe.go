package sidecar

import (
	"context"
	"net/http"
	"net/netip"
	"slices"

	"github.com/levertide/levertide/internal/hosted"
	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/internal/settings"
	"github.com/levertide/levertide/pkg/endpoint"
	"github.com/levertide/levertide/pkg/workers"
)

// probe identifies the worker beside the node by a request to its health path. It
// implements hosted.WorkerProbe.
type probe struct {
	service  string
	address  netip.AddrPort
	config   *configuration
	client   *http.Client
	identity func(header http.Header) (Identity, bool)
}

// workerAddress returns the address of the worker beside the node; the zero value when the settings name none.
func workerAddress(s settings.Settings) netip.AddrPort {
	address, _ := endpoint.Parse(s.WorkerAddress)
	return address
}

func newProbe(s settings.Settings, config *configuration, network Network, adapter Adapter) *probe {
	return &probe{
		service: s.Service,
		address: workerAddress(s),
		config:  config,
		client: &http.Client{Transport: httpconn.CheckAnswers(&http.Transport{
			DialContext: httpconn.Track(network.Dial, 0), DisableKeepAlives: true, MaxResponseHeaderBytes: httpconn.MaximumAnswerHead,
		}, 1)},
		identity: adapter.Identity,
	}
}

// Identify implements hosted.WorkerProbe.
func (p *probe) Identify(ctx context.Context) (workers.Heartbeat, error) {
	header, err := p.ask(ctx, http.StatusOK)
	if err != nil {
		return workers.Heartbeat{}, err
	}
	identity, ok := p.identity(header)
	if !ok {
		return workers.Heartbeat{}, hosted.ErrUnanswered.New("the worker's answer to the probe does not tell its load")
	}
	return workers.Heartbeat{Instance: identity.Instance, Service: p.service, Address: p.address, Slots: identity.Slots, Busy: identity.Busy, Limit: identity.Limit}, nil
}

// Instance implements hosted.WorkerProbe. A worker that takes no work answers with status 503, and says who it is.
func (p *probe) Instance(ctx context.Context) (string, error) {
	header, err := p.ask(ctx, http.StatusOK, http.StatusServiceUnavailable)
	if err != nil {
		return "", err
	}
	identity, _ := p.identity(header)
	if identity.Instance == "" {
		return "", hosted.ErrUnanswered.New("the worker's answer to the probe does not identify it")
	}
	return identity.Instance, nil
}

// ask returns the header of the worker's answer to a probe; one with another status than those given is an error.
func (p *probe) ask(ctx context.Context, statuses ...int) (http.Header, error) {
	path := p.config.healthPath(p.service)
	if !p.address.IsValid() || path == "" {
		return nil, hosted.ErrUnanswered.New("cannot probe the worker: its address or health path is not known")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint.String(p.address)+path, nil)
	if err != nil {
		return nil, hosted.ErrUnanswered.Wrap(err, "cannot build the request that probes the worker")
	}
	response, err := p.client.Do(r)
	if err != nil {
		return nil, hosted.ErrUnanswered.Wrap(err, "the worker does not answer the probe")
	}
	_ = response.Body.Close()
	if !slices.Contains(statuses, response.StatusCode) {
		return nil, hosted.ErrUnanswered.New("the worker's answer to the probe has the status %d", response.StatusCode)
	}
	return response.Header, nil
}
