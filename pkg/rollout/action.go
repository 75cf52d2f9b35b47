package rollout

import "github.com/levertide/levertide/pkg/snapshot"

// Action is what a Participant asks its owner to do.
type Action interface{ isAction() }

// FetchVersion asks for a version to be fetched and handed to Deliver. The
// owner calls FetchFailed when it cannot be had.
type FetchVersion struct{ Version Version }

// Activate asks for a snapshot to be put in force, whole and at once.
type Activate struct{ Snapshot *snapshot.Snapshot }

// StateChanged tells that State, and what the node reports upward, has changed.
type StateChanged struct{}

// RaiseAlarm asks for a person's attention.
type RaiseAlarm struct{ Text string }

func (FetchVersion) isAction() {}
func (Activate) isAction()     {}
func (StateChanged) isAction() {}
func (RaiseAlarm) isAction()   {}
