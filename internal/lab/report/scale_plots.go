package report

import (
	"fmt"
	"image/color"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/levertide/levertide/internal/lab/results"
)

// budgetMargin leaves room above the highest value of a plot.
const budgetMargin = 1.1

// scalePictures draws the plots of one scale run.
func scalePictures(run named[results.Scale]) ([]picture, error) {
	var pictures []picture
	for _, drawOne := range []func(named[results.Scale]) (picture, bool, error){
		convergencePicture, stormPicture, rolePicture,
	} {
		drawn, ok, err := drawOne(run)
		if err != nil {
			return nil, err
		}
		if ok {
			pictures = append(pictures, drawn)
		}
	}
	return pictures, nil
}

// convergencePicture draws which share of the nodes had a version in force by when.
func convergencePicture(run named[results.Scale]) (picture, bool, error) {
	samples := slices.Sorted(slices.Values(run.Result.ConvergenceSamples))
	if len(samples) == 0 {
		return picture{}, false, nil
	}
	drawn := newPlot(
		fmt.Sprintf("Convergence, %d nodes, quiet phase", run.Result.Nodes),
		"time since the apply began (ms)", "share of nodes and changes (%)")
	drawn.Legend.XOffs = -3 * vg.Centimeter
	curve := make(plotter.XYs, 0, len(samples))
	for i, sample := range samples {
		curve = append(curve, plotter.XY{X: sample, Y: 100 * float64(i+1) / float64(len(samples))})
	}
	err := addSeries(drawn, series{name: "in force", points: curve, colour: colourBlue})
	if err != nil {
		return picture{}, false, err
	}
	if err := addBudgetColumn(drawn); err != nil {
		return picture{}, false, err
	}
	drawn.X.Min, drawn.Y.Min, drawn.Y.Max = 0, 0, 101
	drawn.X.Max = max(results.BudgetConvergenceMilliseconds, samples[len(samples)-1]) * budgetMargin
	rendered, err := render(drawn, run.Name+"-convergence.png",
		"Share of nodes, over all changes of the quiet phase, that had the version in force by then.")
	return rendered, true, err
}

// addBudgetColumn draws the budget of convergence.
func addBudgetColumn(drawn *plot.Plot) error {
	budget := verticalLine(results.BudgetConvergenceMilliseconds, 100)
	budget.name = "budget 4 s"
	budget.colour = colourRed
	return addSeries(drawn, budget)
}

// stormPicture draws control bytes over the whole run.
func stormPicture(run named[results.Scale]) (picture, bool, error) {
	seconds := run.Result.Seconds
	if len(seconds) == 0 {
		return picture{}, false, nil
	}
	drawn := newPlot(
		fmt.Sprintf("Control bytes through the run, %d nodes", run.Result.Nodes),
		"time (s)", "control bytes per node (KB/s)")
	mean := make(plotter.XYs, 0, len(seconds))
	high := make(plotter.XYs, 0, len(seconds))
	top := float64(results.BudgetBytesPerSecond) / bytesPerKilobyte
	for _, second := range seconds {
		at := float64(second.Second)
		mean = append(mean, plotter.XY{X: at, Y: second.MeanBytes / bytesPerKilobyte})
		high = append(high, plotter.XY{X: at, Y: second.P99Bytes / bytesPerKilobyte})
		top = max(top, second.P99Bytes/bytesPerKilobyte)
	}
	last := float64(seconds[len(seconds)-1].Second)
	lines := []series{
		{name: "mean of nodes", points: smooth(mean), colour: colourBlue},
		{name: "p99 of nodes", points: smooth(high), colour: colourOrange},
		horizontalLine("budget 8 KB/s", 0, last, results.BudgetBytesPerSecond/bytesPerKilobyte),
	}
	for _, phase := range run.Result.Phases {
		line := verticalLine(phase.StartSecond, top*budgetMargin)
		line.points[0].Y = lowestBytes
		lines = append(lines, line)
	}
	for _, line := range lines {
		if err := addSeries(drawn, line); err != nil {
			return picture{}, false, err
		}
	}
	if err := addPhaseNames(drawn, run.Result.Phases, top*budgetMargin); err != nil {
		return picture{}, false, err
	}
	drawn.Y.Scale = plot.LogScale{}
	drawn.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	drawn.Y.Min = lowestBytes
	drawn.Y.Max = top * logMargin
	rendered, err := render(drawn, run.Name+"-bytes.png",
		"Control bytes on a logarithmic scale, both directions, headers included, each point the mean of five seconds: between changes, nodes poll all at about the same second. Grey lines mark the phases.")
	return rendered, true, err
}

