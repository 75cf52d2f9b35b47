package report

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"github.com/levertide/levertide/internal/lab/results"
)

// Heights of the names of marks, in shares of the highest value. The names are spread
// over markRows rows so that neighbours do not overlap.
const (
	markLowest = 1.05
	markStep   = 0.11
	markRows   = 8
)

// addMarks draws a vertical line and the name of each mark at its time.
func addMarks(drawn *plot.Plot, marks []results.Mark, top float64) error {
	if len(marks) == 0 {
		return nil
	}
	var labels plotter.XYLabels
	for i, mark := range marks {
		height := top * (markLowest + markStep*float64(i%markRows))
		if err := addSeries(drawn, verticalLine(mark.Second, height)); err != nil {
			return err
		}
		labels.XYs = append(labels.XYs, plotter.XY{X: mark.Second, Y: height})
		labels.Labels = append(labels.Labels, " "+mark.Name)
	}
	named, err := plotter.NewLabels(labels)
	if err != nil {
		return ErrOutput.Wrap(err, "names of marks")
	}
	drawn.Add(named)
	return nil
}
