package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/levertide/levertide/pkg/contain"
)

// panicCollector reports the panics that were contained.
type panicCollector struct {
	read   func() map[contain.Kind]uint64
	panics *prometheus.Desc
}

func newPanicCollector(read func() map[contain.Kind]uint64) *panicCollector {
	return &panicCollector{
		read:   read,
		panics: prometheus.NewDesc(prometheus.BuildFQName(metricsNamespace, "", "panics_total"), "Panics that were contained, by the kind of work.", []string{"kind"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *panicCollector) Describe(descs chan<- *prometheus.Desc) { descs <- c.panics }

// Collect implements prometheus.Collector.
func (c *panicCollector) Collect(metrics chan<- prometheus.Metric) {
	for kind, n := range c.read() {
		metrics <- prometheus.MustNewConstMetric(c.panics, prometheus.CounterValue, float64(n), string(kind))
	}
}

// containReading returns read without its panics: the metrics' library, which contains none, calls it on
// goroutines of its own. A reading that panics is empty.
func containReading[T any](panics *Panics, listener string, read func() T) func() T {
	return func() (reading T) {
		contain.Run(contain.Request, listener, panics.Report, func() { reading = read() })
		return reading
	}
}
