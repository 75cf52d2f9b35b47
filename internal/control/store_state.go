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
	// asked tells that the store was used at all.
	asked     bool
	reachable bool
	since     time.Time
	text      string
	// regressed tells that the store has gone back, and regression how. It lasts
	// until the head was read in good order.
	regressed  bool
	regression string
}

// noteStore takes in how a request to the store for the head, or for what it
// names, has ended.
func (n *Node) noteStore(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.noteRegression(err)
	switch {
	case err == nil || answered(err):
		n.storeAnswers()
	default:
		n.storeFails(err)
	}
}

// noteStoreAnswered takes in that the store has answered a request that tells
// nothing about the head.
func (n *Node) noteStoreAnswered() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.storeAnswers()
}

// answered reports whether an error is itself an answer of a working store.
func answered(err error) bool {
	return errorx.IsOfType(err, versionstore.ErrStoreRegressed) ||
		errorx.IsOfType(err, versionstore.ErrConflict) ||
		errorx.IsOfType(err, versionstore.ErrVersionNotFound) ||
		errorx.IsOfType(err, versionstore.ErrCorrupt) ||
		errorx.IsOfType(err, store.ErrSessionGone)
}

// noteRegression keeps the alarm of a store that has gone back as long as that
// lasts. An error of another kind tells nothing about it.
func (n *Node) noteRegression(err error) {
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

func (n *Node) storeAnswers() {
	state := &n.storeState
	if state.asked && state.reachable {
		return
	}
	wasDown := state.asked
	state.asked, state.reachable, state.since, state.text = true, true, now(), ""
	if wasDown {
		n.events.StoreReachable()
	}
}

func (n *Node) storeFails(err error) {
	state := &n.storeState
	if state.asked && !state.reachable {
		state.text = err.Error()
		return
	}
	state.asked, state.reachable, state.since, state.text = true, false, now(), err.Error()
	n.events.StoreUnreachable(err)
}
