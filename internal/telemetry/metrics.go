package telemetry

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/levertide/levertide/internal/control"
)

const metricsNamespace = "levertide"

const (
	labelRole      = "role"
	labelDirection = "direction"
	labelState     = "state"
)

// MemberCounts counts, by state, the nodes that one node knows.
type MemberCounts struct {
	Live    int
	Leaving int
	Lost    int
}

// Reading is the state of one node at the moment of a scrape.
type Reading struct {
	Ready          bool
	VersionInForce uint64
	Members        MemberCounts
	Counters       control.Counters
}

// Registry holds the metrics of one node. No metric is labelled by peer, so
// that their number does not grow with the mesh.
type Registry struct {
	registry *prometheus.Registry
}

// NewRegistry returns a registry that reads the node's state at each scrape of a listener. Panics of the
// reading are contained.
func NewRegistry(panics *Panics, listener string, read func() Reading) *Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		newNodeCollector(containReading(panics, listener, read)),
		newPanicCollector(panics.Read),
	)
	return &Registry{registry: registry}
}

// Registerer returns where other parts of the node add their metrics.
func (r *Registry) Registerer() prometheus.Registerer {
	return prometheus.WrapRegistererWithPrefix(metricsNamespace+"_", r.registry)
}

// Handler answers scrapes.
func (r *Registry) Handler() http.Handler {
	return promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{})
}

// nodeCollector turns a Reading into metrics.
type nodeCollector struct {
	read          func() Reading
	ready         *prometheus.Desc
	version       *prometheus.Desc
	members       *prometheus.Desc
	controlBytes  *prometheus.Desc
	storeRequests *prometheus.Desc
}

func newNodeCollector(read func() Reading) *nodeCollector {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(metricsNamespace, "", name), help, labels, nil)
	}
	return &nodeCollector{
		read:          read,
		ready:         describe("ready", "1 while the node takes calls."),
		version:       describe("version_in_force", "Number of the configuration version in force; 0 for none."),
		members:       describe("members", "Nodes that this node knows, by state.", labelState),
		controlBytes:  describe("control_bytes_total", "Control bytes moved, estimated TCP/IP headers included, by the role that the node had.", labelRole, labelDirection),
		storeRequests: describe("store_requests_total", "Requests made to the platform's store."),
	}
}

// Describe sends the descriptions of the metrics.
func (c *nodeCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{c.ready, c.version, c.members, c.controlBytes, c.storeRequests} {
		descriptions <- description
	}
}

// Collect reads the node's state once and sends it.
func (c *nodeCollector) Collect(metrics chan<- prometheus.Metric) {
	reading := c.read()
	gauge := func(description *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, labels...)
	}
	counter := func(description *prometheus.Desc, value uint64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value), labels...)
	}
	gauge(c.ready, boolValue(reading.Ready))
	gauge(c.version, float64(reading.VersionInForce))
	gauge(c.members, float64(reading.Members.Live), "live")
	gauge(c.members, float64(reading.Members.Leaving), "leaving")
	gauge(c.members, float64(reading.Members.Lost), "lost")
	for index, count := range reading.Counters.ByRole {
		role := control.Role(index).String()
		counter(c.controlBytes, count.In, role, "in")
		counter(c.controlBytes, count.Out, role, "out")
	}
	counter(c.storeRequests, reading.Counters.StoreRequests)
}

func boolValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
