// Package report turns the JSON files of experiments into plots and into one
// self-contained HTML page.
package report
