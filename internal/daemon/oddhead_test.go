package daemon

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/telemetry"
	"github.com/levertide/levertide/internal/testheads"
)

// TestProbeAnswerWithAnOddHeadIsNotBelieved guards against a worker whose health or limit comes out of an answer that is not HTTP.
func TestProbeAnswerWithAnOddHeadIsNotBelieved(t *testing.T) {
	answers := testheads.Answers("", "")
	for _, status := range testheads.Statuses() {
		answers = append(answers, testheads.WithStatus(status, "", ""))
	}
	var text atomic.Value
	address := testheads.Serve(t, func(*http.Request) string { return text.Load().(string) })
	believed := 0
	log := telemetry.NewLog(io.Discard, "n", telemetry.LevelInfo)
	probe := newWorkerProbe(address, func(http.Header, time.Time) { believed++ }, func() {}, log)
	for _, answer := range answers {
		if strings.HasSuffix(answer.Name, "trailer") {
			continue // is not used
		}
		text.Store(answer.Text)
		if healthy, reason := probe.probe(t.Context()); healthy || believed > 0 {
			t.Errorf("%s: %t, %s", answer.Name, healthy, reason)
		}
		believed = 0
	}
	text.Store(testheads.WithStatus("200", "", "").Text)
	if healthy, reason := probe.probe(t.Context()); !healthy || believed != 1 {
		t.Errorf("%s", reason)
	}
}
