package hosted

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/evidencewire"
	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/quarantine"
)

// What nodes find out of requests that crash workers travels in three ways. Evidence goes
// with the news of the zone's hub, once: each worker that ends is one message at each
// node. Comparisons find what somebody lacks, as a node does that has just started or was
// cut off. And a decision, that a request is quarantined, stands in the records of the
// nodes that have seen it crash a worker, and so in their entries in the store, as what
// they promise does: the store outlasts the loss of all nodes.

// evidenceBatch is how long a node collects what it finds out before it tells the
// others: all that a worker had in hand then goes in one message.
const evidenceBatch = 5 * time.Millisecond

// exchangedEvidence bounds the pieces of evidence that go with one comparison, some 60 bytes
// each: 2 KB a second at most while nodes hold different evidence.
const exchangedEvidence = 32

// Sources of what a node knows of a request.
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
	// sourceHousekeeping stands for what was found when nobody told: a call that began
	// here was lost with its worker, or the time of a quarantine is over.
	sourceHousekeeping = ""
)

// evidence brings what this node knows of requests that crash workers to the others, and
// takes what they tell.
type evidence struct {
	agent *Agent
	table *quarantine.Table

	mu      sync.Mutex
	pending []quarantine.Report
	// logged are the requests that are quarantined as the log has it.
	logged map[quarantine.Fingerprint]bool
}

func newEvidence(agent *Agent, table *quarantine.Table) *evidence {
	return &evidence{agent: agent, table: table, logged: map[quarantine.Fingerprint]bool{}}
}

// ReportEvidence brings what this node has found out of requests to the others. It does not block.
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

// send tells the others what was collected.
func (e *evidence) send(ctx context.Context) {
	sleep(ctx, evidenceBatch)
	e.mu.Lock()
	reports := e.pending
	e.pending = nil
	e.mu.Unlock()
	e.review(sourceOwnWorker)
	e.agent.peers.announce(ctx, update{evidence: evidencewire.Reports(reports)})
}

// take takes what another node tells.
func (e *evidence) take(messages []*exchangepb.Evidence) {
	if len(messages) == 0 {
		return
	}
	e.table.Merge(evidencewire.ReportsOf(messages), time.Now())
	e.review(sourceEvidence)
}

// digest returns a digest of the evidence held.
func (e *evidence) digest() uint64 { return e.table.Digest() }

// held returns evidence and all decisions, for another node.
func (e *evidence) held() ([]*exchangepb.Evidence, []*exchangepb.Quarantine) {
	now := time.Now()
	return evidencewire.Reports(e.table.Reports(exchangedEvidence, now)), evidencewire.Verdicts(e.table.Verdicts(now))
}

// takeDecisions takes what another node holds to be decided.
func (e *evidence) takeDecisions(messages []*exchangepb.Quarantine) {
	if len(e.table.Restore(evidencewire.VerdictsOf(messages), false, time.Now())) > 0 {
		e.review(sourceExchange)
	}
}

// takeRecords takes the decisions that stand in the records of other nodes.
func (e *evidence) takeRecords(nodes []fleet.Node) {
	found := false
	for _, n := range nodes {
		found = found || len(e.table.Restore(n.Quarantined, false, time.Now())) > 0
	}
	if found {
		e.review(sourceRecord)
	}
}

// takePrevious takes the decisions that a former life of this node has left.
func (e *evidence) takePrevious(previous fleet.Node) {
	if len(previous.Quarantined) == 0 {
		return
	}
	e.table.Restore(previous.Quarantined, true, time.Now())
	e.review(sourcePreviousIncarnation)
}

// Lift has requests run again, on the word of an operator, at all nodes.
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

// expire forgets what is too old.
func (e *evidence) expire() {
	if e.table.Empty() && !e.logsAny() {
		return
	}
	e.table.Expire(time.Now())
	e.review(sourceHousekeeping)
}

// review brings the log and the own record in line with the table after it was changed
// by the given source.
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
		// Without the store the others know: it is tried again later.
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

// log records what has changed since the last time.
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

// endReason says why a quarantine has ended, by what the change came from.
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
