package control

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/store"
	"github.com/levertide/levertide/pkg/versionstore"
)

// storeState is what the node last saw of the platform's store.
type storeState struct {
	// contacted tells that the store was used at all.
	contacted bool
	reachable bool
	since     time.Time
	lastError string
	// regressed tells that the store has gone back, and regression how. It lasts
	// until the head was read in good order.
	regressed  bool
	regression string
}

// recordStoreResult takes in how a request to the store for the head, or for what it
// names, has ended.
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

// recordStoreAnswer takes in that the store has answered a request that tells
// nothing about the head.
func (n *Node) recordStoreAnswer() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.markStoreReachable()
}

// isStoreAnswer reports whether an error is itself an answer of a working store.
func isStoreAnswer(err error) bool {
	return errorx.IsOfType(err, versionstore.ErrStoreRegressed) ||
		errorx.IsOfType(err, versionstore.ErrConflict) ||
		errorx.IsOfType(err, versionstore.ErrVersionNotFound) ||
		errorx.IsOfType(err, versionstore.ErrCorrupt) ||
		errorx.IsOfType(err, store.ErrSessionGone)
}

// recordRegression keeps the alarm of a store that has gone back as long as that
// lasts. An error of another kind tells nothing about it.
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
	state.regressed, state.regression = true, err.Error()
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
		state.lastError = err.Error()
		return
	}
	state.contacted, state.reachable, state.since, state.lastError = true, false, now(), err.Error()
	n.events.StoreUnreachable(err)
}
