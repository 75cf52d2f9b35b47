package sidecar

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/internal/settings"
	"github.com/levertide/levertide/internal/testendless"
	"github.com/levertide/levertide/internal/testwait"
)

// endlessNetwork is a network on which everybody answers without end.
type endlessNetwork struct {
	TCP
	server *testendless.Server
}

func (n endlessNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return n.server.Dial(ctx, network, address)
}

// TestWorkerThatAnswersProbesWithoutEndIsLeft guards against a health check whose answer never ends.
func TestWorkerThatAnswersProbesWithoutEndIsLeft(t *testing.T) {
	for name, form := range testendless.Forms {
		for _, drops := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				server := testendless.New(form, drops)
				configured := &configuration{}
				configured.healthPaths.Store(&map[string]string{"ledger": "/health"})
				adapter := Adapter{Identity: func(http.Header) (Identity, bool) { return Identity{}, false }}
				p := newProbe(settings.Settings{Service: "ledger", WorkerAddress: "192.0.2.1:1"}, configured, endlessNetwork{server: server}, adapter)
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				if _, err := p.Identify(ctx); err == nil {
					t.Error("the worker was identified")
				}
				testwait.Eventually(t, "the connection is closed", func() bool { return server.Answered.Load() == 1 && server.Open.Load() == 0 })
				if written := server.Written.Load(); written > testendless.MostRead(name, httpconn.MaximumAnswerHead, 0) {
					t.Errorf("%d bytes were read", written)
				}
			})
		}
	}
}
