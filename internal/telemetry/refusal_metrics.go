package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/levertide/levertide/internal/hosted"
)

// refusalCollector reports the calls of workers that could not be used.
type refusalCollector struct {
	read  func() map[hosted.RefusalReason]uint64
	calls *prometheus.Desc
}

func newRefusalCollector(read func() map[hosted.RefusalReason]uint64) *refusalCollector {
	return &refusalCollector{
		read: read,
		calls: prometheus.NewDesc(prometheus.BuildFQName(metricsNamespace, "", "refused_worker_calls_total"),
			"Heartbeats and leaves that could not be used, by reason.", []string{fieldReason}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *refusalCollector) Describe(descs chan<- *prometheus.Desc) { descs <- c.calls }

// Collect implements prometheus.Collector.
func (c *refusalCollector) Collect(metrics chan<- prometheus.Metric) {
	for reason, n := range c.read() {
		metrics <- prometheus.MustNewConstMetric(c.calls, prometheus.CounterValue, float64(n), string(reason))
	}
}
