package report

import (
	"cmp"
	"fmt"
	"image/color"
	"math"
	"slices"

	"gonum.org/v1/plot/plotter"

	"github.com/levertide/levertide/internal/lab/results"
)

// slopeFigure is one figure of a sweep, drawn over the number of nodes.
type slopeFigure struct {
	file, title, unit string
	budget            float64
	budgetName        string
	// lines lists what is drawn; a value that was not measured is left out.
	lines []slopeLine
}

// slopeLine is one line of a slope plot.
type slopeLine struct {
	name   string
	colour color.Color
	value  func(results.SlopePoint) *float64
}

// roleColours are the colours of the roles in the order of results.Roles.
var roleColours = []color.Color{colourBlue, colourGreen, colourOrange, colourPurple}

// slopeFigures returns every figure that is drawn of a sweep.
func slopeFigures() []slopeFigure {
	return []slopeFigure{
		{"bytes", "Control bytes by role", "KB/s per node, mean", results.BudgetBytesPerSecond / bytesPerKilobyte, "budget 8 KB/s", roleLines()},
		{"convergence", "Convergence", "ms", results.BudgetConvergenceMilliseconds, "budget 4 s", []slopeLine{
			{"p50", colourBlue, func(p results.SlopePoint) *float64 { return p.ConvergenceP50 }},
			{"max", colourOrange, func(p results.SlopePoint) *float64 { return p.ConvergenceMax }},
		}},
		{"memory", "Memory", "MB per node", results.BudgetMemoryBytes >> 20, "budget 256 MB", []slopeLine{
			{"hollow node", colourBlue, func(p results.SlopePoint) *float64 { return scaled(p.MemoryBytes, 1<<20) }},
			{"real process", colourOrange, func(p results.SlopePoint) *float64 { return scaled(p.RealMemoryBytes, 1<<20) }},
		}},
		{"processor", "Processor time", "% of a core per node", 100 * results.BudgetCoreShare, "budget 3.4%", []slopeLine{
			{"hollow node", colourBlue, func(p results.SlopePoint) *float64 { return scaled(p.CoreShare, 0.01) }},
			{"real process", colourOrange, func(p results.SlopePoint) *float64 { return scaled(p.RealCoreShare, 0.01) }},
		}},
		{"store", "Store requests", "requests per second, all nodes together", math.NaN(), "", []slopeLine{
			{"requests", colourBlue, func(p results.SlopePoint) *float64 { return p.StoreRequests }},
		}},
	}
}

// roleLines returns one line for each role.
func roleLines() []slopeLine {
	var lines []slopeLine
	for i, role := range results.Roles() {
		lines = append(lines, slopeLine{role, roleColours[i], func(point results.SlopePoint) *float64 {
			spread := point.BytesByRole.Get(role)
			if spread == nil {
				return nil
			}
			return scaled(&spread.Mean, bytesPerKilobyte)
		}})
	}
	return lines
}

// scaled divides a figure by a unit; nil stays nil.
func scaled(figure *float64, unit float64) *float64 {
	if figure == nil {
		return nil
	}
	value := *figure / unit
	return &value
}

// slopePictures draws every figure of a sweep over the number of nodes.
func slopePictures(sweep named[results.Slopes]) ([]picture, error) {
	var pictures []picture
	for _, figure := range slopeFigures() {
		drawn, ok, err := slopePicture(sweep, figure)
		if err != nil {
			return nil, err
		}
		if ok {
			pictures = append(pictures, drawn)
		}
	}
	return pictures, nil
}

// slopePicture draws one figure for the largest number of services of the sweep.
func slopePicture(sweep named[results.Slopes], figure slopeFigure) (picture, bool, error) {
	services := 0
	for _, point := range sweep.Result.Points {
		services = max(services, point.Services)
	}
	drawn := newPlot(fmt.Sprintf("%s, %d services", figure.title, services), "nodes", figure.unit)
	drawn.Legend.Left = true
	highest, measured := 0.0, 0
	largest := 0.0
	for _, line := range figure.lines {
		points := slopePoints(sweep.Result.Points, services, line.value)
		for _, point := range points {
			highest, largest = max(highest, point.Y), max(largest, point.X)
		}
		measured += len(points)
		if err := addSeries(drawn, series{name: line.name, points: points, colour: line.colour, marked: true}); err != nil {
			return picture{}, false, err
		}
	}
	if measured == 0 {
		return picture{}, false, nil
	}
	if !math.IsNaN(figure.budget) {
		highest = max(highest, figure.budget)
		if err := addSeries(drawn, horizontalLine(figure.budgetName, 0, largest, figure.budget)); err != nil {
			return picture{}, false, err
		}
	}
	drawn.X.Min, drawn.Y.Min, drawn.Y.Max = 0, 0, highest*storyMargin
	rendered, err := render(drawn, fmt.Sprintf("%s-%s.png", sweep.Name, figure.file),
		fmt.Sprintf("%s over the number of nodes, as measured at each size.", figure.title))
	return rendered, true, err
}

// slopePoints returns the measured values for one number of services, by nodes.
func slopePoints(points []results.SlopePoint, services int, value func(results.SlopePoint) *float64) plotter.XYs {
	var drawn plotter.XYs
	for _, point := range points {
		measured := value(point)
		if point.Services == services && measured != nil {
			drawn = append(drawn, plotter.XY{X: float64(point.Nodes), Y: *measured})
		}
	}
	slices.SortFunc(drawn, func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
	return drawn
}
