package status

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// WriteText implements console.Report. Alarms come first.
func (r Report) WriteText(out io.Writer) {
	for _, alarm := range r.Alarms {
		line(out, "ALARM", alarm)
	}
	line(out, "version", r.versionText())
	r.writeRollout(out)
	for _, node := range r.Lagging {
		line(out, "lagging", node.Node+": "+node.Reason)
	}
	line(out, "store", r.Store.text())
	line(out, "members", fmt.Sprintf("%d live, %d leaving, %d lost", r.Live, r.Leaving, r.Lost))
	line(out, "coordinator", orNone(r.Coordinator))
	line(out, "readers", orNone(strings.Join(r.Readers, ", ")))
	line(out, "last rejected", r.LastRejected.text())
	line(out, "answered by", r.answeredText())
}

// labelWidth is the width of the column of labels.
const labelWidth = 15

func line(out io.Writer, label, text string) {
	_, _ = fmt.Fprintf(out, "%-*s%s\n", labelWidth, label, text)
}

func (r Report) versionText() string {
	if r.Committed == 0 {
		return "none has been committed yet"
	}
	text := fmt.Sprintf("%d, in force on %d of %d live nodes", r.Committed, r.InForceOn, r.Live)
	if r.InForceSince == nil {
		return text + ", not yet on all"
	}
	return text + ", on all since " + timeText(*r.InForceSince)
}

func (r Report) writeRollout(out io.Writer) {
	if r.Rollout == nil {
		line(out, "rollout", "none")
		return
	}
	line(out, "rollout", fmt.Sprintf("version %d (apply %s), ready on %d of %d live nodes",
		r.Rollout.Version, r.Rollout.ApplyID, r.Rollout.ReadyOn, r.Live))
	for _, node := range r.Rollout.Refused {
		line(out, "refused", node.Node+": "+node.Reason)
	}
}

func (s Store) text() string {
	text := "reachable"
	if !s.Reachable {
		text = "NOT REACHABLE"
	}
	if s.Since != nil {
		text += " since " + timeText(*s.Since)
	}
	if s.Error != "" {
		text += ": " + s.Error
	}
	return text
}

func (r *Rejection) text() string {
	if r == nil {
		return "none"
	}
	text := fmt.Sprintf("version %d by node %s: %s (apply %s)", r.Version, r.Node, r.Reason, r.ApplyID)
	if r.At != nil {
		text += " at " + timeText(*r.At)
	}
	return text
}

func timeText(instant time.Time) string { return instant.Local().Format(time.DateTime + " MST") }

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// answeredText names the answering node, with a warning if its view may be incomplete
// because it is not the coordinator.
func (r Report) answeredText() string {
	if r.AnsweredBy == r.Coordinator {
		return r.AnsweredBy
	}
	return r.AnsweredBy + ", which is not the coordinator: counts and reasons cover only what it hears of"
}
