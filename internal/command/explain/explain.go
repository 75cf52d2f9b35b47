// Package explain implements "levertide explain": it reads logs of nodes in
// hosted mode and shows what happened to one request.
package explain

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/levertide/levertide/internal/command/console"
	"github.com/levertide/levertide/internal/command/exit"
)

const (
	name       = "explain"
	timeFormat = "15:04:05.000"
)

// Report is the answer of the command.
type Report struct {
	console.Outcome
	Request string `json:"request"`
	Explanation
}

// WriteText implements console.Report.
func (r Report) WriteText(out io.Writer) {
	for _, part := range []struct {
		title string
		lines []Line
	}{{"the request", r.Calls}, {"what the nodes on its way believed", r.StateChanges}} {
		writeLines(out, part.title, part.lines)
	}
}

// writeLines writes lines of a log under a title, nothing when there are none.
func writeLines(out io.Writer, title string, lines []Line) {
	if len(lines) == 0 {
		return
	}
	_, _ = fmt.Fprintf(out, "%s:\n", title)
	for _, line := range lines {
		_, _ = fmt.Fprintf(out, "  %s  %-20s %d %s%s\n", line.Time.Format(timeFormat), line.Node, line.Event, line.Name, fieldsOf(line))
	}
}

// fieldsOf returns the fields of a line as text, without those that are empty or false.
func fieldsOf(line Line) string {
	var text strings.Builder
	for _, field := range slices.Sorted(maps.Keys(line.Fields)) {
		value := fmt.Sprint(line.Fields[field])
		if value != "" && value != "false" && field != "request" {
			_, _ = fmt.Fprintf(&text, " %s=%s", field, value)
		}
	}
	return text.String()
}

// Command returns the command.
func Command(terminal *console.Console) *ffcli.Command {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	request := flags.String("request", "", "`ID` of the request, as the caller sent it")
	worker := flags.String("worker", "", "`INSTANCE` of a worker, in place of a request")
	end := flags.Bool("end", false, "tell how the nodes ended, in place of a request")
	terminal.RegisterFormat(flags)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "levertide explain --request ID | --worker INSTANCE | --end FILE [FILE ...] [-o text|json]",
		ShortHelp:  "tell from logs what became of a request, what nodes hold of a worker, or how nodes ended",
		LongHelp: `Reads the logs of nodes in hosted mode, given as files ("-" is standard input), and shows
in order of time what they tell of the request, what the nodes on its way came to believe
shortly before, and the cause. Requests that were served in time at the first attempt leave
no line. With --worker it shows what the nodes logged of a worker: the incarnation that they hold
and the calls of it that had no effect. With --end it shows of each run of a node how it ended: the
last lines that tell of a stop, a panic or memory, and the first lines of a crash. Exit code 1 when
no line names the request or the worker, or when there is no line of a node.`,
		FlagSet: flags,
		Exec: func(_ context.Context, files []string) error {
			if countSet(*request != "", *worker != "", *end) != 1 || len(files) == 0 {
				return exit.UsageError("explain needs --request, --worker or --end, and at least one file")
			}
			if *end {
				return emitEnds(terminal, files)
			}
			lines, err := readFiles(files)
			if err != nil {
				return exit.UsageError(err.Error())
			}
			if *worker != "" {
				return terminal.Emit(reportWorker(lines, *worker))
			}
			return terminal.Emit(report(lines, *request))
		},
	}
}

func countSet(flags ...bool) int {
	n := 0
	for _, set := range flags {
		if set {
			n++
		}
	}
	return n
}

func emitEnds(terminal *console.Console, files []string) error {
	runs, err := readRuns(files)
	if err != nil {
		return exit.UsageError(err.Error())
	}
	return terminal.Emit(reportEnds(runs))
}

func report(lines []Line, request string) Report {
	explanation, found := explain(sorted(lines), request)
	answer := Report{Request: request, Explanation: explanation}
	if !found {
		answer.Outcome = console.Done(exit.Rejected, "no line names request "+request+": it was served at the first attempt, or its lines were dropped")
		return answer
	}
	answer.Outcome = console.Done(exit.Accepted, "cause: "+explanation.Cause)
	return answer
}

func readFiles(paths []string) ([]Line, error) { return readEach(paths, readLines) }

func readRuns(paths []string) ([]Run, error) { return readEach(paths, runsOf) }

// readEach reads all files in the same way.
func readEach[T any](paths []string, read func(io.Reader) ([]T, error)) ([]T, error) {
	var all []T
	for _, path := range paths {
		items, err := readFile(path, read)
		if err != nil {
			return nil, err
		}
		all = append(all, items...)
	}
	return all, nil
}

func readFile[T any](path string, read func(io.Reader) ([]T, error)) ([]T, error) {
	if path == "-" {
		return read(os.Stdin)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return read(file)
}
