package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/levertide/levertide/internal/dataplane"
)

const (
	labelOutcome = "outcome"
	labelResult  = "result"
	labelReason  = "reason"
)

// CallObserver turns the reports of the data plane into metrics and events. Single
// calls are counted, never logged.
type CallObserver struct {
	log *Log
	*termsLog
	calls     *prometheus.CounterVec
	peerCalls *prometheus.CounterVec
	attempts  prometheus.Counter
	truncated prometheus.Counter
	durations prometheus.Histogram
}

var _ dataplane.Observer = (*CallObserver)(nil)

// NewCallObserver registers the metrics of calls.
func NewCallObserver(registerer prometheus.Registerer, log *Log) *CallObserver {
	labels := []string{labelOutcome, labelReason}
	observer := &CallObserver{
		log:       log,
		termsLog:  newTermsLog(log),
		calls:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "calls_total", Help: "Calls from callers, by outcome and reason."}, labels),
		peerCalls: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "peer_calls_total", Help: "Calls from other nodes for the worker of this one, by outcome and reason."}, labels),
		attempts:  prometheus.NewCounter(prometheus.CounterOpts{Name: "call_attempts_total", Help: "Nodes asked on behalf of callers."}),
		truncated: prometheus.NewCounter(prometheus.CounterOpts{Name: "calls_truncated_total", Help: "Answers that were cut short, which the caller sees as a broken connection."}),
		durations: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "call_duration_seconds",
			Help:    "Time from the head of a caller's request to the end of its answer.",
			Buckets: []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10, 60},
		}),
	}
	registerer.MustRegister(observer.calls, observer.peerCalls, observer.attempts, observer.truncated, observer.durations)
	return observer
}

// CallFinished counts a call from a caller.
func (o *CallObserver) CallFinished(report dataplane.CallReport) {
	o.calls.WithLabelValues(string(report.Outcome), string(report.Reason)).Inc()
	o.attempts.Add(float64(report.Attempts))
	o.durations.Observe(report.Duration.Seconds())
	if report.Truncated {
		o.truncated.Inc()
	}
}

// PeerCallFinished counts a call from another node.
func (o *CallObserver) PeerCallFinished(report dataplane.CallReport) {
	o.peerCalls.WithLabelValues(string(report.Outcome), string(report.Reason)).Inc()
}

// RuntimeInForce records which version calls are routed by.
func (o *CallObserver) RuntimeInForce(version uint64, routes int) {
	end(o.log.begin(eventRoutesInForce).Uint64(fieldVersion, version).Int("routes", routes))
}

// RuntimeRejected records that the routes of a version cannot be used.
func (o *CallObserver) RuntimeRejected(version uint64, err error) {
	end(o.log.begin(eventRoutesRejected).Uint64(fieldVersion, version).Str(fieldError, errorText(err)))
}

// DrainStarted records that calls of other nodes are refused from now on.
func (o *CallObserver) DrainStarted(inFlight int) {
	end(o.log.begin(eventDrainStarted).Int(fieldCallsInFlight, inFlight))
}

// DrainFinished records how the drain ended.
func (o *CallObserver) DrainFinished(report dataplane.DrainReport) {
	milliseconds := report.Duration.Milliseconds()
	if report.Clean() {
		end(o.log.begin(eventDrained).Int64(fieldDuration, milliseconds))
		return
	}
	end(o.log.begin(eventDrainExceeded).Int64(fieldDuration, milliseconds).
		Int(fieldCallsInFlight, report.CallerCalls+report.PeerCalls))
}
