package rollout

import "github.com/levertide/levertide/pkg/snapshot"

// Action is something that a Participant requests from its owner.
type Action interface{ isAction() }

// FetchVersion requests that a version be fetched and passed to Deliver. The
// owner calls FetchFailed when the fetch fails.
type FetchVersion struct{ Version Version }

// Activate requests that a snapshot be put in force, completely and atomically.
type Activate struct{ Snapshot *snapshot.Snapshot }

// StateChanged reports that State changed, and with it the report to the node's parent.
type StateChanged struct{}

// RaiseAlarm requests an operator's attention.
type RaiseAlarm struct{ Text string }

func (FetchVersion) isAction() {}
func (Activate) isAction()     {}
func (StateChanged) isAction() {}
func (RaiseAlarm) isAction()   {}
