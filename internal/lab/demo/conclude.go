package demo

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/levertide/levertide/internal/lab/calls"
	"github.com/levertide/levertide/internal/lab/observe"
	"github.com/levertide/levertide/internal/lab/results"
	"github.com/levertide/levertide/internal/lab/worker"
)

// Limits of the checks, and of the number of notices in a result.
const (
	maxReaders       = 3
	convergenceBound = results.BudgetConvergenceMilliseconds
	maxNotices       = 20
)

// conclude runs the final checks, stops every process and returns the result.
func (r *run) conclude(ctx context.Context) *results.Experiment {
	result := &results.Experiment{
		Experiment: r.file.Name,
		Seed:       r.file.Seed,
		Nodes:      len(r.mesh.Nodes()),
		Workers:    workersOf(r.mesh),
	}
	result.ControlBytes, result.ControlBytesTotal = r.meter.figures()
	r.concludeStore(result)
	r.concludeVersions(ctx, result)
	r.concludeCalls(ctx, result)
	r.checkNotices()
	r.concludeProcesses()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	result.Checks = r.checks
	result.Marks = r.marks
	for i, notice := range r.recorder.Notices() {
		if i < maxNotices {
			result.Notices = append(result.Notices, fmt.Sprintf("%s: %s %s%s%s", notice.Node, notice.Name, notice.Text, notice.Error, notice.Reason))
		}
	}
	return result
}

// readersWindow is the time over which readers are counted. It is long enough to include the commit
// of a version, on which every reader sends the store a request again.
const readersWindow = time.Second

// countReaders counts the nodes that send the store requests around the commit of a version. It is
// called once, before the first fault, since after a fault nodes take over the role of reader from
// one another.
func (r *run) countReaders(ctx context.Context) {
	pause(ctx, readersWindow)
	r.readers = r.mesh.NodesAskingStore()
}

// checkNotices checks that no node failed to start and that no part of a node failed.
func (r *run) checkNotices() {
	failed := 0
	for _, notice := range r.recorder.Notices() {
		if notice.Number == observe.EventStartFailed || notice.Number == observe.EventPartFailed {
			failed++
		}
	}
	r.check("no-part-failed", failed == 0, "%d starts or parts of nodes failed", failed)
}

// concludeStore records the request rate of the store and checks the number of its readers.
func (r *run) concludeStore(result *results.Experiment) {
	counters := r.mesh.StoreCounters()
	rate := float64(counters.Total) / time.Since(counters.Since).Seconds()
	result.StoreRequests = &rate
	result.StoreReaders = &r.readers
	r.check("store-readers", r.readers > 0 && r.readers <= maxReaders,
		"%d nodes asked the store around the commit of a version before the first fault, at most %d may", r.readers, maxReaders)
}

// concludeVersions checks the versions on the nodes and in the store and computes convergence.
func (r *run) concludeVersions(ctx context.Context, result *results.Experiment) {
	waiting, cancel := context.WithTimeout(ctx, settleBound)
	defer cancel()
	last := r.current()
	err := r.recorder.AwaitVersion(waiting, last, r.mesh.LiveNames())
	r.check("newest-version-everywhere", err == nil, "version %d on %d nodes %s", last, len(r.mesh.LiveNames()), errorText(err))
	committed, err := r.mesh.CommittedVersions(ctx)
	r.check("history-readable", err == nil, "%d versions committed %s", len(committed), errorText(err))
	r.recorder.CheckCommitted(committed)
	for _, accepted := range r.applied {
		r.check("accepted-is-committed", slices.Contains(committed, accepted.result.Version),
			"version %d of step %s", accepted.result.Version, accepted.step)
	}
	r.convergence(result)
	violations := r.recorder.Violations()
	count := len(violations)
	result.Violations = &count
	r.check("no-violations", count == 0, "%d violations %v", count, violations)
}

// errorText returns an error's text; empty for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// convergence computes how long each accepted version took to come into force on the nodes that ran
// throughout. The first version does not count, because nodes were still starting.
func (r *run) convergence(result *results.Experiment) {
	var times []float64
	for _, accepted := range r.applied {
		version := results.Version{Number: accepted.result.Version, Step: accepted.step, Nodes: len(accepted.live)}
		reached := r.recorder.TimesInForce(version.Number, time.Time{}, accepted.live)
		if len(reached) == len(accepted.live) {
			slowest := slowestOf(reached)
			took := observe.Milliseconds(slowest.Sub(accepted.result.Began))
			afterCommit := observe.Milliseconds(slowest.Sub(accepted.result.Ended))
			version.Milliseconds, version.CommitMilliseconds = &took, &afterCommit
		}
		result.Versions = append(result.Versions, version)
		if accepted.step == firstStep {
			continue
		}
		held := version.Milliseconds != nil && (*version.Milliseconds <= convergenceBound || r.duringFault(accepted.result.Began))
		r.check("convergence", held, "version %d of step %s in force on %d nodes after %s ms",
			version.Number, version.Step, version.Nodes, formatMilliseconds(version.Milliseconds))
		if version.Milliseconds != nil {
			times = append(times, *version.Milliseconds)
		}
	}
	result.Convergence = results.QuantilesOf(observe.Distribute(times))
}

