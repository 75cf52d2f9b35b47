package demo

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/lab/results"
)

// Progress prints lines with the time since the start. Experiments that run at the same time may
// share one.
type Progress struct {
	mutex   sync.Mutex
	started time.Time
	output  io.Writer
}

// NewProgress returns a Progress whose time starts now.
func NewProgress(output io.Writer) *Progress {
	return &Progress{started: time.Now(), output: output}
}

// Say prints one line about an experiment.
func (p *Progress) Say(experiment, format string, arguments ...any) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	fmt.Fprintf(p.output, "%6.1fs  %-11s  %s\n", time.Since(p.started).Seconds(), experiment, fmt.Sprintf(format, arguments...))
}

// Summarize prints the figures and the checks of an experiment.
func (p *Progress) Summarize(result *results.Experiment) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	out := p.output
	fmt.Fprintf(out, "\n%s: %d nodes, %d workers\n", result.Experiment, result.Nodes, result.Workers)
	for _, version := range result.Versions {
		fmt.Fprintf(out, "  version %-3d %-26s in force on %2d nodes after %s ms\n", version.Number, version.Step, version.Nodes, formatMilliseconds(version.Milliseconds))
	}
	fmt.Fprintf(out, "  convergence               %s\n", formatQuantiles(result.Convergence))
	fmt.Fprintf(out, "  control bytes             %s\n", formatControlBytes(result))
	fmt.Fprintf(out, "  store                     %s readers, %s requests/s\n", formatCount(result.StoreReaders), formatDecimal(result.StoreRequests))
	fmt.Fprintf(out, "  calls                     %s, %s answered\n", formatCount(result.Calls), formatCount(result.Answered))
	fmt.Fprintf(out, "  not run                   %s\n", formatCount(result.NotRun))
	fmt.Fprintf(out, "  unknown                   %s\n", formatCount(result.Unknown))
	fmt.Fprintf(out, "  wrong answers             %s\n", formatCount(result.WrongAnswers))
	fmt.Fprintf(out, "  duplicate executions      %s\n", formatCount(result.Duplicates))
	fmt.Fprintf(out, "  version violations        %s\n", formatCount(result.Violations))
	held := 0
	for _, check := range result.Checks {
		if check.Held {
			held++
			continue
		}
		fmt.Fprintf(out, "  FAILED %s: %s\n", check.Name, check.Detail)
	}
	fmt.Fprintf(out, "  checks                    %d of %d held\n", held, len(result.Checks))
	for _, notice := range result.Notices {
		fmt.Fprintf(out, "  reported by a node: %s\n", notice)
	}
}

// notMeasured is printed in place of a figure that is nil.
const notMeasured = "not measured"

// formatQuantiles formats quantiles of times in one line.
func formatQuantiles(figure *results.Quantiles) string {
	if figure == nil {
		return notMeasured
	}
	return fmt.Sprintf("p50 %.0f ms, max %.0f ms", figure.P50, figure.Max)
}

// formatControlBytes formats the control bytes of a result in one line.
func formatControlBytes(result *results.Experiment) string {
	if result.ControlBytes == nil || result.ControlBytesTotal == nil {
		return notMeasured
	}
	return fmt.Sprintf("%.0f KB in all; per node mean %.0f B/s, max %.0f B/s",
		*result.ControlBytesTotal/1024, result.ControlBytes.Mean, result.ControlBytes.Max)
}

// formatCount formats an integer figure.
func formatCount(figure *int) string {
	if figure == nil {
		return notMeasured
	}
	return fmt.Sprint(*figure)
}

// formatDecimal formats a figure with one decimal.
func formatDecimal(figure *float64) string {
	if figure == nil {
		return notMeasured
	}
	return fmt.Sprintf("%.1f", *figure)
}
