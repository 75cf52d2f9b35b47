package explain

import (
	"fmt"
	"time"

	"github.com/levertide/levertide/pkg/outcome"
)

const (
	// eventCall and eventHop are the events of single calls.
	eventCall = 701
	eventHop  = 702
	// eventQuarantined and eventQuarantineEnded name a request by its fingerprint.
	eventQuarantined     = 613
	eventQuarantineEnded = 614
	// eventWorkerLimit and eventWorkerLeaving name a worker by its instance.
	eventWorkerLimit   = 650
	eventWorkerLeaving = 651
	// stateChangeWindow is how long before a call's event a change in what a node
	// assumes about the system is considered relevant to the call.
	stateChangeWindow = 3 * time.Second
	// storeRestoreWindow is the same for a restore of the store from a copy: operators and nodes
	// write again what it lacks within seconds, and until then it holds older data.
	storeRestoreWindow = 30 * time.Second
)

// stateChangeEvents are the events that change what a node assumes about the system.
var stateChangeEvents = map[int]bool{
	104: true, 105: true, 401: true, 402: true, 601: true, 602: true, 603: true, 604: true, 605: true, 606: true, 607: true, 610: true, 621: true,
}

// storeRestoreEvents are the events of a restore of the store from a copy: the restore itself,
// the documents of the copy that were skipped, and a node writing its entry again.
var storeRestoreEvents = map[int]bool{616: true, 617: true, 620: true}

// causes explains each reason and says where to look further.
var causes = map[outcome.Reason]string{
	outcome.NotReady:            "the node had no configuration yet: see when it started, and whether it reaches the store or another node (402, 604)",
	outcome.NoRoute:             "no route of the version in force takes the host and path: compare the version with the operators' document (602); if it is old everywhere, see which nodes read the store (603)",
	outcome.NoWorker:            "no worker of the service could be given the call: see the counts in its error, what the nodes said of their workers (606) and which nodes were lost (604)",
	outcome.Unreachable:         "the connection to the node or the worker was not made, and nothing was sent: see whether it was lost or restarted (604, 101)",
	outcome.Overloaded:          "no slot was expected to be free in time on any node asked: see running, waiting and slots; the caller was told when to come back",
	outcome.Draining:            "the worker or its node was leaving (606, 105)",
	outcome.Declined:            "the worker was slower than the node where the call began believed, and the call's time was over before another was asked",
	outcome.RefusedByOwnWorker:  "the worker itself said that it did not run the call, and the attempts or the budget were spent",
	outcome.Misdirected:         "the node asked does not know the call: mixed versions of the program",
	outcome.DeadlineBeforeStart: "the time was over before a worker was reached: see how long it waited",
	outcome.CanceledBeforeStart: "the caller left before a worker was reached",
	outcome.InternalBeforeStart: "a fault of the node ended the call before anything was sent: see its event 113 at that time",
	outcome.Internal:            "a fault of the node ended the call after it was sent: see its event 113 at that time; the call may have run",
	outcome.BodyNotReceived:     "the caller's body broke off or came too slowly; nothing was sent on",
	outcome.TooLarge:            "the body is larger than the operators allow",
	outcome.ConnectionLost:      "the connection broke after the call was sent: the worker or its node ended, or its answer broke off; the call may have run",
	outcome.WorkerCrashed:       "the worker ended while it had the call, and everything else that it had in hand; the call may have run",
	outcome.Quarantined:         "the request was taken for one that crashes the workers that run it: see since when, under which workers, and on whose word (613), and docs/OPERATIONS.md for how to lift it",
	outcome.Unauthenticated:     "the call bore no key, or none that a tenant of that version holds: compare the version with the operators' document (602, 630), and see docs/OPERATIONS.md",
	outcome.ParentUnknown:       "a worker's call for a request that the node did not know to run: it began before the node did (101), or its id is made up",
	outcome.QuotaExceeded:       "the tenant had sent more than its limit over all nodes allows; the caller was told when to come back",
	outcome.Timeout:             "the worker had the call when its time was over: compare the time with the route's, and with other calls to the instance",
	outcome.Canceled:            "the caller left while a worker had the call",
	outcome.UnmarkedRefusal:     "the worker answered with a status that promises that nothing has run (unmarked_status), and without the mark of a refusal; the call may have run",
	outcome.InvalidAnswer:       "the worker answered with what belongs to another request; the call may have run",
}

