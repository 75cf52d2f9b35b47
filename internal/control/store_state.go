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
	regressed bool
}

// noteStore takes in how a request to the store ended.
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

// answered reports whether an error is itself an answer of a working store.
func answered(err error) bool {
	return errorx.IsOfType(err, versionstore.ErrStoreRegressed) ||
		errorx.IsOfType(err, versionstore.ErrConflict) ||
		errorx.IsOfType(err, versionstore.ErrVersionNotFound) ||
		errorx.IsOfType(err, versionstore.ErrCorrupt) ||
		errorx.IsOfType(err, store.ErrSessionGone)
}

func (n *Node) noteRegression(err error) {
	regressed := errorx.IsOfType(err, versionstore.ErrStoreRegressed)
	if regressed && !n.storeState.regressed {
		n.events.StoreRegressed(err)
		n.alarm(err.Error())
	}
	n.storeState.regressed = regressed
}

func (n *Node) storeAnswers() {
	state := &n.storeState
	if state.asked && state.reachable {
		return
	}
	wasDown := state.asked
	*state = storeState{asked: true, reachable: true, since: now(), regressed: state.regressed}
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
	*state = storeState{asked: true, since: now(), text: err.Error(), regressed: state.regressed}
	n.events.StoreUnreachable(err)
}
