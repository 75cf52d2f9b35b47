package report

import (
	"bytes"
	_ "embed"
	"encoding/base64"
	"fmt"
	"html/template"
	"os"

	"github.com/levertide/levertide/internal/lab/results"
)

// pageSource is the template of the page.
//
//go:embed page.html.tmpl
var pageSource string

// section is one result as the page shows it.
type section struct {
	Title    string
	Tables   []table
	Pictures []picture
	Notes    []string
}

// table is a titled table of text.
type table struct {
	Title  string
	Header []string
	Rows   [][]string
}

// Source returns the image as a data URL, so that the page needs no other file.
func (p picture) Source() template.URL {
	return template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(p.png))
}

// writePage writes the page with everything it shows inside it.
func writePage(path string, sections []section) error {
	parsed, err := template.New("page").Parse(pageSource)
	if err != nil {
		return ErrOutput.Wrap(err, "parse the page's template")
	}
	var page bytes.Buffer
	if err := parsed.Execute(&page, sections); err != nil {
		return ErrOutput.Wrap(err, "fill the page's template")
	}
	if err := os.WriteFile(path, page.Bytes(), 0o644); err != nil {
		return ErrOutput.Wrap(err, "write the page")
	}
	return nil
}

// notMeasured stands in tables where a figure is nil.
const notMeasured = "not measured"

// number formats a figure with the given number of decimals.
func number(figure *float64, decimals int) string {
	if figure == nil {
		return notMeasured
	}
	return fmt.Sprintf("%.*f", decimals, *figure)
}

// count formats an integer figure.
func count(figure *int) string {
	if figure == nil {
		return notMeasured
	}
	return fmt.Sprint(*figure)
}

// quantiles formats p50, p99 and max.
func quantiles(figure *results.Quantiles) []string {
	if figure == nil {
		return []string{notMeasured, notMeasured, notMeasured}
	}
	return []string{
		fmt.Sprintf("%.0f", figure.P50), fmt.Sprintf("%.0f", figure.P99), fmt.Sprintf("%.0f", figure.Max),
	}
}

// spread formats mean, p99 and max.
func spread(figure *results.Spread) []string {
	if figure == nil {
		return []string{notMeasured, notMeasured, notMeasured}
	}
	return []string{
		fmt.Sprintf("%.0f", figure.Mean), fmt.Sprintf("%.0f", figure.P99), fmt.Sprintf("%.0f", figure.Max),
	}
}