// slowestOf returns the latest of some times.
func slowestOf(times map[string]time.Time) time.Time {
	var slowest time.Time
	for _, at := range times {
		if at.After(slowest) {
			slowest = at
		}
	}
	return slowest
}

// duringFault reports whether at falls within a fault or within faultTail after its end.
func (r *run) duringFault(at time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.ContainsFunc(r.faults, func(fault faultWindow) bool {
		return !at.Before(fault.from) && at.Before(fault.to)
	})
}

// concludeCalls compares the results that callers saw with the executions that workers recorded.
func (r *run) concludeCalls(ctx context.Context, result *results.Experiment) {
	if r.caller == nil {
		return
	}
	totals := r.caller.Totals()
	result.Seconds = r.caller.Seconds()
	result.Calls, result.Answered = &totals.Calls, &totals.Answered
	result.NotRun, result.Unknown, result.WrongAnswers = &totals.NotRun, &totals.Unknown, &totals.Wrong
	r.check("calls-answered", totals.Answered > 0, "%d of %d calls answered", totals.Answered, totals.Calls)
	r.check("no-wrong-answers", totals.Wrong == 0, "%d wrong answers %v", totals.Wrong, firstDetails(r.caller.Details()))
	r.checkUnknown()
	records, err := r.records(ctx)
	if err != nil {
		r.check("workers-readable", false, "%v", err)
		return
	}
	found := r.caller.Audit(records)
	duplicates := len(found.Duplicates)
	result.Duplicates = &duplicates
	r.check("no-duplicate-executions", duplicates == 0, "%d calls ran more than once %v", duplicates, found.Duplicates)
	r.check("not-run-did-not-run", len(found.RanThoughNotRun) == 0, "%d calls ran though refused %v", len(found.RanThoughNotRun), found.RanThoughNotRun)
	r.check("answered-was-executed", len(found.NeverExecuted) == 0, "%d answered calls that no worker executed", len(found.NeverExecuted))
	for _, reason := range r.caller.Reasons() {
		r.say("not answered: %d times %q", reason.Count, reason.Text)
	}
}

// firstDetails returns the first five details, to keep messages short.
func firstDetails(details []calls.Detail) []calls.Detail { return details[:min(len(details), 5)] }

// checkUnknown checks that calls ended with an unknown outcome only during faults or shortly after.
func (r *run) checkUnknown() {
	outside := 0
	for _, at := range r.caller.UnknownAt() {
		if !r.duringFault(at) {
			outside++
		}
	}
	r.check("unknown-only-around-faults", outside == 0, "%d calls ended as unknown while no fault went on", outside)
}

// records reads the execution records of every worker.
func (r *run) records(ctx context.Context) ([]worker.Record, error) {
	var all []worker.Record
	for _, node := range r.mesh.Nodes() {
		client := node.Worker()
		if client == nil {
			continue
		}
		records, _, err := client.Records(ctx)
		if err != nil {
			return nil, err
		}
		all = append(all, records...)
	}
	return all, nil
}

// concludeProcesses stops everything and checks that each process ends by itself.
func (r *run) concludeProcesses() {
	r.say("stopping every process")
	killed := r.group.StopAll(stopBound)
	r.check("orderly-end", killed == 0, "%d processes had to be killed at the end", killed)
	unplanned := r.group.Unplanned()
	r.check("no-end-by-itself", len(unplanned) == 0, "%d processes ended that were not to: %s", len(unplanned), strings.Join(unplanned, "\n"))
	r.check("nothing-left-running", len(r.group.Running()) == 0, "%d processes are left", len(r.group.Running()))
}

// formatMilliseconds formats a time in milliseconds; nil means that not every node reached the version.
func formatMilliseconds(figure *float64) string {
	if figure == nil {
		return "(not reached everywhere)"
	}
	return fmt.Sprintf("%.0f", *figure)
}
