package report

import (
	"fmt"

	"gonum.org/v1/plot/plotter"

	"github.com/levertide/levertide/internal/lab/results"
)

// callPicture draws how calls ended in each second of an experiment.
func callPicture(run named[results.Experiment]) (picture, bool, error) {
	if len(run.Result.Seconds) < 2 {
		return picture{}, false, nil
	}
	drawn := newPlot("Calls through faults, "+run.Result.Experiment, "time (s)", "calls per second")
	var answered, notRun, unknown, wrong plotter.XYs
	top := 0.0
	// The last second is incomplete and would show too few calls.
	for _, second := range run.Result.Seconds[:len(run.Result.Seconds)-1] {
		at := float64(second.Second)
		answered = append(answered, plotter.XY{X: at, Y: float64(second.Answered)})
		notRun = append(notRun, plotter.XY{X: at, Y: float64(second.NotRun)})
		unknown = append(unknown, plotter.XY{X: at, Y: float64(second.Unknown)})
		wrong = append(wrong, plotter.XY{X: at, Y: float64(second.Wrong)})
		top = max(top, float64(second.Answered))
	}
	lines := []series{
		{name: "answered", points: answered, colour: colourBlue},
		{name: "not run", points: notRun, colour: colourOrange},
		{name: "unknown", points: unknown, colour: colourPurple},
		{name: "wrong", points: wrong, colour: colourRed},
	}
	for _, line := range lines {
		if err := addSeries(drawn, line); err != nil {
			return picture{}, false, err
		}
	}
	if err := addMarks(drawn, run.Result.Marks, top); err != nil {
		return picture{}, false, err
	}
	drawn.Y.Min, drawn.Y.Max = 0, top*2.2
	rendered, err := render(drawn, run.Name+"-calls.png",
		fmt.Sprintf("How the calls that ended in each second of %s came out; grey lines mark changes and faults.", run.Result.Experiment))
	return rendered, true, err
}
