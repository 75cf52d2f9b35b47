package telemetry

import (
	"strconv"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/levertide/levertide/internal/forwarding"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/quarantine"
)

const (
	// callLinesPerSecond and callLinesBurst bound the log lines of single calls.
	callLinesPerSecond = 50
	callLinesBurst     = 200

	// labelStatus is the label with the HTTP status of an answer.
	labelStatus = "status"
	// resultMade and resultDenied are the values of the label that says whether the retry
	// budget allowed a retry.
	resultMade   = "made"
	resultDenied = "denied"
)

// ForwardingObserver turns the reports of the call path of the hosted mode into
// metrics and events.
type ForwardingObserver struct {
	log     *Log
	limiter *rate.Limiter
	dropped func()
	*termsLog
	calls         *prometheus.CounterVec
	hops          *prometheus.CounterVec
	clientRetries *prometheus.CounterVec
	retries       *prometheus.CounterVec
	held          *prometheus.CounterVec
	unmarked      *prometheus.CounterVec
	offers        prometheus.Counter
	arrivals      prometheus.Counter
	durations     prometheus.Histogram
	waits         prometheus.Histogram
	runs          prometheus.Histogram
}

var _ forwarding.Observer = (*ForwardingObserver)(nil)

// NewForwardingObserver registers the metrics of calls. Dropped is called for
// each log line that is left out because there are too many.
func NewForwardingObserver(registerer prometheus.Registerer, log *Log, dropped func()) *ForwardingObserver {
	labels := []string{"service", labelOutcome, labelReason}
	o := &ForwardingObserver{
		log:           log,
		limiter:       rate.NewLimiter(callLinesPerSecond, callLinesBurst),
		dropped:       dropped,
		termsLog:      newTermsLog(log),
		calls:         prometheus.NewCounterVec(prometheus.CounterOpts{Name: "calls_total", Help: "Calls that began at this node, by service, outcome and reason."}, labels),
		hops:          prometheus.NewCounterVec(prometheus.CounterOpts{Name: "hops_total", Help: "Calls of other nodes for the worker beside this one, by service, outcome and reason."}, labels),
		clientRetries: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "returned_calls_total", Help: "Calls of callers that were refused before and came back, by service and outcome."}, []string{"service", labelOutcome}),
		retries:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "retries_total", Help: "Further attempts beside the first that reached a worker, by service and whether the retry budget paid for them."}, []string{"service", labelResult}),
		held:          prometheus.NewCounterVec(prometheus.CounterOpts{Name: "held_calls_total", Help: "Calls that waited for their node to start, by service and outcome."}, []string{"service", labelOutcome}),
		unmarked:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "unmarked_refusals_total", Help: "Answers of workers that look like refusals and lack the mark of one, by service and status."}, []string{"service", labelStatus}),
		offers:        prometheus.NewCounter(prometheus.CounterOpts{Name: "call_offers_total", Help: "Nodes asked on behalf of callers."}),
		arrivals:      prometheus.NewCounter(prometheus.CounterOpts{Name: "call_arrivals_total", Help: "Workers that may have had a call that failed there."}),
		durations:     newLatencies("call_duration_seconds", "Time from the head of a caller's request to the end of its answer."),
		waits:         newLatencies("worker_wait_seconds", "Time that calls waited for a slot of the worker beside this node, also when they got none."),
		runs:          newLatencies("worker_run_seconds", "Time that the worker beside this node had a call."),
	}
	registerer.MustRegister(o.calls, o.hops, o.clientRetries, o.retries, o.held, o.unmarked, o.offers, o.arrivals, o.durations, o.waits, o.runs)
	return o
}

func newLatencies(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: name, Help: help, Buckets: []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1, 2},
	})
}

// observeRetries counts the retries that the retry budget allowed, and those that it denied.
func (o *ForwardingObserver) observeRetries(report forwarding.CallReport) {
	if report.Retries > 0 {
		o.retries.WithLabelValues(report.Service, resultMade).Add(float64(report.Retries))
	}
	if report.RetryDenied {
		o.retries.WithLabelValues(report.Service, resultDenied).Inc()
	}
}

// observeWorker records how long a call waited for the worker beside this node, and how long it
// ran there.
func (o *ForwardingObserver) observeWorker(report forwarding.CallReport) {
	if report.Waited > 0 {
		o.waits.Observe(report.Waited.Seconds())
	}
	if report.Ran > 0 {
		o.runs.Observe(report.Ran.Seconds())
	}
}

