package control

import (
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/snapshot"
	"slices"
)

// observeHead passes a head from any source to the participant.
func (n *Node) observeHead(head rollout.Head) {
	before := n.participant.State()
	n.carryOut(n.participant.ObserveHead(head))
	after := n.participant.State()
	if after.HeadKnown && after.Head.Generation > before.Head.Generation {
		n.headAdvanced(after.Head)
	}
}

// headAdvanced wakes everything that waits for a newer head.
func (n *Node) headAdvanced(head rollout.Head) {
	if n.versions != nil {
		n.versions.ObserveHead(head)
	}
	n.waiters.wake()
	n.kick()
}

// receive adds a version in the feed's scope to the feed and delivers it.
func (n *Node) receive(received *snapshot.Snapshot) {
	n.feed.history.Add(received)
	n.deliver(received)
	n.waiters.wake()
	n.kick()
}

// deliver passes the part of a version in the node's own scope to the participant.
func (n *Node) deliver(received *snapshot.Snapshot) {
	before := n.participant.State()
	own := n.shared.restrict(received, n.ownScope())
	n.carryOut(n.participant.Deliver(own))
	n.reportStaging(before, n.participant.State())
}

// reportStaging emits an event for a version that was staged or refused.
func (n *Node) reportStaging(before, after rollout.ParticipantState) {
	if after.Staged != nil && after.Staged != before.Staged {
		n.events.VersionStaged(after.Staged.Version())
	}
	if after.Refusal != nil && after.RefusedVersion != before.RefusedVersion {
		n.events.VersionRefused(after.RefusedVersion, after.Refusal.Reason)
	}
}

// carryOut performs the actions that the participant requests.
func (n *Node) carryOut(actions []rollout.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case rollout.FetchVersion:
			n.fetchFromFeed(action.Version)
		case rollout.Activate:
			n.activate(action.Snapshot)
		case rollout.StateChanged:
			n.stateChanged()
		case rollout.RaiseAlarm:
			n.events.Alarm(action.Text)
		}
	}
}

// fetchFromFeed delivers a version that the feed already holds. Otherwise the
// version comes with the answer to the next poll, or is loaded by the reader.
func (n *Node) fetchFromFeed(version rollout.Version) {
	held, found := n.feed.holds(version)
	if !found {
		n.participant.FetchFailed(version)
		n.kick()
		return
	}
	n.deliver(held)
}

// activate puts a version in force with one swap of the pointer. The version
// never decreases, whatever the participant requests.
func (n *Node) activate(next *snapshot.Snapshot) {
	if running := n.current.Load(); running != nil && running.Version() >= next.Version() {
		n.alarm("refused to put a version in force that is not above the current one")
		return
	}
	n.current.Store(next)
	n.observers.wake()
	n.events.VersionInForce(next.Version(), next.Digest())
}

func (n *Node) stateChanged() {
	n.reports.readinessChanged(now(), n.reportsComplete())
	n.observers.wake()
	n.kick()
}

// alarm raises an alarm about something that the participant does not observe.
// A text that is still listed is not raised again.
func (n *Node) alarm(text string) {
	if slices.Contains(n.alarms, text) {
		return
	}
	n.alarms = appendAlarm(n.alarms, text)
	n.events.Alarm(text)
}

// appendAlarm adds an alarm unless it is listed already, and drops the oldest
// one at rollout.MaxAlarms.
func appendAlarm(alarms []string, text string) []string {
	if slices.Contains(alarms, text) {
		return alarms
	}
	if len(alarms) == rollout.MaxAlarms {
		alarms = alarms[1:]
	}
	return append(alarms, text)
}