// Explanation is what the logs show about one request.
type Explanation struct {
	// Calls are the lines of the request itself. StateChanges are the changes, shortly
	// before, in what the nodes that handled it assumed about the system.
	Calls        []Line `json:"calls"`
	StateChanges []Line `json:"beliefs"`
	Cause        string `json:"cause"`
}

// explain collects the lines about a request; false when no line names it.
func explain(lines []Line, request string) (Explanation, bool) {
	var explanation Explanation
	involved, fingerprints, instances := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, line := range lines {
		if line.text("request") != request {
			continue
		}
		explanation.Calls = append(explanation.Calls, line)
		involved[line.Node] = true
		if fingerprint := line.text("fingerprint"); fingerprint != "" {
			fingerprints[fingerprint] = true
		}
		if peer := line.text("peer"); peer != "" {
			involved[peer] = true
		}
		if instance := line.text("instance"); instance != "" {
			instances[instance] = true
		}
	}
	if len(explanation.Calls) == 0 {
		return Explanation{}, false
	}
	first := explanation.Calls[0].Time.Add(-stateChangeWindow)
	last := explanation.Calls[len(explanation.Calls)-1].Time
	terms := lastTerms(lines, instances, last)
	for index, line := range lines {
		near := !line.Time.Before(first) && !line.Time.After(last)
		relevant := stateChangeEvents[line.Event] && near && (involved[line.Node] || involved[line.text("peer")])
		restored := storeRestoreEvents[line.Event] && involved[line.Node] && line.Time.After(first.Add(stateChangeWindow-storeRestoreWindow))
		if relevant || terms[index] || (restored || isQuarantineOf(line, fingerprints)) && !line.Time.After(last) {
			explanation.StateChanges = append(explanation.StateChanges, line)
		}
	}
	explanation.Cause = causeOf(explanation.Calls)
	return explanation, true
}

// lastTerms returns the indices of the lines that tell which requests the given workers took at a
// moment: the last of each kind on each node, however old. A limit holds until the worker ends it.
func lastTerms(lines []Line, instances map[string]bool, until time.Time) map[int]bool {
	type key struct {
		node, instance string
		event          int
	}
	newest := map[key]int{}
	for index, line := range lines {
		stated := line.Event == eventWorkerLimit || line.Event == eventWorkerLeaving
		if stated && instances[line.text("instance")] && !line.Time.After(until) {
			newest[key{line.Node, line.text("instance"), line.Event}] = index
		}
	}
	indices := make(map[int]bool, len(newest))
	for _, index := range newest {
		indices[index] = true
	}
	return indices
}

// isQuarantineOf reports whether a line is the start or the end of the quarantine of one of
// the requests. It may have been written long before the call, and by any node.
func isQuarantineOf(line Line, fingerprints map[string]bool) bool {
	return (line.Event == eventQuarantined || line.Event == eventQuarantineEnded) && fingerprints[line.text("fingerprint")]
}

// causeOf returns why a request ended as it did. The node beside the worker knows
// more than the one where the call began, so its reason is used when the latter gives none.
func causeOf(calls []Line) string {
	var begun, deepest *Line
	for index := range calls {
		switch calls[index].Event {
		case eventCall:
			begun = &calls[index]
		case eventHop:
			deepest = &calls[index]
		}
	}
	deciding := begun
	if begun == nil || begun.text("reason") == "" && deepest != nil {
		deciding = deepest
	}
	if deciding == nil {
		return "no line tells the end of the call"
	}
	reason := outcome.Reason(deciding.text("reason"))
	if reason == "" {
		return "the call was answered by a worker, after more than one attempt"
	}
	explanation, known := causes[reason]
	if !known {
		explanation = "see the lines"
	}
	if limit := deciding.text("limit"); limit != "" && reason == outcome.Overloaded {
		explanation = fmt.Sprintf("the worker asked last takes %s requests a second from all nodes together, as it states itself, and no room was expected in time there or elsewhere (650); the caller was told when to come back", limit)
	}
	return fmt.Sprintf("%s (%s), decided by %s: %s", reason, deciding.text("outcome"), decidedBy(deciding), explanation)
}

// decidedBy returns who decided what a line says: for a refusal the node or the worker that refused,
// with the evidence.
func decidedBy(line *Line) string {
	by := line.text("refused_by")
	if by == "" {
		return line.Node
	}
	return fmt.Sprintf("%s (%s)", by, line.text("evidence"))
}
