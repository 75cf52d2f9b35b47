package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// HostedReading is the state of one node in hosted mode at the moment of a scrape.
type HostedReading struct {
	Ready      bool
	ReadsStore bool
	Version    uint64
	LiveNodes  int
	InFlight   int
}

// NewHostedRegistry returns a registry that reads the node's state at each scrape.
func NewHostedRegistry(read func() HostedReading) *Registry {
	registry := prometheus.NewRegistry()
	gauge := func(name, help string, value func(HostedReading) float64) prometheus.Collector {
		options := prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help}
		return prometheus.NewGaugeFunc(options, func() float64 { return value(read()) })
	}
	registry.MustRegister(
		collectors.NewGoCollector(),
		gauge("ready", "1 while callers may come.", func(r HostedReading) float64 { return truth(r.Ready) }),
		gauge("reads_store", "1 while the node reaches the platform's store, as far as it knows.", func(r HostedReading) float64 { return truth(r.ReadsStore) }),
		gauge("version_in_force", "Number of the configuration version in force; 0 for none.", func(r HostedReading) float64 { return float64(r.Version) }),
		gauge("live_nodes", "Nodes that this node knows to be live, itself among them.", func(r HostedReading) float64 { return float64(r.LiveNodes) }),
		gauge("calls_in_flight", "Calls of callers and of other nodes in flight.", func(r HostedReading) float64 { return float64(r.InFlight) }),
	)
	return &Registry{registry: registry}
}
