package scale

import (
	"context"

	"github.com/levertide/levertide/internal/lab/baseline"
	"github.com/levertide/levertide/internal/lab/fabric"
	"github.com/levertide/levertide/internal/lab/observe"
	"github.com/levertide/levertide/internal/lab/results"
	"github.com/levertide/levertide/pkg/model"
)

// baselineChanges bounds the changes that baselines are given: their figures
// vary little from change to change.
const baselineChanges = 6

// hubHost is the hub's host number, which no node has.
const hubHost = 250

// Names of the baselines.
const (
	namePolling = "every node polls the store"
	nameHub     = "full snapshots to all through one hub"
)

// baselineRun is one way to distribute the changes.
type baselineRun struct {
	name string
	// zone and host are where the store or the hub is.
	zone fabric.ZoneNumber
	host uint8
	run  func(context.Context, baseline.Options) (baseline.Result, error)
	note string
}

// runBaselines gives the first changes of the run to the baselines, on the same
// nodes and delays.
func (r *run) runBaselines(ctx context.Context) {
	for _, one := range []baselineRun{
		{namePolling, fabric.ZonePlatform, 1, baseline.Polling, "polls every " + baseline.PollInterval.String()},
		{nameHub, r.cluster.layout.zones[0].number, hubHost, baseline.Hub, "the hub is in the first zone; no staging, no limit on its rate"},
	} {
		if ctx.Err() != nil {
			return
		}
		r.progress.say("baseline: %s", one.name)
		if err := r.runBaseline(ctx, one); err != nil {
			r.progress.say("baseline: %s: %v", one.name, err)
			r.result.Baselines = append(r.result.Baselines, results.Baseline{Name: one.name, Note: err.Error()})
		}
	}
}

// runBaseline runs one baseline and adds its figures to the result.
func (r *run) runBaseline(ctx context.Context, one baselineRun) error {
	placed, err := newLayout(r.options.Size)
	if err != nil {
		return err
	}
	links := fabric.NewLinks(0)
	for _, pair := range placed.delays(r.options.Size) {
		links.SetDelay(pair.A, pair.B, pair.Delay)
	}
	options := baseline.Options{
		Links:    links,
		Source:   &workloadSource{work: newWorkload(r.options.Size.Services, r.options.Seed)},
		Changes:  min(r.options.Size.Changes, baselineChanges),
		Interval: r.options.Size.ChangeInterval,
		Address:  fabric.HostPort(one.zone, one.host, placed.port),
	}
	for _, spec := range placed.all() {
		options.Nodes = append(options.Nodes, baseline.Node{ID: spec.ID, Zone: spec.Number, Host: spec.Host})
	}
	measured, err := one.run(ctx, options)
	if err != nil {
		return err
	}
	r.result.Baselines = append(r.result.Baselines, r.figuresOf(one, measured))
	return nil
}

// figuresOf compares a baseline with the product's quiet phase.
func (r *run) figuresOf(one baselineRun, measured baseline.Result) results.Baseline {
	figures := results.Baseline{
		Name:         one.name,
		Convergence:  results.QuantilesOf(observe.Distribute(measured.Convergence)),
		ControlBytes: results.SpreadOf(observe.Distribute(measured.Rates)),
		Note:         one.note,
	}
	if measured.Requests > 0 {
		figures.StoreRequests = &measured.Requests
	}
	if measured.ServerRate > 0 {
		figures.HubBytes = &measured.ServerRate
	}
	if r.result.Convergence != nil && figures.Convergence != nil {
		ratio := r.result.Convergence.P50 / figures.Convergence.P50
		figures.ConvergenceRatio = &ratio
	}
	if r.result.ControlBytes != nil && figures.ControlBytes != nil {
		ratio := r.result.ControlBytes.Mean / figures.ControlBytes.Mean
		figures.ControlBytesRatio = &ratio
	}
	r.progress.say("baseline: %s: convergence %s, bytes %s, %d missing", one.name,
		showQuantiles(figures.Convergence), showSpread(figures.ControlBytes), measured.Missing)
	return figures
}

// workloadSource hands the changes of a workload to a baseline.
type workloadSource struct {
	work    *workload
	started bool
}

// Next returns the base configuration first and then the changes.
func (s *workloadSource) Next() (whole, changed []model.Resource) {
	if !s.started {
		s.started = true
		whole = s.work.list()
		return whole, whole
	}
	difference := s.work.next()
	return s.work.list(), difference.set
}