// smoothing is how many seconds to either side a point is averaged with.
const smoothing = 2

// smooth averages every value with its neighbours and keeps it on the scale.
func smooth(points plotter.XYs) plotter.XYs {
	smoothed := make(plotter.XYs, len(points))
	for i := range points {
		around := points[max(i-smoothing, 0):min(i+smoothing+1, len(points))]
		sum := 0.0
		for _, one := range around {
			sum += one.Y
		}
		smoothed[i] = plotter.XY{X: points[i].X, Y: max(sum/float64(len(around)), lowestBytes)}
	}
	return smoothed
}

// lowestBytes is the lowest value of the logarithmic scale, in KB/s, logMargin
// the factor that leaves room for names, and labelStep the factor between the
// heights of neighbouring names.
const (
	lowestBytes = 0.05
	logMargin   = 6.0
	labelStep   = 1.8
)

// storyMargin leaves room for the names of phases.
const storyMargin = 1.5

// bytesPerKilobyte is the unit in which budgets are given.
const bytesPerKilobyte = 1024

// addPhaseNames writes the name of each phase where it starts.
func addPhaseNames(drawn *plot.Plot, phases []results.Phase, top float64) error {
	var labels plotter.XYLabels
	for i, phase := range phases {
		// Neighbouring names stand at different heights.
		height := top / math.Pow(labelStep, float64(i%3))
		labels.XYs = append(labels.XYs, plotter.XY{X: phase.StartSecond, Y: height})
		labels.Labels = append(labels.Labels, " "+phase.Name)
	}
	if len(phases) == 0 {
		return nil
	}
	drawnLabels, err := plotter.NewLabels(labels)
	if err != nil {
		return ErrOutput.Wrap(err, "phase names")
	}
	drawn.Add(drawnLabels)
	return nil
}

// rolePicture draws control bytes by role as bars of mean and maximum.
func rolePicture(run named[results.Scale]) (picture, bool, error) {
	drawn := newPlot(
		fmt.Sprintf("Control bytes by role, %d nodes, quiet phase", run.Result.Nodes),
		"role", "control bytes per node (KB/s)")
	var means, highest plotter.Values
	var names []string
	for _, role := range results.Roles() {
		spread := run.Result.ControlBytesByRole.Get(role)
		if spread == nil {
			continue
		}
		names = append(names, role)
		means = append(means, spread.Mean/bytesPerKilobyte)
		highest = append(highest, spread.Max/bytesPerKilobyte)
	}
	if len(names) == 0 {
		return picture{}, false, nil
	}
	if err := addBars(drawn, "mean", means, -barWidth/2, colourBlue); err != nil {
		return picture{}, false, err
	}
	if err := addBars(drawn, fmt.Sprintf("max over %d s windows", run.Result.WindowSeconds), highest, barWidth/2, colourOrange); err != nil {
		return picture{}, false, err
	}
	budget := horizontalLine("budget 8 KB/s", -0.5, float64(len(names))-0.5, results.BudgetBytesPerSecond/bytesPerKilobyte)
	if err := addSeries(drawn, budget); err != nil {
		return picture{}, false, err
	}
	drawn.NominalX(names...)
	drawn.Y.Min = 0
	drawn.Y.Max = max(slices.Max(highest), results.BudgetBytesPerSecond/bytesPerKilobyte) * storyMargin
	rendered, err := render(drawn, run.Name+"-roles.png",
		"Control bytes per node by its highest role in the window.")
	return rendered, true, err
}

// barWidth is the width of one bar.
const barWidth = 28

// addBars draws one bar for each role, beside those of other groups.
func addBars(drawn *plot.Plot, name string, values plotter.Values, offset vg.Length, colour color.Color) error {
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return ErrOutput.Wrap(err, "bars %s", name)
	}
	bars.Color = colour
	bars.LineStyle.Width = 0
	bars.Offset = offset
	drawn.Add(bars)
	drawn.Legend.Add(name, bars)
	return nil
}
