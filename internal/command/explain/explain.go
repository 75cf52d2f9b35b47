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
		if len(part.lines) == 0 {
			continue
		}
		_, _ = fmt.Fprintf(out, "%s:\n", part.title)
		for _, line := range part.lines {
			_, _ = fmt.Fprintf(out, "  %s  %-20s %d %s%s\n", line.Time.Format(timeFormat), line.Node, line.Event, line.Name, fieldsOf(line))
		}
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
	terminal.RegisterFormat(flags)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "levertide explain --request ID FILE [FILE ...] [-o text|json]",
		ShortHelp:  "tell from logs what became of a request",
		LongHelp: `Reads the logs of nodes in hosted mode, given as files ("-" is standard input), and shows
in order of time what they tell of the request, what the nodes on its way came to believe
shortly before, and the cause. Requests that were served in time at the first attempt leave
no line. Exit code 1 when no line names the request.`,
		FlagSet: flags,
		Exec: func(_ context.Context, files []string) error {
			if *request == "" || len(files) == 0 {
				return exit.UsageError("explain needs --request and at least one file")
			}
			lines, err := readFiles(files)
			if err != nil {
				return exit.UsageError(err.Error())
			}
			return terminal.Emit(report(lines, *request))
		},
	}
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

func readFiles(paths []string) ([]Line, error) {
	var all []Line
	for _, path := range paths {
		lines, err := readFile(path)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readFile(path string) ([]Line, error) {
	if path == "-" {
		return readLines(os.Stdin)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return readLines(file)
}
