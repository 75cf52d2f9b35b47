package telemetry

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/levertide/levertide/internal/forwarding"
	"github.com/levertide/levertide/pkg/outcome"
)

// TestClientRetriesAreCounted reports calls of which some are client retries: operators read
// from the metric what share of these is answered.
func TestClientRetriesAreCounted(t *testing.T) {
	registry := prometheus.NewRegistry()
	o := NewForwardingObserver(registry, NewLog(io.Discard, "node", LevelError), func() {})
	answered := forwarding.CallReport{Service: "ledger", Outcome: outcome.Answered, Offers: 1}
	o.CallFinished(answered)
	answered.ClientRetry = true
	o.CallFinished(answered)
	o.CallFinished(answered)
	o.CallFinished(forwarding.CallReport{Service: "ledger", Outcome: outcome.NotRun, Reason: outcome.Overloaded, ClientRetry: true})
	counted := countedBy(t, registry, "returned_calls_total", labelOutcome)
	if counted[string(outcome.Answered)] != 2 || counted[string(outcome.NotRun)] != 1 {
		t.Errorf("counted: %v", counted)
	}
}

// countedBy returns the values of a counter by one of its labels.
func countedBy(t *testing.T, registry *prometheus.Registry, name, by string) map[string]float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	counted := map[string]float64{}
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				if label.GetName() == by {
					counted[label.GetValue()] = metric.GetCounter().GetValue()
				}
			}
		}
	}
	return counted
}

// TestRetriesAndHeldCallsAreCounted reports calls that were retried, and one that was held until
// its node had started.
func TestRetriesAndHeldCallsAreCounted(t *testing.T) {
	registry := prometheus.NewRegistry()
	o := NewForwardingObserver(registry, NewLog(io.Discard, "node", LevelError), func() {})
	o.CallFinished(forwarding.CallReport{Service: "ledger", Outcome: outcome.Answered, Retries: 2})
	o.CallFinished(forwarding.CallReport{Service: "ledger", Outcome: outcome.NotRun, Retries: 1, RetryDenied: true})
	o.CallFinished(forwarding.CallReport{Service: "ledger", Outcome: outcome.Answered, Held: time.Second})
	retries := countedBy(t, registry, "retries_total", labelResult)
	held := countedBy(t, registry, "held_calls_total", labelOutcome)
	if retries[resultMade] != 3 || retries[resultDenied] != 1 || held[string(outcome.Answered)] != 1 {
		t.Errorf("retries %v, held %v", retries, held)
	}
}

// TestCallThatLooksRefusedLeavesALine reports a call that its worker answered with 503 without the
// mark of a refusal: nothing else shows a promise that nobody gave.
func TestCallThatLooksRefusedLeavesALine(t *testing.T) {
	registry, lines := prometheus.NewRegistry(), &bytes.Buffer{}
	o := NewForwardingObserver(registry, NewLog(lines, "node", LevelWarning), func() {})
	looksRefused := forwarding.CallReport{RequestID: "r1", Service: "ledger", Outcome: outcome.Answered, Status: http.StatusServiceUnavailable, UnmarkedStatus: http.StatusServiceUnavailable, Offers: 1, Instance: "w@1"}
	o.CallFinished(looksRefused)
	o.HopFinished(looksRefused)
	if counted := countedBy(t, registry, "unmarked_refusals_total", labelStatus); counted["503"] != 1 {
		t.Errorf("counted: %v", counted)
	}
	if got := strings.Count(lines.String(), `"request":"r1"`); got != 2 {
		t.Errorf("%d lines: %s", got, lines)
	}
}