// CallFinished counts a call, and logs one that no worker answered completely, or not at the first
// attempt. Refusals by a node that is not ready or by a tenant's limit are not logged.
func (o *ForwardingObserver) CallFinished(report forwarding.CallReport) {
	o.calls.WithLabelValues(report.Service, string(report.Outcome), string(report.Reason)).Inc()
	if report.ClientRetry {
		o.clientRetries.WithLabelValues(report.Service, string(report.Outcome)).Inc()
	}
	if report.Held > 0 {
		o.held.WithLabelValues(report.Service, string(report.Outcome)).Inc()
	}
	o.observeRetries(report)
	o.offers.Add(float64(report.Offers))
	o.arrivals.Add(float64(report.Arrivals))
	o.durations.Observe(report.Duration.Seconds())
	o.observeWorker(report)
	if report.UnmarkedStatus > 0 {
		o.unmarked.WithLabelValues(report.Service, strconv.Itoa(report.UnmarkedStatus)).Inc()
	}
	served := report.Outcome == outcome.Answered && !report.Truncated && report.UnmarkedStatus == 0
	if served && report.Offers <= 1 || report.Reason == outcome.NotReady {
		return
	}
	if served && report.Arrivals == 0 || report.Reason == outcome.QuotaExceeded {
		return
	}
	if !o.allowLine() {
		return
	}
	entry := o.log.begin(eventCallFailed).Str("request", bounded(report.RequestID)).Str("route", report.Route).Str("service", report.Service).
		Uint64(fieldVersion, report.Version)
	o.addTenant(entry, report)
	o.addOutcome(entry, report).Str("peer", report.Node).Str("instance", report.Instance).
		Int("offers", report.Offers)
	o.addDecision(entry, report).Bool("came_back", report.ClientRetry).Float64("budget", report.BudgetLeft).
		Int64("left_milliseconds", report.Left.Milliseconds()).Int64(fieldDuration, report.Duration.Milliseconds()).
		Int64("retry_after_milliseconds", report.RetryAfter.Milliseconds()).Bool("truncated", report.Truncated)
	end(entry.Str(fieldError, errorText(report.Cause)))
}

// HopFinished counts a call of another node, and logs one that may have run without
// a complete answer.
func (o *ForwardingObserver) HopFinished(report forwarding.CallReport) {
	o.hops.WithLabelValues(report.Service, string(report.Outcome), string(report.Reason)).Inc()
	o.observeWorker(report)
	expected := report.Outcome == outcome.Answered && !report.Truncated && report.UnmarkedStatus == 0 || report.Reason == outcome.Overloaded || report.Reason == outcome.Declined
	if expected || !o.allowLine() {
		return
	}
	entry := o.log.begin(eventHopFailed).Str("request", bounded(report.RequestID)).Str("service", report.Service).Str("instance", report.Instance)
	o.addTenant(entry, report)
	o.addOutcome(entry, report)
	o.addDecision(entry, report).Int64("left_milliseconds", report.Left.Milliseconds()).
		Int64(fieldDuration, report.Duration.Milliseconds()).Bool("truncated", report.Truncated)
	end(entry.Str(fieldError, errorText(report.Cause)))
}

func (o *ForwardingObserver) allowLine() bool {
	if o.limiter.AllowN(time.Now(), 1) {
		return true
	}
	o.dropped()
	return false
}

func (o *ForwardingObserver) addTenant(entry *log.Entry, report forwarding.CallReport) {
	if report.Tenant != "" {
		entry.Str(fieldTenant, report.Tenant)
	}
}

func (o *ForwardingObserver) addOutcome(entry *log.Entry, report forwarding.CallReport) *log.Entry {
	return entry.Str("outcome", string(report.Outcome)).Str(fieldReason, string(report.Reason)).Int("status", report.Status).
		Str(fieldRefusedBy, report.RefusedBy).Str(fieldEvidence, string(report.Evidence)).Int("unmarked_status", report.UnmarkedStatus).
		Str(fieldFingerprint, fingerprintText(report.Fingerprint))
}

func (o *ForwardingObserver) addDecision(entry *log.Entry, report forwarding.CallReport) *log.Entry {
	return entry.Int("arrivals", report.Arrivals).
		Int64("waited_milliseconds", report.Waited.Milliseconds()).Int64("ran_milliseconds", report.Ran.Milliseconds()).
		Int("running", report.Running).Int("waiting", report.Waiting).Int("slots", report.Slots).Str("limit", report.Limit)
}

// fingerprintText formats a fingerprint for the log; empty when there is none.
func fingerprintText(f quarantine.Fingerprint) string {
	if f == (quarantine.Fingerprint{}) {
		return ""
	}
	return f.String()
}
