package control

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/store"
	"github.com/levertide/levertide/pkg/versionstore"
)

// storeState is the last known state of the platform's store.
type storeState struct {
	// contacted is set once a request to the store has succeeded or failed.
	contacted bool
	reachable bool
	since     time.Time
	lastError string
	// regressed is set while the store has regressed to an earlier state, and
	// regression describes how. It is cleared by the next successful request that
	// is passed to recordStoreResult.
	regressed  bool
	regression string
}

// recordStoreResult records the result of a store request for the head, or for
// versions that it names.
func (n *Node) recordStoreResult(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.recordRegression(err)
	switch {
	case err == nil || isStoreAnswer(err):
		n.markStoreReachable()
	default:
		n.markStoreUnreachable(err)
	}
}

// recordStoreAnswer records that the store answered a request that reveals
// nothing about the head.
func (n *Node) recordStoreAnswer() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.markStoreReachable()
}

// isStoreAnswer reports whether an error shows that the store itself is working.
func isStoreAnswer(err error) bool {
	return errorx.IsOfType(err, versionstore.ErrStoreRegressed) ||
		errorx.IsOfType(err, versionstore.ErrConflict) ||
		errorx.IsOfType(err, versionstore.ErrVersionNotFound) ||
		errorx.IsOfType(err, versionstore.ErrCorrupt) ||
		errorx.IsOfType(err, store.ErrSessionGone)
}

// recordRegression raises and clears the alarm about a regressed store. An error
// of another kind leaves it unchanged.
func (n *Node) recordRegression(err error) {
	state := &n.storeState
	if err == nil {
		state.regressed, state.regression = false, ""
		return
	}
	if !errorx.IsOfType(err, versionstore.ErrStoreRegressed) {
		return
	}
	if !state.regressed {
		n.events.StoreRegressed(err)
		n.events.Alarm(err.Error())
	}
	state.regressed, state.regression = true, messageText(err)
}

func (n *Node) markStoreReachable() {
	state := &n.storeState
	if state.contacted && state.reachable {
		return
	}
	wasDown := state.contacted
	state.contacted, state.reachable, state.since, state.lastError = true, true, now(), ""
	if wasDown {
		n.events.StoreReachable()
	}
}

func (n *Node) markStoreUnreachable(err error) {
	state := &n.storeState
	if state.contacted && !state.reachable {
		state.lastError = messageText(err)
		return
	}
	state.contacted, state.reachable, state.since, state.lastError = true, false, now(), messageText(err)
	n.events.StoreUnreachable(err)
}
