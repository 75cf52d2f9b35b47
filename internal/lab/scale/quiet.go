package scale

import (
	"context"
	"time"

	"github.com/levertide/levertide/internal/lab/hollow"
	"github.com/levertide/levertide/internal/lab/observe"
	"github.com/levertide/levertide/internal/lab/process"
	"github.com/levertide/levertide/internal/lab/results"
)

// Bounds of the quiet parts of a run.
const (
	startBound = 3 * time.Minute
	settleTime = 10 * time.Second
	// settlePerNode is added, since a start of many nodes at once echoes longer.
	settlePerNode = 20 * time.Millisecond
	settleBound   = time.Minute
)

// startUp applies the base configuration and waits until every node runs it.
func (r *run) startUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	during := r.begin("start")
	made, err := r.cluster.applyBase(ctx)
	if err != nil {
		return err
	}
	r.progress.say("version %d committed after %.1f s", made.version, made.committed.Sub(made.began).Seconds())
	if err := r.cluster.recorder.AwaitVersion(ctx, made.version, r.cluster.names()); err != nil {
		r.describeBehind(made.version)
		return err
	}
	pause(ctx, settleTime+time.Duration(r.options.Size.Nodes)*settlePerNode)
	during.changes = append(during.changes, made)
	r.finish(during)
	return nil
}

// describeBehind prints some hollow nodes that do not run a version, and why.
func (r *run) describeBehind(version uint64) {
	shown := 0
	for _, one := range r.cluster.children {
		reply, err := one.ask(hollow.Request{Sample: &hollow.Sample{}})
		if err != nil || reply.Sample == nil {
			continue
		}
		for _, node := range reply.Sample.Nodes {
			if node.InForce < version && shown < maxDetails {
				r.progress.say("%s runs version %d: %s; parent %q", node.ID, node.InForce, node.Reason, node.Parent)
				shown++
			}
		}
	}
}

// quiet applies the changes of the quiet phase while nothing else happens.
func (r *run) quiet(ctx context.Context) {
	during := r.begin("quiet")
	before := r.usage()
	for range r.cluster.options.Size.Changes {
		next := time.Now().Add(r.cluster.options.Size.ChangeInterval)
		r.change(ctx, during)
		pause(ctx, time.Until(next))
	}
	r.await(ctx, during, nil)
	elapsed := time.Since(during.started)
	r.noteUsage(before, r.usage(), elapsed)
	// The last seconds are handed over with the next sample.
	pause(ctx, sampleInterval+time.Second)
	r.finish(during)
	r.noteQuiet(during)
}

// noteQuiet puts the figures of the quiet phase at the top of the result.
func (r *run) noteQuiet(during *phase) {
	figures := r.result.Phases[len(r.result.Phases)-1]
	worked := r.converge(during)
	r.result.Changes = figures.Applied
	r.result.Convergence = figures.Convergence
	r.result.ControlBytes = figures.ControlBytes
	r.result.ControlBytesByRole = figures.ControlBytesByRole
	r.result.StoreReaders = figures.StoreReaders
	r.result.StoreRequests = figures.StoreRequests
	r.result.WindowSeconds = figures.WindowSeconds
	r.result.CommitToInForce = results.QuantilesOf(observe.Distribute(worked.commitToLast))
	r.result.ProposeToCommit = results.QuantilesOf(observe.Distribute(worked.proposeToDone))
	r.result.ConvergenceSamples = thin(worked.each)
}

// maxSamples bounds the convergence samples in the result.
const maxSamples = 5000

// thin keeps evenly spread values, the largest included.
func thin(values []float64) []float64 {
	if len(values) <= maxSamples {
		return values
	}
	kept := make([]float64, 0, maxSamples+1)
	largest := 0.0
	for i, value := range values {
		largest = max(largest, value)
		if i%(len(values)/maxSamples+1) == 0 {
			kept = append(kept, value)
		}
	}
	return append(kept, largest)
}

// await waits until every node but those named runs the newest version of a phase.
func (r *run) await(ctx context.Context, during *phase, except map[string]struct{}) bool {
	ctx, cancel := context.WithTimeout(ctx, settleBound)
	defer cancel()
	committed := r.cluster.committedVersions()
	if len(committed) == 0 {
		return true
	}
	var nodes []string
	for _, name := range r.cluster.names() {
		if _, left := except[name]; !left {
			nodes = append(nodes, name)
		}
	}
	if err := r.cluster.recorder.AwaitVersion(ctx, committed[len(committed)-1], nodes); err != nil {
		r.progress.say("phase %s: %v", during.name, err)
		return false
	}
	return true
}

// usages is what all processes of one kind have used.
type usages struct {
	hollow process.Usage
	real   process.Usage
	// realCount is how many real processes could be read.
	realCount int
}

// usage reads what all processes have used.
func (r *run) usage() usages {
	var read usages
	for _, one := range r.cluster.children {
		if used, err := one.process.Usage(); err == nil {
			read.hollow.Processor += used.Processor
			read.hollow.Resident += used.Resident
		}
	}
	for _, node := range r.cluster.real {
		if used, err := node.usage(); err == nil {
			read.real.Processor += used.Processor
			read.real.Resident += used.Resident
			read.realCount++
		}
	}
	return read
}

// noteUsage puts processor time and memory of the quiet phase into the result.
func (r *run) noteUsage(before, after usages, elapsed time.Duration) {
	hollowNodes := float64(r.result.HollowNodes)
	if hollowNodes > 0 {
		share := float64(after.hollow.Processor-before.hollow.Processor) / float64(elapsed) / hollowNodes
		memory := float64(after.hollow.Resident) / hollowNodes
		r.result.CoreSharePerNode, r.result.MemoryBytesPerNode = &share, &memory
	}
	if after.realCount > 0 {
		share := float64(after.real.Processor-before.real.Processor) / float64(elapsed) / float64(after.realCount)
		memory := float64(after.real.Resident) / float64(after.realCount)
		r.result.RealCoreShare, r.result.RealMemoryBytes = &share, &memory
	}
	total := float64(after.hollow.Resident + after.real.Resident)
	if own, err := process.UsageOf(r.ownPID); err == nil {
		total += float64(own.Resident)
	}
	r.result.TotalMemoryBytes = &total
}
