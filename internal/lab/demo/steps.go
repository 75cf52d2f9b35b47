package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/lab/experiment"
	"github.com/levertide/levertide/internal/lab/mesh"
	"github.com/levertide/levertide/internal/lab/results"
)

// Names of the operators that apply file sets; the second one applies only in a race.
const (
	operatorName       = "first-operator"
	secondOperatorName = "second-operator"
)

// faultTail is how long after the end of a fault calls may still end with an unknown outcome
// because of it.
const faultTail = 5 * time.Second

// faultWindow is a period in which calls may end with an unknown outcome.
type faultWindow struct{ from, to time.Time }

// timeline starts every step at its time, without waiting for earlier steps, and waits until all
// have ended.
func (r *run) timeline(ctx context.Context) {
	var lasting sync.WaitGroup
	defer lasting.Wait()
	for _, event := range r.file.Timeline {
		pause(ctx, time.Until(r.started.Add(event.At)))
		if ctx.Err() != nil {
			return
		}
		r.recordMark(event.Name)
		lasting.Go(func() { r.step(ctx, event) })
	}
}

// recordMark records when a step began.
func (r *run) recordMark(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.marks = append(r.marks, results.Mark{Second: time.Since(r.started).Seconds(), Name: name})
}

// check records the result of a check and prints it if it did not hold.
func (r *run) check(name string, held bool, format string, arguments ...any) {
	detail := fmt.Sprintf(format, arguments...)
	r.mutex.Lock()
	r.checks = append(r.checks, results.Check{Name: name, Held: held, Detail: detail})
	r.mutex.Unlock()
	if !held {
		r.say("CHECK FAILED: %s: %s", name, detail)
	}
}

// recordFault records that calls may end with an unknown outcome from now until faultTail after a
// fault of the given length.
func (r *run) recordFault(length time.Duration) {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.faults = append(r.faults, faultWindow{now, now.Add(length + faultTail)})
}

// step runs one step of the timeline.
func (r *run) step(ctx context.Context, event experiment.Event) {
	switch {
	case event.Apply != nil:
		r.apply(ctx, event.Name, *event.Apply)
	case event.Race != nil:
		r.race(ctx, event.Name, *event.Race)
	case event.Kill != nil:
		r.forEachNode(event.Name, *event.Kill, "killed", func(node *mesh.Node) { r.recordFault(0); node.Kill() })
	case event.Stop != nil:
		r.stopNodes(event.Name, *event.Stop)
	case event.Restart != nil:
		r.restart(ctx, event.Name, *event.Restart)
	case event.Pause != nil:
		r.pauseNode(ctx, event.Name, *event.Pause)
	case event.Cut != nil:
		r.cut(ctx, event.Name, *event.Cut)
	case event.Outage != nil:
		r.say("%s: the store is down for %v", event.Name, event.Outage.For)
		r.mesh.SetStoreOutage(true)
		pause(ctx, event.Outage.For)
		r.mesh.SetStoreOutage(false)
		r.say("%s: the store is up again", event.Name)
	case event.Slow != nil:
		r.say("%s: the store answers %v late for %v", event.Name, event.Slow.Delay, event.Slow.For)
		r.mesh.SlowStore(*event.Slow)
		pause(ctx, event.Slow.For)
		r.mesh.SlowStore(experiment.Slow{})
	case event.Lost != nil:
		r.say("%s: the store will lose the answers of %d writes", event.Name, event.Lost.Count)
		r.mesh.LoseAnswers(*event.Lost)
	}
}

// apply applies a file set and checks that the outcome is the expected one.
func (r *run) apply(ctx context.Context, step string, request experiment.Apply) {
	first := r.readerCountStarted.CompareAndSwap(false, true)
	if first {
		r.mesh.ResetStoreCounters()
	}
	result, err := r.mesh.Apply(ctx, r.file.Paths(request.Files), r.current(), operatorName)
	if first {
		r.countReaders(ctx)
	}
	if err != nil {
		r.check(step, false, "%v", err)
		return
	}
	held := string(result.Outcome) == string(request.Expect)
	r.check(step, held, "ended as %s, expected %s: %s", result.Outcome, request.Expect, result.Message)
	r.say("%s: apply ended as %s (%s)", step, result.Outcome, result.Message)
	if result.Outcome == mesh.ApplyAccepted {
		r.accepted(ctx, step, result)
	}
}

