package report

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Sizes of plots.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	lineWidth  = 1.5 * vg.Millimeter / 2
	pointSize  = 1.2 * vg.Millimeter
)

// Colours that people with colour vision deficiency can distinguish, after Okabe and Ito.
var (
	colourBlue   = color.RGBA{0, 114, 178, 255}
	colourOrange = color.RGBA{230, 159, 0, 255}
	colourRed    = color.RGBA{213, 94, 0, 255}
	colourPurple = color.RGBA{204, 121, 167, 255}
	colourGrey   = color.RGBA{150, 150, 150, 255}
)

// series is one named line of a plot.
type series struct {
	name   string
	points plotter.XYs
	colour color.Color
	dashed bool
	// marked draws a point at each value.
	marked bool
}

// newPlot returns an empty plot with a grid.
func newPlot(title, horizontal, vertical string) *plot.Plot {
	drawn := plot.New()
	drawn.Title.Text = title
	drawn.Title.Padding = vg.Millimeter
	drawn.X.Label.Text = horizontal
	drawn.Y.Label.Text = vertical
	drawn.Legend.Top = true
	drawn.Add(plotter.NewGrid())
	return drawn
}

// addSeries draws a line and names it in the legend.
func addSeries(drawn *plot.Plot, added series) error {
	if len(added.points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(added.points)
	if err != nil {
		return ErrOutput.Wrap(err, "line %s", added.name)
	}
	line.Color = added.colour
	line.Width = lineWidth
	if added.dashed {
		line.Dashes = []vg.Length{2 * vg.Millimeter, vg.Millimeter}
	}
	drawn.Add(line)
	if added.marked {
		if err := addPoints(drawn, added); err != nil {
			return err
		}
	}
	if added.name != "" {
		drawn.Legend.Add(added.name, line)
	}
	return nil
}

// addPoints draws a point at each value of a series.
func addPoints(drawn *plot.Plot, added series) error {
	points, err := plotter.NewScatter(added.points)
	if err != nil {
		return ErrOutput.Wrap(err, "points %s", added.name)
	}
	points.GlyphStyle = draw.GlyphStyle{Color: added.colour, Radius: pointSize, Shape: draw.CircleGlyph{}}
	drawn.Add(points)
	return nil
}

// verticalLine returns a dashed vertical line at one time.
func verticalLine(at, top float64) series {
	return series{
		points: plotter.XYs{{X: at, Y: 0}, {X: at, Y: top}},
		colour: colourGrey,
		dashed: true,
	}
}
