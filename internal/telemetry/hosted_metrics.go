package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/levertide/levertide/internal/hosted"
	"github.com/levertide/levertide/internal/intake"
)

// HostedReading is the state of one node in hosted mode at the moment of a scrape.
type HostedReading struct {
	Ready bool
	// ReadsStore is set while the node reaches the store, ReadsForAll while it watches the store on
	// behalf of all nodes.
	ReadsStore, ReadsForAll bool
	Version                 uint64
	LiveNodes               int
	InFlight                int
	// Running, Waiting and Slots are the calls that run and wait at the workers beside the
	// node, and the slots of these workers.
	Running, Waiting, Slots int
	// Slowness is how long work takes at the worker beside the node, relative to the usual
	// time, as reported by the worker; zero when it does not report it.
	Slowness float64
	// LimitedWorkers is how many workers beside the node name a limit.
	LimitedWorkers int
	// LimitRefusals counts the requests that found no room in time at such a worker.
	LimitRefusals uint64
	// Transfers and WaitingTransfers are the long bodies that other nodes are sending
	// to this one, and those that wait for their turn.
	Transfers, WaitingTransfers int
	// RefusedTransfers counts the long bodies that got no turn.
	RefusedTransfers uint64
	// Quarantined are the requests that are known to crash workers and are run nowhere,
	// Suspected those that were in flight at a worker when it ended.
	Quarantined, Suspected int
	// StoreRestores counts the effects on the node of restores of the store from a copy.
	StoreRestores hosted.StoreRestores
	// Refusals counts the calls of workers that could not be used.
	Refusals map[hosted.RefusalReason]uint64
	// IgnoredCalls counts the calls of workers that had no effect.
	IgnoredCalls hosted.IgnoredCalls
	// Intake is what clients hold of each listener, and what was done at its bounds.
	Intake []intake.Reading
	// Messages counts what the node has sent to others.
	Messages hosted.Messages
	// Quotas is what the node holds of the limits of tenants, and what it decided on requests.
	Quotas hosted.QuotaReading
}

