package explain

import (
	"fmt"
	"io"

	"github.com/levertide/levertide/internal/command/console"
	"github.com/levertide/levertide/internal/command/exit"
)

// Events that name a worker by its instance.
const (
	eventWorkerChanged     = 606
	eventHeartbeatRejected = 618
	eventWorkerCallIgnored = 622
)

// WorkerReport is the answer of the command for a worker.
type WorkerReport struct {
	console.Outcome
	Instance string `json:"instance"`
	// Lines are what the nodes logged of the instance.
	Lines []Line `json:"lines"`
}

// WriteText implements console.Report.
func (r WorkerReport) WriteText(out io.Writer) { writeLines(out, "the worker", r.Lines) }

// reportWorker shows what nodes hold of a worker, and which of its calls had no effect.
func reportWorker(lines []Line, instance string) WorkerReport {
	answer := WorkerReport{Instance: instance, Lines: []Line{}}
	held, ignored := "", ""
	for _, line := range sorted(lines) {
		contends := line.text("held_instance") == instance && line.text("instance") != instance
		if line.text("instance") != instance && !contends {
			continue
		}
		answer.Lines = append(answer.Lines, line)
		switch {
		case contends:
			ignored = "; " + line.text("instance") + " claims its address"
		case line.Event == eventWorkerChanged:
			held = fmt.Sprintf("%s holds it as %s, started at %.0f, sequence %v", line.Node, line.text("state"), line.Fields["born_unix_milliseconds"], line.Fields["sequence"])
		case line.Event == eventWorkerCallIgnored:
			ignored = "; last call without effect: " + line.text("reason")
		case line.Event == eventHeartbeatRejected:
			ignored = "; last call rejected: " + line.text("error")
		}
	}
	if len(answer.Lines) == 0 {
		answer.Outcome = console.Done(exit.Rejected, "no line names worker "+instance)
		return answer
	}
	if held == "" {
		held = "no node has registered it in this time"
	}
	answer.Outcome = console.Done(exit.Accepted, held+ignored)
	return answer
}
