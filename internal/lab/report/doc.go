// Package report turns the JSON files of experiments into plots and into one
// HTML page that holds everything it shows.
package report
