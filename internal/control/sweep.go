package control

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/versionstore"
)

// sweepTimeout bounds one sweep. What it does not get done, the one after the
// next decision does.
const sweepTimeout = time.Minute

// sweepState says whether old versions are being removed from the store.
type sweepState struct {
	running bool
	// rerun tells that the head has moved since the sweep under way began.
	rerun bool
}

// startSweep removes old versions in the background. The lock is held by the
// caller. Only the coordinator calls it, after a decision.
func (n *Node) startSweep() {
	state := &n.sweeping
	if state.running {
		state.rerun = true
		return
	}
	state.running = true
	n.spawn(n.sweep)
}

// sweep runs until no decision was made meanwhile. Its requests give way to all
// others of this node. A sweep that fails leaves its work to the next one: the
// head has moved, or the store does not answer, which others notice.
func (n *Node) sweep() {
	for {
		ctx, cancel := context.WithTimeout(n.serving, sweepTimeout)
		_, err := n.versions.Sweep(ctx)
		cancel()
		if n.sweepEnded(err) {
			return
		}
	}
}

// sweepEnded reports whether no other sweep is due.
func (n *Node) sweepEnded(err error) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if errorx.IsOfType(err, versionstore.ErrCorrupt) {
		n.alarm("old versions cannot be removed from the store: " + errorText(err))
	}
	state := &n.sweeping
	if state.rerun && n.serving.Err() == nil {
		state.rerun = false
		return false
	}
	state.running, state.rerun = false, false
	return true
}
