package report

import (
	"fmt"

	"github.com/levertide/levertide/internal/lab/results"
)

// scaleSection shows one scale run.
func scaleSection(run named[results.Scale]) (section, error) {
	pictures, err := scalePictures(run)
	if err != nil {
		return section{}, err
	}
	result := run.Result
	return section{
		Title: fmt.Sprintf("%s: %d nodes, %d zones, %d regions, %d services", run.Name, result.Nodes, result.Zones, result.Regions, result.Services),
		Notes: append([]string{fmt.Sprintf(
			"%d real processes and %d hollow nodes; %d changes, one every %.1f s, in the quiet phase. Bytes are averaged over windows of %d s.",
			result.RealProcesses, result.HollowNodes, result.Changes, result.ChangeIntervalSeconds, result.WindowSeconds)}, result.Notes...),
		Tables:   []table{scaleTable(result), roleTable(result), phaseTable(result), baselineTable(result)},
		Pictures: pictures,
	}, nil
}

// scaleTable shows the figures of the quiet phase beside their budgets.
func scaleTable(result results.Scale) table {
	convergence, bytes := quantiles(result.Convergence), spread(result.ControlBytes)
	return table{
		Title:  "Quiet phase",
		Header: []string{"figure", "measured", "budget"},
		Rows: [][]string{
			{"convergence p50 (ms)", convergence[0], ""},
			{"convergence p99 (ms)", convergence[1], ""},
			{"convergence max (ms)", convergence[2], fmt.Sprint(results.BudgetConvergenceMilliseconds)},
			{"control bytes per node, mean (B/s)", bytes[0], fmt.Sprint(results.BudgetBytesPerSecond)},
			{"control bytes per node, p99 (B/s)", bytes[1], fmt.Sprint(results.BudgetBytesPerSecond)},
			{"control bytes per node, max (B/s)", bytes[2], fmt.Sprint(results.BudgetBytesPerSecond)},
			{"store readers, most at once", count(result.StoreReaders), "3"},
			{"store requests (1/s)", number(result.StoreRequests, 2), ""},
			{"processor, hollow node (% of a core)", number(scaled(result.CoreSharePerNode, 0.01), 3), fmt.Sprint(100 * results.BudgetCoreShare)},
			{"processor, real process (% of a core)", number(scaled(result.RealCoreShare, 0.01), 3), fmt.Sprint(100 * results.BudgetCoreShare)},
			{"memory, hollow node (MB)", number(scaled(result.MemoryBytesPerNode, 1<<20), 2), fmt.Sprint(results.BudgetMemoryBytes >> 20)},
			{"memory, real process (MB)", number(scaled(result.RealMemoryBytes, 1<<20), 1), fmt.Sprint(results.BudgetMemoryBytes >> 20)},
			{"violations", count(result.Violations), "0"},
		},
	}
}

// roleTable shows control bytes by role.
func roleTable(result results.Scale) table {
	shown := table{
		Title:  "Control bytes by role, quiet phase (B/s per node)",
		Header: []string{"role", "mean", "p99", "max"},
	}
	for _, role := range results.Roles() {
		shown.Rows = append(shown.Rows, append([]string{role}, spread(result.ControlBytesByRole.Get(role))...))
	}
	return shown
}

// phaseTable shows every phase of a run.
func phaseTable(result results.Scale) table {
	shown := table{
		Title: "Phases",
		Header: []string{"phase", "seconds", "nodes hit", "recovery (s)", "convergence p50", "p99", "max (ms)",
			"bytes mean", "p99", "max (B/s)", "readers", "store requests (1/s)", "changes", "failed", "note"},
	}
	for _, phase := range result.Phases {
		row := []string{phase.Name, fmt.Sprintf("%.0f", phase.DurationSeconds), fmt.Sprint(phase.Affected), number(phase.RecoverySeconds, 1)}
		row = append(row, quantiles(phase.Convergence)...)
		row = append(row, spread(phase.ControlBytes)...)
		row = append(row, count(phase.StoreReaders), number(phase.StoreRequests, 2),
			fmt.Sprint(phase.Applied), fmt.Sprint(phase.Failed), phase.Note)
		shown.Rows = append(shown.Rows, row)
	}
	return shown
}

// baselineTable shows the baselines and the product's ratios to them.
func baselineTable(result results.Scale) table {
	shown := table{
		Title: "Baselines on the same work (ratio: product divided by baseline)",
		Header: []string{"baseline", "convergence p50", "p99", "max (ms)", "bytes mean", "p99", "max (B/s)",
			"store requests (1/s)", "convergence ratio", "bytes ratio", "note"},
	}
	for _, baseline := range result.Baselines {
		row := append([]string{baseline.Name}, quantiles(baseline.Convergence)...)
		row = append(row, spread(baseline.ControlBytes)...)
		row = append(row, number(baseline.StoreRequests, 1), number(baseline.ConvergenceRatio, 3),
			number(baseline.ControlBytesRatio, 3), baseline.Note)
		shown.Rows = append(shown.Rows, row)
	}
	return shown
}

// slopeSection shows one sweep.
func slopeSection(sweep named[results.Slopes]) (section, error) {
	pictures, err := slopePictures(sweep)
	if err != nil {
		return section{}, err
	}
	fits := table{
		Title:  "Linear fits: figure = intercept + per node * nodes + per service * services",
		Header: []string{"figure", "role", "intercept", "per node", "per service", "residual", "points"},
	}
	for _, fit := range sweep.Result.Fits {
		fits.Rows = append(fits.Rows, []string{fit.Figure, fit.Role,
			fmt.Sprintf("%.4g", fit.Intercept), fmt.Sprintf("%.4g", fit.PerNode), fmt.Sprintf("%.4g", fit.PerService),
			fmt.Sprintf("%.4g", fit.Residual), fmt.Sprint(fit.Points)})
	}
	return section{Title: sweep.Name + ": slopes", Tables: []table{fits}, Pictures: pictures}, nil
}

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

// yesNo shows a truth value.
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
