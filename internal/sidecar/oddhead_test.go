package sidecar

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/levertide/levertide/internal/settings"
	"github.com/levertide/levertide/internal/testheads"
)

// TestProbeAnswerWithAnOddHeadIsNotBelieved guards against a worker that is identified by an answer that is not HTTP.
func TestProbeAnswerWithAnOddHeadIsNotBelieved(t *testing.T) {
	const fields = "X-Instance: w\r\n"
	answers := testheads.Answers(fields, "")
	for _, status := range testheads.Statuses() {
		answers = append(answers, testheads.WithStatus(status, fields, ""))
	}
	var text atomic.Value
	address := testheads.Serve(t, func(*http.Request) string { return text.Load().(string) })
	configured := &configuration{}
	configured.healthPaths.Store(&map[string]string{"ledger": "/health"})
	identified := 0
	adapter := Adapter{Identity: func(header http.Header) (Identity, bool) {
		identified++
		return Identity{Instance: header.Get("X-Instance")}, true
	}}
	p := newProbe(settings.Settings{Service: "ledger", WorkerAddress: address}, configured, TCP{}, adapter)
	for _, answer := range answers {
		if strings.HasSuffix(answer.Name, "trailer") {
			continue // is not read
		}
		text.Store(answer.Text)
		if found, err := p.Identify(t.Context()); err == nil || identified > 0 {
			t.Errorf("%s: %+v", answer.Name, found)
		}
		identified = 0
	}
	text.Store(testheads.WithStatus("200", fields, "").Text)
	if found, err := p.Identify(t.Context()); err != nil || found.Instance != "w" {
		t.Errorf("%+v, %v", found, err)
	}
}
