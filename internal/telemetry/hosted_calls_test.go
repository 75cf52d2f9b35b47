package telemetry

import (
	"io"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/levertide/levertide/internal/forwarding"
	"github.com/levertide/levertide/pkg/outcome"
)

// TestReturnedCallsAreCounted tells of callers of which some came back: the share that
// found room is read from the metric.
func TestReturnedCallsAreCounted(t *testing.T) {
	registry := prometheus.NewRegistry()
	o := NewForwardingObserver(registry, NewLog(io.Discard, "node", LevelError), func() {})
	answered := forwarding.CallReport{Service: "ledger", Outcome: outcome.Answered, Offers: 1}
	o.CallFinished(answered)
	answered.CameBack = true
	o.CallFinished(answered)
	o.CallFinished(answered)
	o.CallFinished(forwarding.CallReport{Service: "ledger", Outcome: outcome.NotRun, Reason: outcome.Overloaded, CameBack: true})
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	counted := map[string]float64{}
	for _, family := range families {
		if family.GetName() != "returned_calls_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				if label.GetName() == labelOutcome {
					counted[label.GetValue()] = metric.GetCounter().GetValue()
				}
			}
		}
	}
	if counted[string(outcome.Answered)] != 2 || counted[string(outcome.NotRun)] != 1 {
		t.Errorf("counted: %v", counted)
	}
}
