package report

import (
	"bytes"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// resolution of the images in dots per inch.
const resolution = 110

// picture is one rendered plot.
type picture struct {
	// File is the name of the PNG file.
	File string
	// Caption describes the plot.
	Caption string
	png     []byte
}

// render draws a plot as a PNG image.
func render(drawn *plot.Plot, file, caption string) (picture, error) {
	canvas := vgimg.NewWith(vgimg.UseWH(plotWidth, plotHeight), vgimg.UseDPI(resolution))
	drawn.Draw(draw.New(canvas))
	var encoded bytes.Buffer
	if _, err := (vgimg.PngCanvas{Canvas: canvas}).WriteTo(&encoded); err != nil {
		return picture{}, ErrOutput.Wrap(err, "encode %s", file)
	}
	return picture{File: file, Caption: caption, png: encoded.Bytes()}, nil
}

// write stores the image in a directory.
func (p picture) write(directory string) error {
	if err := os.WriteFile(filepath.Join(directory, p.File), p.png, 0o644); err != nil {
		return ErrOutput.Wrap(err, "write %s", p.File)
	}
	return nil
}
