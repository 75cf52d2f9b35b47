package explain

import (
	"bytes"
	"fmt"
	"io"
	"strings"

	"github.com/levertide/levertide/internal/command/console"
	"github.com/levertide/levertide/internal/command/exit"
)

// Events that tell of the start and the end of a node.
const (
	eventNodeStarted   = 101
	eventStopRequested = 105
	eventCallsDrained  = 106
	eventDrainExceeded = 107
	eventNodeStopped   = 108
	eventPartFailed    = 109
	eventStartFailed   = 111
	eventPanic         = 113
	eventMemory        = 114
)

const (
	// signalPanic stands for the signal of a stop after a panic.
	signalPanic = "panic"
	// partNode is the part whose error ended the node.
	partNode = "node"
)

// endEvents are the events of which the last in a run is shown.
var endEvents = map[int]bool{
	eventStopRequested: true, eventCallsDrained: true, eventDrainExceeded: true, eventNodeStopped: true,
	eventPartFailed: true, eventStartFailed: true, eventPanic: true, eventMemory: true,
}

const (
	// crashLines and crashLineBytes bound what is shown of a crash: its cause and the innermost frames.
	crashLines     = 16
	crashLineBytes = 300
)

// crashStarts begin the text that the Go runtime writes of a crash.
var crashStarts = []string{"panic: ", "fatal error: ", "runtime: out of memory", "SIGQUIT: ", "SIGABRT: "}

// Run is what a log tells of the end of one run of a node.
type Run struct {
	Node string `json:"node"`
	End  string `json:"end"`
	// Lines are the last lines of the events that tell of an end, in the order of the log.
	Lines []Line `json:"lines"`
	// Crash is the beginning of what the Go runtime wrote of a crash.
	Crash []string `json:"crash"`
}

// EndReport is the answer of the command for the ends of nodes.
type EndReport struct {
	console.Outcome
	Runs []Run `json:"runs"`
}

// WriteText implements console.Report.
func (r EndReport) WriteText(out io.Writer) {
	for _, run := range r.Runs {
		_, _ = fmt.Fprintf(out, "%s: %s\n", run.Node, run.End)
		writeLines(out, "its last lines", run.Lines)
		for _, text := range run.Crash {
			_, _ = fmt.Fprintf(out, "  %s\n", text)
		}
	}
}

func reportEnds(runs []Run) EndReport {
	answer := EndReport{Runs: runs}
	if len(runs) == 0 {
		answer.Outcome = console.Done(exit.Rejected, "no line of a node")
		return answer
	}
	last := runs[len(runs)-1]
	answer.Outcome = console.Done(exit.Accepted, last.Node+": "+last.End)
	return answer
}

// runsOf reads the runs of the nodes of a log. The text of a crash names no node: it belongs to the
// one that wrote before.
func runsOf(source io.Reader) ([]Run, error) {
	reader := runReader{current: map[string]*Run{}}
	if err := eachLine(source, reader.take); err != nil {
		return nil, err
	}
	runs := make([]Run, 0, len(reader.runs))
	for _, run := range reader.runs {
		run.End = endOf(run)
		runs = append(runs, *run)
	}
	return runs, nil
}

// runReader collects the runs of a log.
type runReader struct {
	runs    []*Run
	current map[string]*Run
	// last is the run that the newest event belongs to; nil before the first.
	last *Run
}

func (r *runReader) take(text []byte) {
	if line, ok := parseLine(text); ok {
		r.takeEvent(line)
		return
	}
	crash := startsCrash(text)
	if r.last == nil && crash {
		r.last = r.begin("")
	}
	if r.last != nil && (crash || len(r.last.Crash) > 0) {
		r.last.addCrash(text)
	}
}

func (r *runReader) takeEvent(line Line) {
	run := r.current[line.Node]
	if run == nil || line.Event == eventNodeStarted {
		run = r.begin(line.Node)
	}
	r.last = run
	if endEvents[line.Event] {
		run.keep(line)
	}
}

func (r *runReader) begin(node string) *Run {
	run := &Run{Node: node, Lines: []Line{}, Crash: []string{}}
	r.runs = append(r.runs, run)
	r.current[node] = run
	return run
}

// keep adds a line in place of the former one of its event.
func (r *Run) keep(line Line) {
	kept := r.Lines[:0]
	for _, held := range r.Lines {
		if held.Event != line.Event {
			kept = append(kept, held)
		}
	}
	r.Lines = append(kept, line)
}

func (r *Run) addCrash(text []byte) {
	text = bytes.TrimSpace(text)
	if len(text) == 0 || len(r.Crash) == crashLines {
		return
	}
	r.Crash = append(r.Crash, strings.ToValidUTF8(string(text[:min(len(text), crashLineBytes)]), "?"))
}

func startsCrash(text []byte) bool {
	for _, start := range crashStarts {
		if bytes.HasPrefix(text, []byte(start)) {
			return true
		}
	}
	return false
}

// find returns the last line of an event.
func (r *Run) find(event int) (Line, bool) {
	for _, line := range r.Lines {
		if line.Event == event {
			return line, true
		}
	}
	return Line{}, false
}

// endOf says in one sentence how a run ended.
func endOf(r *Run) string {
	_, stopped := r.find(eventNodeStopped)
	requested, stopping := r.find(eventStopRequested)
	_, failed := r.find(eventStartFailed)
	part, _ := r.find(eventPartFailed)
	switch {
	case len(r.Crash) > 0:
		return "crashed, exit status 2, with what it held: " + r.Crash[0]
	case failed:
		return "could not start, exit status 1"
	case stopped && requested.text("signal") == signalPanic:
		return "stopped as planned after a panic, exit status 1"
	case part.text("part") == partNode:
		return "had to stop, exit status 1: " + part.text("error")
	case stopped:
		return "stopped as planned, exit status 0"
	case stopping:
		return "was stopping when the log ends: it was killed, or still runs"
	}
	return "the log ends without a word: it was killed, or still runs"
}
