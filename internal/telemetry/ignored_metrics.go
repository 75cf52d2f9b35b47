package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/levertide/levertide/internal/hosted"
	"github.com/levertide/levertide/pkg/workers"
)

// ignoredCallsCollector reports the calls of workers that had no effect.
type ignoredCallsCollector struct {
	read  func() hosted.IgnoredCalls
	calls *prometheus.Desc
}

func newIgnoredCallsCollector(read func() hosted.IgnoredCalls) *ignoredCallsCollector {
	return &ignoredCallsCollector{
		read: read,
		calls: prometheus.NewDesc(prometheus.BuildFQName(metricsNamespace, "", "ignored_worker_calls_total"),
			"Heartbeats and leaves of workers that had no effect, by reason; such a leave is not acknowledged.", []string{"call", fieldReason}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *ignoredCallsCollector) Describe(descs chan<- *prometheus.Desc) { descs <- c.calls }

// Collect implements prometheus.Collector.
func (c *ignoredCallsCollector) Collect(metrics chan<- prometheus.Metric) {
	ignored := c.read()
	for call, counts := range map[string]map[workers.IgnoreReason]uint64{"heartbeat": ignored.Heartbeats, "leave": ignored.Leaves} {
		for reason, n := range counts {
			metrics <- prometheus.MustNewConstMetric(c.calls, prometheus.CounterValue, float64(n), call, string(reason))
		}
	}
}
