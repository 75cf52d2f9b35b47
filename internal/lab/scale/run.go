package scale

import (
	"context"
	"os"
	"time"

	"github.com/levertide/levertide/internal/lab/observe"
	"github.com/levertide/levertide/internal/lab/process"
	"github.com/levertide/levertide/internal/lab/results"
)

// stopBound is how long processes may take to end before they are killed.
const stopBound = 10 * time.Second

// Run runs the emulation and returns what it measured. An error tells that the
// run could not be carried through; the result then holds what was measured up
// to then. Every process that it started has ended when it returns.
func Run(ctx context.Context, options Options) (*results.Scale, error) {
	going := &run{
		options:  options,
		progress: &progress{started: time.Now(), output: options.Progress},
		result:   describeSize(options),
		ownPID:   os.Getpid(),
	}
	if err := going.runCluster(ctx); err != nil {
		return going.result, err
	}
	if options.Size.Baselines {
		going.runBaselines(ctx)
	}
	return going.result, ctx.Err()
}

// runCluster measures the product. Every process has ended when it returns, so
// that the baselines have the machine for themselves.
func (r *run) runCluster(ctx context.Context) error {
	group := &process.Group{}
	defer group.StopAll(stopBound)
	cluster, err := startCluster(ctx, r.options, group)
	if cluster != nil {
		defer cluster.close()
	}
	if err != nil {
		return err
	}
	r.cluster = cluster
	r.result.RealProcesses = len(cluster.real)
	r.result.HollowNodes = r.options.Size.Nodes - len(cluster.real)
	r.result.Processes = len(cluster.real) + len(cluster.children) + 1
	r.progress.say("%d hollow nodes in %d processes and %d real processes started",
		r.result.HollowNodes, len(cluster.children), len(cluster.real))
	return r.measure(ctx)
}

// describeSize returns a result with the size filled in.
func describeSize(options Options) *results.Scale {
	return &results.Scale{
		Nodes:                 options.Size.Nodes,
		Zones:                 options.Size.Zones,
		Regions:               options.Size.Regions,
		Services:              options.Size.Services,
		Seed:                  options.Seed,
		ChangeIntervalSeconds: options.Size.ChangeInterval.Seconds(),
	}
}

// measure runs every phase.
func (r *run) measure(ctx context.Context) error {
	sampling, stop := context.WithCancel(ctx)
	sampled := make(chan struct{})
	taking := &sampler{cluster: r.cluster, last: make(map[string]realReading)}
	go func() {
		defer close(sampled)
		taking.run(sampling)
	}()
	err := r.phases(ctx)
	stop()
	<-sampled
	taking.sample(context.WithoutCancel(ctx))
	r.conclude(context.WithoutCancel(ctx))
	return err
}

// phases runs the phases in order.
func (r *run) phases(ctx context.Context) error {
	if err := r.startUp(ctx); err != nil {
		return err
	}
	r.quiet(ctx)
	for _, kind := range r.cluster.options.Size.Herds {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		r.herd(ctx, kind)
	}
	return ctx.Err()
}

// conclude checks everything once more and completes the result.
func (r *run) conclude(ctx context.Context) {
	cluster := r.cluster
	cluster.recorder.CheckCommitted(cluster.committedInStore(ctx))
	for _, detail := range cluster.measured.wholeViolations() {
		cluster.recorder.Report(observe.Violation{Rule: observe.RuleWhole, Detail: detail})
	}
	found := cluster.recorder.Violations()
	count := len(found)
	r.result.Violations = &count
	for _, violation := range found {
		if len(r.result.ViolationDetails) < maxDetails {
			r.result.ViolationDetails = append(r.result.ViolationDetails, violation.String())
		}
	}
	r.result.Seconds = cluster.measured.seconds(r.phaseAt)
	r.progress.say("%d violations; %d snapshots compared with their versions", count, cluster.measured.snapshotsChecked())
	for i, notice := range cluster.recorder.Notices() {
		if i < maxDetails {
			r.result.Notes = append(r.result.Notes, describeNotice(notice))
		}
	}
}

// maxDetails bounds violations and notices in the result.
const maxDetails = 50

// describeNotice shows a failure or an alarm that a node reported.
func describeNotice(notice observe.Event) string {
	return notice.Node + ": " + notice.Name + " " + notice.Text + notice.Error
}

// phaseAt returns the name of the phase of a second.
func (r *run) phaseAt(second float64) string {
	name := ""
	for _, ended := range r.result.Phases {
		if second >= ended.StartSecond {
			name = ended.Name
		}
	}
	return name
}
