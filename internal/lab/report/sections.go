package report

import (
	"fmt"

	"github.com/levertide/levertide/internal/lab/results"
)

// experimentSection shows one run of real processes.
func experimentSection(run named[results.Experiment]) (section, error) {
	result := run.Result
	shown := section{
		Title: fmt.Sprintf("%s: %d nodes, %d workers", result.Experiment, result.Nodes, result.Workers),
		Notes: result.Notices,
	}
	convergence, bytes := quantiles(result.Convergence), spread(result.ControlBytes)
	figures := table{Title: "Figures", Header: []string{"figure", "measured"}, Rows: [][]string{
		{"versions committed", fmt.Sprint(len(result.Versions))},
		{"convergence p50 (ms)", convergence[0]}, {"convergence max (ms)", convergence[2]},
		{"control bytes per node, mean (B/s)", bytes[0]}, {"control bytes per node, max (B/s)", bytes[2]},
		{"calls", count(result.Calls)}, {"not run", count(result.NotRun)}, {"unknown", count(result.Unknown)},
		{"wrong answers", count(result.WrongAnswers)}, {"duplicate executions", count(result.Duplicates)},
		{"violations", count(result.Violations)},
	}}
	checks := table{Title: "Checks", Header: []string{"check", "held", "detail"}}
	for _, check := range result.Checks {
		checks.Rows = append(checks.Rows, []string{check.Name, yesNo(check.Held), check.Detail})
	}
	shown.Tables = []table{figures, checks}
	drawn, ok, err := callPicture(run)
	if err != nil {
		return section{}, err
	}
	if ok {
		shown.Pictures = append(shown.Pictures, drawn)
	}
	return shown, nil
}

// yesNo formats whether a check held; a failed check stands out in capitals.
func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "NO"
}

// loadSection shows one load run.
func loadSection(run named[results.Load]) section {
	result := run.Result
	times := table{Title: "Times (ms)", Header: []string{"path", "p50", "p99"}}
	for _, row := range []struct {
		name   string
		figure *results.Quantiles
	}{{"direct to the worker", result.Direct}, {"through levertide", result.Through}, {"added", result.Added}} {
		cells := []string{row.name, notMeasured, notMeasured}
		if row.figure != nil {
			cells = []string{row.name, fmt.Sprintf("%.3f", row.figure.P50), fmt.Sprintf("%.3f", row.figure.P99)}
		}
		times.Rows = append(times.Rows, cells)
	}
	counts := table{Title: "Calls", Header: []string{"figure", "measured"}, Rows: [][]string{
		{"calls", count(result.Calls)}, {"calls per second", number(result.CallsPerSecond, 0)},
		{"not run", count(result.NotRun)}, {"unknown", count(result.Unknown)},
		{"wrong answers", count(result.WrongAnswers)}, {"duplicate executions", count(result.Duplicates)},
	}}
	return section{Title: run.Name + ": load", Tables: []table{times, counts}}
}