// NewHostedRegistry returns a registry that reads the node's state at each scrape of a listener. Panics of
// the reading are contained.
func NewHostedRegistry(panics *Panics, listener string, read func() HostedReading) *Registry {
	read = containReading(panics, listener, read)
	registry := prometheus.NewRegistry()
	gauge := func(name, help string, value func(HostedReading) float64) prometheus.Collector {
		options := prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help}
		return prometheus.NewGaugeFunc(options, func() float64 { return value(read()) })
	}
	counter := func(name, help string, value func(HostedReading) uint64) prometheus.Collector {
		options := prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help}
		return prometheus.NewCounterFunc(options, func() float64 { return float64(value(read())) })
	}
	registry.MustRegister(
		collectors.NewGoCollector(),
		gauge("ready", "1 while callers may come.", func(r HostedReading) float64 { return boolValue(r.Ready) }),
		gauge("reads_store", "1 while the node reaches the platform's store, as far as it knows.", func(r HostedReading) float64 { return boolValue(r.ReadsStore) }),
		gauge("reads_for_all", "1 while the node watches the platform's store for all nodes; the sum over all nodes is 3, or the number of nodes if there are fewer.", func(r HostedReading) float64 { return boolValue(r.ReadsForAll) }),
		gauge("version_in_force", "Number of the configuration version in force; 0 for none.", func(r HostedReading) float64 { return float64(r.Version) }),
		gauge("live_nodes", "Nodes that this node knows to be live, itself among them.", func(r HostedReading) float64 { return float64(r.LiveNodes) }),
		gauge("calls_in_flight", "Calls of callers and of other nodes in flight.", func(r HostedReading) float64 { return float64(r.InFlight) }),
		gauge("worker_running", "Calls that hold a slot of a worker beside this node.", func(r HostedReading) float64 { return float64(r.Running) }),
		gauge("worker_waiting", "Calls that wait for a slot of a worker beside this node.", func(r HostedReading) float64 { return float64(r.Waiting) }),
		gauge("worker_slots", "Slots of the workers beside this node that may be given work.", func(r HostedReading) float64 { return float64(r.Slots) }),
		gauge("worker_slowness", "How long work takes at the worker beside this node at present, relative to the usual, as it tells itself and the node believes; 0 when it does not tell.", func(r HostedReading) float64 { return r.Slowness }),
		gauge("limited_workers", "Workers beside this node that name how many requests a second they take.", func(r HostedReading) float64 { return float64(r.LimitedWorkers) }),
		counter("limit_refusals_total", "Requests that found no room in time at a worker beside this node that names how many it takes.", func(r HostedReading) uint64 { return r.LimitRefusals }),
		gauge("transfers_running", "Long bodies that cross to this node.", func(r HostedReading) float64 { return float64(r.Transfers) }),
		gauge("transfers_waiting", "Long bodies that wait for their turn on the link of this node.", func(r HostedReading) float64 { return float64(r.WaitingTransfers) }),
		counter("transfers_refused_total", "Long bodies that got no turn on the link of this node.", func(r HostedReading) uint64 { return r.RefusedTransfers }),
		gauge("quarantined_requests", "Requests that are run nowhere any more, since they crash the workers that run them.", func(r HostedReading) float64 { return float64(r.Quarantined) }),
		gauge("suspected_requests", "Requests that a worker had in hand when it ended, and that were neither cleared nor quarantined.", func(r HostedReading) float64 { return float64(r.Suspected) }),
		gauge("store_era", "Times that the store came back from a copy, from one; 0 when it does not tell.", func(r HostedReading) float64 { return float64(r.StoreRestores.Era) }),
		counter("store_restores_total", "Returns of the store from a copy that this node has heard of.", func(r HostedReading) uint64 { return r.StoreRestores.Restores }),
		counter("documents_passed_over_total", "Documents of the store that were older than the one held.", func(r HostedReading) uint64 { return r.StoreRestores.PassedOver }),
		counter("rejected_writes_total", "Calls for workers, and entries in the store, that could not be used.", func(r HostedReading) uint64 { return r.StoreRestores.Rejected }),
		counter("comparisons_total", "Questions to other nodes whether they know the same.", func(r HostedReading) uint64 { return r.Messages.Exchanges }),
		counter("broadcasts_total", "Messages with news to other nodes.", func(r HostedReading) uint64 { return r.Messages.Broadcasts }),
		counter("reader_questions_total", "Messages that ask nodes which read the store whether they are there.", func(r HostedReading) uint64 { return r.Messages.Probes }),
		newIntakeCollector(func() []intake.Reading { return read().Intake }),
		newPanicCollector(panics.Read),
		newRefusalCollector(func() map[hosted.RefusalReason]uint64 { return read().Refusals }),
		newIgnoredCallsCollector(func() hosted.IgnoredCalls { return read().IgnoredCalls }),
		newQuotaCollector(func() hosted.QuotaReading { return read().Quotas }),
		counter("misdirected_messages_total", "Messages that another node has answered than the one they were for, since it has its address.", func(r HostedReading) uint64 { return r.Messages.Misdirected }),
		counter("borrowings_total", "Messages to other nodes on the limits of tenants.", func(r HostedReading) uint64 { return r.Messages.QuotaRequests }),
		counter("broadcast_records_total", "Records of nodes in messages with news.", func(r HostedReading) uint64 { return r.Messages.Records }),
	)
	return &Registry{registry: registry}
}

// NewStoreObserver registers the metrics of calls to the platform's store, and
// returns the function to call after each.
func NewStoreObserver(registerer prometheus.Registerer) hosted.StoreObserver {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "store_calls_total",
		Help: "Calls to the platform's store, by kind and result.",
	}, []string{"call", labelResult})
	seconds := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "store_call_seconds_total",
		Help: "Time that calls to the platform's store took, by kind; watches wait for news.",
	}, []string{"call"})
	registerer.MustRegister(calls, seconds)
	return func(call, result string, took time.Duration) {
		calls.WithLabelValues(call, result).Inc()
		seconds.WithLabelValues(call).Add(took.Seconds())
	}
}
