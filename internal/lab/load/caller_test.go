package load

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/levertide/levertide/internal/lab/worker"
	"github.com/levertide/levertide/pkg/outcome"
)

// TestOnlyRefusalsForOverloadAreSentAgain guards against rolling runs that hide a failed call by
// retrying it: a call that may have run, or that was refused for another reason than overload, is
// never sent again.
func TestOnlyRefusalsForOverloadAreSentAgain(t *testing.T) {
	cases := []struct {
		name    string
		outcome string
		reason  outcome.Reason
		sent    int64
		want    resultKind
	}{
		{"overloaded", "not-run", outcome.Overloaded, 2, resultAnswered},
		{"draining", "not-run", outcome.Draining, 1, resultNotRun},
		{"no worker", "not-run", outcome.NoWorker, 1, resultNotRun},
		{"lost", "unknown", outcome.ConnectionLost, 1, resultUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w, err := worker.Start(worker.Config{ID: "w"})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(w.Close)
			var sent atomic.Int64
			first := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				sent.Add(1)
				rw.Header().Set("Levertide-Outcome", c.outcome)
				rw.Header().Set("Levertide-Reason", string(c.reason))
				rw.Header().Set("Retry-After", "1")
				rw.WriteHeader(http.StatusServiceUnavailable)
			}))
			t.Cleanup(first.Close)
			transport := &redirectingTransport{first: strings.TrimPrefix(first.URL, "http://"), then: w.Address()}
			upload := call{id: "upload", method: http.MethodPost, host: unrepeatableHost, path: "/", target: transport.first, size: 10}
			ended := upload.doRetryingOverload(context.Background(), transport)
			if ended.kind != c.want || transport.sent != c.sent || sent.Load() != 1 {
				t.Errorf("ended %+v after %d attempts", ended, transport.sent)
			}
		})
	}
}

// redirectingTransport sends the first request to one address and all others to another one.
type redirectingTransport struct {
	first, then string
	sent        int64
}

// RoundTrip implements http.RoundTripper.
func (t *redirectingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.sent++; t.sent > 1 {
		r.URL.Host = t.then
	}
	return http.DefaultTransport.RoundTrip(r)
}
