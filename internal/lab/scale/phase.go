package scale

import (
	"context"
	"time"

	"github.com/levertide/levertide/internal/lab/observe"
	"github.com/levertide/levertide/internal/lab/results"
)

// windowSeconds is the window over which control bytes are averaged.
const windowSeconds = 60

// phase is one part of a run while it goes on.
type phase struct {
	name     string
	started  time.Time
	requests uint64
	changes  []change
	failed   int
	// affected are nodes that a herd hits; they do not count for convergence.
	affected map[string]struct{}
	// reachedBy is when the hit nodes had recovered, and healed when the fault ended.
	healed    time.Time
	recovered time.Time
	note      string
}

// run is the whole run.
type run struct {
	options  Options
	cluster  *Cluster
	progress *progress
	result   *results.Scale
	ownPID   int
}

// begin starts a phase.
func (r *run) begin(name string) *phase {
	r.progress.say("phase %s", name)
	return &phase{
		name:     name,
		started:  time.Now(),
		requests: r.cluster.requests.soFar(),
		affected: make(map[string]struct{}),
	}
}

// change applies the next change in a phase; a failure is counted.
func (r *run) change(ctx context.Context, during *phase) {
	made, err := r.cluster.applyNext(ctx)
	if err != nil {
		during.failed++
		r.progress.say("a change was not committed: %v", err)
		return
	}
	during.changes = append(during.changes, made)
}

// changeUntil applies changes at the run's interval until a moment.
func (r *run) changeUntil(ctx context.Context, during *phase, end time.Time) {
	r.changeWhile(ctx, during, func() bool { return time.Now().Before(end) })
}

// changeWhile applies changes at the run's interval while something holds.
func (r *run) changeWhile(ctx context.Context, during *phase, holds func() bool) {
	interval := r.cluster.options.Size.ChangeInterval
	for holds() && ctx.Err() == nil {
		next := time.Now().Add(interval)
		r.change(ctx, during)
		pause(ctx, time.Until(next))
	}
}

// pause waits for a while or until the context ends.
func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(max(length, 0))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// convergence is how long the changes of a phase took on unaffected nodes.
type convergence struct {
	// each holds one value for each node and change, last one for each change.
	each          []float64
	last          []float64
	commitToLast  []float64
	proposeToDone []float64
	missing       int
}

// converge works out the convergence of a phase, in milliseconds.
func (r *run) converge(of *phase) convergence {
	var nodes []string
	for _, name := range r.cluster.names() {
		if _, hit := of.affected[name]; !hit {
			nodes = append(nodes, name)
		}
	}
	var worked convergence
	for _, made := range of.changes {
		reached := r.cluster.recorder.TimesInForce(made.version, time.Time{}, nodes)
		worked.missing += len(nodes) - len(reached)
		if len(reached) == 0 {
			continue
		}
		var last time.Time
		for _, at := range reached {
			worked.each = append(worked.each, observe.Milliseconds(at.Sub(made.began)))
			if at.After(last) {
				last = at
			}
		}
		worked.last = append(worked.last, observe.Milliseconds(last.Sub(made.began)))
		worked.commitToLast = append(worked.commitToLast, observe.Milliseconds(last.Sub(made.committed)))
		worked.proposeToDone = append(worked.proposeToDone, observe.Milliseconds(made.committed.Sub(made.began)))
	}
	return worked
}

// finish ends a phase and adds its figures to the result.
func (r *run) finish(ended *phase) {
	now := time.Now()
	cluster := r.cluster
	from := ended.started.Sub(cluster.started).Seconds()
	to := now.Sub(cluster.started).Seconds()
	bytes := cluster.measured.spreadsOver(from, to, windowSeconds)
	worked := r.converge(ended)
	rate := float64(cluster.requests.soFar()-ended.requests) / (to - from)
	figures := results.Phase{
		Name:               ended.name,
		StartSecond:        from,
		DurationSeconds:    to - from,
		Affected:           len(ended.affected),
		Convergence:        results.QuantilesOf(observe.Distribute(worked.last)),
		ControlBytes:       bytes.all,
		ControlBytesByRole: bytes.byRole,
		Heaviest:           bytes.heaviest,
		WindowSeconds:      bytes.window,
		StoreReaders:       cluster.requests.mostReaders(ended.started, now),
		StoreRequests:      &rate,
		Applied:            len(ended.changes),
		Failed:             ended.failed,
		Note:               ended.note,
	}
	if !ended.recovered.IsZero() {
		seconds := max(ended.recovered.Sub(ended.healed).Seconds(), 0)
		figures.RecoverySeconds = &seconds
	}
	r.result.Phases = append(r.result.Phases, figures)
	r.describe(figures, worked)
	r.describeCommits(worked)
	r.describeSilent(ended)
}

// describeCommits prints how long changes took up to the commit and after it.
func (r *run) describeCommits(worked convergence) {
	r.progress.say("propose to commit %s, commit to in force %s",
		showQuantiles(results.QuantilesOf(observe.Distribute(worked.proposeToDone))),
		showQuantiles(results.QuantilesOf(observe.Distribute(worked.commitToLast))))
}

// describeSilent prints which changes did not wait for silent nodes.
func (r *run) describeSilent(of *phase) {
	for _, commit := range r.cluster.recorder.Commits() {
		if commit.Silent > 0 && !commit.Time.Before(of.started) {
			r.progress.say("phase %s: version %d was committed without %d silent nodes", of.name, commit.Version, commit.Silent)
		}
	}
}

// describe prints the figures of a phase.
func (r *run) describe(figures results.Phase, worked convergence) {
	r.progress.say("phase %s: %d changes, %d failed, convergence %s, bytes %s, store %.2f requests/s, recovery %s, missing %d",
		figures.Name, figures.Applied, figures.Failed, showQuantiles(figures.Convergence), showSpread(figures.ControlBytes),
		*figures.StoreRequests, showSeconds(figures.RecoverySeconds), worked.missing)
}
