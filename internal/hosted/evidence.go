package hosted

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/levertide/levertide/internal/evidencewire"
	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/quarantine"
)

// What nodes learn about requests that crash workers is spread in three ways. Evidence goes with
// the updates of the zone's hub, once: each worker that ends costs each node one message.
// Anti-entropy exchanges deliver what a node lacks, such as one that has just started or was cut
// off. And a decision, that a request is quarantined, is kept in the records of the nodes that have
// seen it crash a worker, and so in their entries in the store, like their drain commitments: the
// store outlasts the loss of all nodes.

// evidenceBatch is how long a node collects evidence before it sends it to the others: all requests
// that a worker was running then go in one message.
const evidenceBatch = 5 * time.Millisecond

// exchangedEvidence bounds the pieces of evidence in one anti-entropy exchange, some 60 bytes each:
// 2 KB a second at most while nodes hold different evidence.
const exchangedEvidence = 32

// Sources of a change in what a node knows of a request, as shown in the log.
const (
	sourceOwnWorker           = "own worker"
	sourceOwnCall             = "own call"
	sourceEvidence            = "evidence of other nodes"
	sourceRecord              = "record of another node"
	sourceExchange            = "comparison with another node"
	sourcePreviousIncarnation = "former life"
	sourceOperator            = "operator"
	sourceCompleteAnswer      = "whole answer"
	sourceExpired             = "time is over"
	// sourceHousekeeping stands for changes that no other source reported: a call that began here
	// was lost with its worker, or a quarantine has expired.
	sourceHousekeeping = ""
)

// evidence exchanges with other nodes what each knows of requests that crash workers.
type evidence struct {
	agent *Agent
	table *quarantine.Table

	mu      contain.Mutex
	pending []quarantine.Report
	// logged are the requests whose quarantine was last logged as in force.
	logged map[quarantine.Fingerprint]bool
}

func newEvidence(agent *Agent, table *quarantine.Table) *evidence {
	return &evidence{agent: agent, table: table, logged: map[quarantine.Fingerprint]bool{}}
}

// ReportEvidence sends this node's findings on requests to the other nodes. It does not block.
func (a *Agent) ReportEvidence(reports []quarantine.Report) { a.evidence.report(reports) }

func (e *evidence) report(reports []quarantine.Report) {
	e.mu.Lock()
	first := len(e.pending) == 0
	e.pending = append(e.pending, reports...)
	e.mu.Unlock()
	if first {
		e.agent.background(e.send)
	}
}

// send sends the collected reports to the other nodes.
func (e *evidence) send(ctx context.Context) {
	sleep(ctx, evidenceBatch)
	e.mu.Lock()
	reports := e.pending
	e.pending = nil
	e.mu.Unlock()
	e.review(sourceOwnWorker)
	e.agent.peers.announce(ctx, update{evidence: evidencewire.EncodeReports(reports)})
}

// take merges evidence from another node.
func (e *evidence) take(messages []*exchangepb.Evidence) {
	if len(messages) == 0 {
		return
	}
	e.table.Merge(evidencewire.DecodeReports(messages), time.Now())
	e.review(sourceEvidence)
}

// digest returns a digest of the evidence held.
func (e *evidence) digest() uint64 { return e.table.Digest() }

// held returns evidence and all decisions, for another node.
func (e *evidence) held() ([]*exchangepb.Evidence, []*exchangepb.Quarantine) {
	now := time.Now()
	return evidencewire.EncodeReports(e.table.Reports(exchangedEvidence, now)), evidencewire.EncodeVerdicts(e.table.Verdicts(now))
}

// takeDecisions adopts the decisions that another node holds.
func (e *evidence) takeDecisions(messages []*exchangepb.Quarantine) {
	if len(e.table.Restore(evidencewire.DecodeVerdicts(messages), false, time.Now())) > 0 {
		e.review(sourceExchange)
	}
}

// takeRecords adopts the decisions in the records of other nodes.
func (e *evidence) takeRecords(nodes []fleet.Node) {
	found := false
	for _, n := range nodes {
		found = found || len(e.table.Restore(n.Quarantined, false, time.Now())) > 0
	}
	if found {
		e.review(sourceRecord)
	}
}

// takePrevious adopts the decisions that a previous incarnation of this node has left.
func (e *evidence) takePrevious(previous fleet.Node) {
	if len(previous.Quarantined) == 0 {
		return
	}
	e.table.Restore(previous.Quarantined, true, time.Now())
	e.review(sourcePreviousIncarnation)
}

// Lift lets requests run again at all nodes, on an operator's request.
func (a *Agent) Lift(requests []quarantine.Fingerprint) { a.evidence.lift(requests) }

func (e *evidence) lift(requests []quarantine.Fingerprint) {
	var reports []quarantine.Report
	for _, f := range requests {
		if report, found := e.table.Lift(f, time.Now()); found {
			reports = append(reports, report)
		}
	}
	if len(reports) == 0 {
		return
	}
	e.review(sourceOperator)
	e.report(reports)
}

// expire drops evidence and decisions that are too old.
func (e *evidence) expire() {
	if e.table.Empty() && !e.logsAny() {
		return
	}
	e.table.Expire(time.Now())
	e.review(sourceHousekeeping)
}

// review updates the log and this node's record from the table after it was changed by the given
// source.
func (e *evidence) review(source string) {
	now := time.Now()
	e.log(e.table.Verdicts(now), source)
	confirmed := e.table.Confirmed(now)
	own := e.agent.config.Table.View().Self()
	if slices.EqualFunc(own.Quarantined, confirmed, sameVerdict) {
		return
	}
	e.agent.config.Table.Update(func(own *fleet.Node) { own.Quarantined = confirmed })
	e.agent.background(e.agent.spreadRecord)
	e.agent.background(func(ctx context.Context) {
		// If the store cannot be reached, the other nodes still know the decision, and the write is
		// retried later.
		_ = e.agent.announcer.PersistEntry(ctx)
	})
}

func (e *evidence) logsAny() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.logged) > 0
}

func sameVerdict(a, b quarantine.Verdict) bool {
	return a.Fingerprint == b.Fingerprint && a.Until.Equal(b.Until)
}

// log logs what has changed since the last call.
func (e *evidence) log(verdicts []quarantine.Verdict, source string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := map[quarantine.Fingerprint]bool{}
	for _, v := range verdicts {
		held[v.Fingerprint] = true
		if !e.logged[v.Fingerprint] {
			e.agent.config.Events.RequestQuarantined(v, cmp.Or(source, sourceOwnCall))
		}
	}
	for f := range e.logged {
		if !held[f] {
			e.agent.config.Events.QuarantineEnded(f, endReason(source))
		}
	}
	e.logged = held
}

// endReason returns why a quarantine has ended, from the source of the change.
func endReason(source string) string {
	switch source {
	case sourceOperator:
		return source
	case sourceHousekeeping:
		return sourceExpired
	default:
		return sourceCompleteAnswer
	}
}
