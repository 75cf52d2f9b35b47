package load

import (
	"context"
	"fmt"
	"runtime"

	"github.com/levertide/levertide/internal/lab/results"
)

// Run carries out the measurements that the options name. It returns a report with failures
// together with an error of type ErrFailed.
func Run(ctx context.Context, options Options) (report Report, err error) {
	options = options.withDefaults()
	report = Report{Nodes: NodesInside, Seed: options.Seed}
	report.Machine = Machine{Cores: runtime.NumCPU(), LoadAtStart: loadAverage()}
	defer func() { report.Machine.LoadAtEnd = loadAverage() }()
	if options.Levertided != "" {
		report.Nodes = NodesProcesses
	}
	for _, mode := range options.Modes {
		if err := report.measure(ctx, mode, options); err != nil {
			return report, err
		}
	}
	report.fill()
	report.Failures = report.failures()
	if len(report.Failures) > 0 {
		return report, ErrFailed.New("%d violations: %v", len(report.Failures), report.Failures)
	}
	return report, nil
}

func (r *Report) measure(ctx context.Context, mode Mode, options Options) (err error) {
	switch mode {
	case ModeSteady:
		r.Steady, err = measureSteady(ctx, options)
	case ModeOverload:
		r.Overload, err = measureOverload(ctx, options)
	case ModeChain:
		r.Chain, err = measureChain(ctx, options)
	case ModeUpload:
		r.Upload, err = measureUpload(ctx, options)
	case ModeFaults:
		r.Faults, err = measureFaults(ctx, options)
	case ModeCrash:
		r.Crash, err = measureCrash(ctx, options)
	case ModeRolling:
		r.Rolling, err = measureRolling(ctx, options)
	}
	return err
}

// fill copies the figures of the last steady step to the top of the report.
func (r *Report) fill() {
	if len(r.Steady) == 0 {
		return
	}
	last := r.Steady[len(r.Steady)-1]
	perSecond := float64(last.Through.Calls) / last.Seconds
	r.Load = results.Load{
		Calls:          &last.Through.Calls,
		CallsPerSecond: &perSecond,
		Direct:         last.DirectMS,
		Through:        last.ThroughMS,
		Added:          last.AddedMS,
		NotRun:         &last.Through.NotRun,
		Unknown:        &last.Through.Unknown,
		WrongAnswers:   &last.Through.Wrong,
		Duplicates:     &last.Through.Duplicates,
	}
}

// failures lists what was observed but must not happen at any load.
func (r *Report) failures() []string {
	failures := []string{}
	note := func(where string, counts Counts) {
		if counts.Wrong > 0 {
			failures = append(failures, fmt.Sprintf("%s: %d wrong answers", where, counts.Wrong))
		}
		if counts.Duplicates > 0 {
			failures = append(failures, fmt.Sprintf("%s: %d duplicate executions", where, counts.Duplicates))
		}
		if counts.FalseNotRun > 0 {
			failures = append(failures, fmt.Sprintf("%s: %d refused as not run were started", where, counts.FalseNotRun))
		}
	}
	for _, step := range r.Steady {
		note(fmt.Sprintf("steady %g", step.RatePerNode), step.Through)
	}
	if r.Overload != nil {
		for _, point := range r.Overload.Admission {
			note(fmt.Sprintf("overload %g", point.Multiple), point.Counts)
		}
	}
	for _, point := range r.Faults {
		note(string(point.Fault)+", unrepeatable", point.Once)
		note(string(point.Fault)+", repeatable", point.Any)
	}
	if r.Crash != nil {
		note("crash, unrepeatable", r.Crash.Once)
		note("crash, repeatable", r.Crash.Any)
	}
	if r.Chain != nil {
		failures = append(failures, r.Chain.failures()...)
	}
	if r.Upload != nil {
		failures = append(failures, r.Upload.failures()...)
	}
	if r.Rolling != nil {
		note("rolling, unrepeatable", r.Rolling.Once)
		note("rolling, repeatable", r.Rolling.Any)
		failures = append(failures, r.Rolling.failures()...)
	}
	return failures
}

func logStep(options Options, step Step) {
	fmt.Fprintf(options.Progress, "steady %g calls/s: direct %s, through %s, added %s, lateness %s, through counts %+v\n",
		step.RatePerNode, formatQuantiles(step.DirectMS), formatQuantiles(step.ThroughMS), formatQuantiles(step.AddedMS), formatQuantiles(step.LatenessMS), step.Through)
}

func formatQuantiles(quantiles *results.Quantiles) string {
	if quantiles == nil {
		return "not measured"
	}
	return fmt.Sprintf("p50 %.2f p99 %.2f ms", quantiles.P50, quantiles.P99)
}
