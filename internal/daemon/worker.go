package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/internal/telemetry"
)

const (
	probeInterval  = time.Second
	probeTimeout   = 500 * time.Millisecond
	probePath      = "/healthz"
	probeBodyBytes = 1 << 10
)

// workerProbe polls the worker's health endpoint. The result is only a hint: changes
// are written to the event log, and a worker that is healthy again begins its slow
// start. Its answers also state which requests the worker takes, while it gets none: one probe
// a second stays within what any limit may be exceeded by. It is a suture service.
type workerProbe struct {
	url string
	// onAnswer is called with the header of each answer, and when the probe was sent.
	onAnswer func(header http.Header, sentAt time.Time)
	// onRestart is called when the worker is healthy again.
	onRestart func()
	log       *telemetry.Log
	client    *http.Client
	// known is false until the first probe has ended.
	known   bool
	healthy bool
}

func newWorkerProbe(address string, answered func(header http.Header, sentAt time.Time), started func(), log *telemetry.Log) *workerProbe {
	return &workerProbe{
		url:       "http://" + address + probePath,
		onAnswer:  answered,
		onRestart: started,
		log:       log,
		client: &http.Client{Timeout: probeTimeout, Transport: httpconn.CheckAnswers(&http.Transport{
			DialContext: httpconn.Track((&net.Dialer{}).DialContext, probeTimeout), DisableKeepAlives: true, MaxResponseHeaderBytes: httpconn.MaximumAnswerHead,
		}, 1)},
	}
}

// Serve probes until the context ends.
func (p *workerProbe) Serve(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		p.update(p.probe(ctx))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (p *workerProbe) probe(ctx context.Context) (healthy bool, reason string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, nil)
	if err != nil {
		return false, err.Error()
	}
	sentAt := time.Now()
	response, err := p.client.Do(request)
	if err != nil {
		return false, err.Error()
	}
	defer response.Body.Close()
	p.onAnswer(response.Header, sentAt)
	_, _ = io.CopyN(io.Discard, response.Body, probeBodyBytes)
	return response.StatusCode == http.StatusOK, fmt.Sprintf("status %d", response.StatusCode)
}

func (p *workerProbe) update(healthy bool, reason string) {
	if p.known && p.healthy == healthy {
		return
	}
	recovered := p.known && healthy
	p.known, p.healthy = true, healthy
	p.log.WorkerHealth(healthy, reason)
	if recovered {
		p.onRestart()
	}
}

// String returns the name used in log events.
func (p *workerProbe) String() string { return "worker probe" }
