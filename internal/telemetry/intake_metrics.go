package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/levertide/levertide/internal/intake"
)

// intakeCollector reports what clients hold, and what was done at the bounds.
type intakeCollector struct {
	read                         func() []intake.Reading
	used, limit, closed, refused *prometheus.Desc
}

func newIntakeCollector(read func() []intake.Reading) *intakeCollector {
	describe := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(metricsNamespace, "", name), help, []string{"pool", "bound"}, nil)
	}
	return &intakeCollector{
		read:    read,
		used:    describe("intake_used", "What clients hold: connections, or bytes of memory, by what they are counted in."),
		limit:   describe("intake_limit", "The bound on what clients hold; none where it is missing."),
		closed:  describe("intake_closed_total", "Clients that kept the node waiting and were closed in favor of others, by the bound that was reached."),
		refused: describe("intake_refused_total", "Requests for which there was no room in time, by the bound that was reached."),
	}
}

// Describe implements prometheus.Collector.
func (c *intakeCollector) Describe(descs chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{c.used, c.limit, c.closed, c.refused} {
		descs <- desc
	}
}

// Collect implements prometheus.Collector.
func (c *intakeCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, reading := range c.read() {
		c.collect(metrics, reading, intake.Connections, reading.Connections > 0, float64(reading.Connections), float64(reading.Limits.Connections))
		c.collect(metrics, reading, intake.Memory, reading.Memory > 0, float64(reading.Memory), float64(reading.Limits.Memory))
	}
}

// collect reports one bound of one pool, if it has that bound or anything is held.
func (c *intakeCollector) collect(metrics chan<- prometheus.Metric, reading intake.Reading, bound intake.Bound, held bool, used, limit float64) {
	if !held && limit == 0 {
		return
	}
	add := func(desc *prometheus.Desc, kind prometheus.ValueType, value float64) {
		metrics <- prometheus.MustNewConstMetric(desc, kind, value, reading.Pool, string(bound))
	}
	add(c.used, prometheus.GaugeValue, used)
	if limit > 0 {
		add(c.limit, prometheus.GaugeValue, limit)
	}
	add(c.closed, prometheus.CounterValue, float64(reading.Closed[bound]))
	add(c.refused, prometheus.CounterValue, float64(reading.Refused[bound]))
}
