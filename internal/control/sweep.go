package control

import (
	"context"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/versionstore"
)

// sweepTimeout bounds one sweep. Versions that it does not remove in time are
// left to the sweep after the next decision.
const sweepTimeout = time.Minute

// sweepState holds whether old versions are being removed from the store.
type sweepState struct {
	running bool
	// rerun is set when the head has advanced since the current sweep began.
	rerun bool
}

// startSweep removes old versions in the background. The caller holds the lock.
// Only the coordinator calls it, after a decision.
func (n *Node) startSweep() {
	state := &n.sweeping
	if state.running {
		state.rerun = true
		return
	}
	state.running = true
	n.spawn(n.sweep)
}

// sweep repeats until no decision was made during the last run. Its requests
// yield to all other store requests of this node. A failed sweep leaves its work
// to the next one: either the head has advanced, or the store does not answer,
// which other requests detect.
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

// sweepEnded reports whether no further run is due.
func (n *Node) sweepEnded(err error) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if errorx.IsOfType(err, versionstore.ErrCorrupt) {
		n.alarm("old versions cannot be removed from the store: " + strings.ToValidUTF8(errorText(err), replacement))
	}
	state := &n.sweeping
	if state.rerun && n.serving.Err() == nil {
		state.rerun = false
		return false
	}
	state.running, state.rerun = false, false
	return true
}