// accepted records an accepted version and waits until all live nodes run it, so that calls to its
// routes can begin.
func (r *run) accepted(ctx context.Context, step string, result mesh.ApplyResult) {
	r.recordApplied(step, result)
	ctx, cancel := context.WithTimeout(ctx, settleBound)
	defer cancel()
	if err := r.recorder.AwaitVersion(ctx, result.Version, r.mesh.LiveNames()); err != nil {
		r.say("%s: version %d: %v", step, result.Version, err)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.completedSteps[step] = struct{}{}
}

// race applies two sets at once and checks that exactly one was accepted.
func (r *run) race(ctx context.Context, step string, sets experiment.Race) {
	base := r.current()
	var first, second mesh.ApplyResult
	var firstErr, secondErr error
	var racing sync.WaitGroup
	racing.Go(func() { first, firstErr = r.mesh.Apply(ctx, r.file.Paths(sets.First), base, operatorName) })
	racing.Go(func() { second, secondErr = r.mesh.Apply(ctx, r.file.Paths(sets.Second), base, secondOperatorName) })
	racing.Wait()
	if firstErr != nil || secondErr != nil {
		r.check(step, false, "%v, %v", firstErr, secondErr)
		return
	}
	won := (first.Outcome == mesh.ApplyAccepted) != (second.Outcome == mesh.ApplyAccepted)
	lost := first.Outcome == mesh.ApplyConflict || second.Outcome == mesh.ApplyConflict
	r.check(step, won && lost, "%s: %s; %s: %s; expected one accepted and one conflict",
		operatorName, first.Outcome, secondOperatorName, second.Outcome)
	r.say("%s: %s ended as %s, %s as %s", step, operatorName, first.Outcome, secondOperatorName, second.Outcome)
	for _, result := range []mesh.ApplyResult{first, second} {
		if result.Outcome == mesh.ApplyAccepted {
			r.accepted(ctx, step, result)
		}
	}
}

// forEachNode calls do for every node of a target concurrently and prints done for each.
func (r *run) forEachNode(step string, target experiment.Target, done string, do func(*mesh.Node)) {
	nodes, err := r.mesh.Select(target)
	if err != nil {
		r.check(step, false, "%v", err)
		return
	}
	var doing sync.WaitGroup
	for _, node := range nodes {
		doing.Go(func() {
			do(node)
			r.say("%s: %s %s", step, node.Name, done)
		})
	}
	doing.Wait()
}

// stopNodes stops nodes as planned and checks that each ends in time with exit code 0.
func (r *run) stopNodes(step string, target experiment.Target) {
	r.forEachNode(step, target, "stopped as planned", func(node *mesh.Node) {
		r.check(step, node.Stop(), "a planned stop of %s ends in time with exit code 0", node.Name)
	})
}

// restart starts nodes again and waits until they are ready.
func (r *run) restart(ctx context.Context, step string, target experiment.Target) {
	began := time.Now()
	r.forEachNode(step, target, "started again", func(node *mesh.Node) {
		if err := node.Start(); err != nil {
			r.check(step, false, "%v", err)
			return
		}
		ctx, cancel := context.WithTimeout(ctx, settleBound)
		defer cancel()
		err := r.recorder.AwaitReady(ctx, []string{node.Name})
		r.check(step, err == nil, "%s is ready again after %.1f s", node.Name, time.Since(began).Seconds())
	})
}

// pauseNode suspends a node's process for a while and then continues it.
func (r *run) pauseNode(ctx context.Context, step string, request experiment.Pause) {
	r.recordFault(request.For)
	r.forEachNode(step, experiment.Target{Node: request.Node}, "paused", (*mesh.Node).Pause)
	pause(ctx, request.For)
	r.forEachNode(step, experiment.Target{Node: request.Node}, "goes on", (*mesh.Node).Resume)
}

// cut holds back traffic between two zones for a while, in one direction or in both.
func (r *run) cut(ctx context.Context, step string, request experiment.Cut) {
	from, to := r.mesh.ZoneNumber(request.From), r.mesh.ZoneNumber(request.To)
	r.recordFault(request.For)
	r.say("%s: from %s to %s nothing passes for %v", step, request.From, request.To, request.For)
	if request.OneWay {
		r.mesh.Links().CutOneWay(from, to)
	} else {
		r.mesh.Links().Cut(from, to)
	}
	pause(ctx, request.For)
	r.mesh.Links().Heal(from, to)
	r.say("%s: healed", step)
}
