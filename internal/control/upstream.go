package control

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/topology"
)

// upstream is the node's attachment to its parent.
type upstream struct {
	// parent is the node that is polled; its ID is empty when there is none.
	parent topology.Peer
	// epoch increases with each attachment. Answers of an older one are dropped.
	epoch uint64
	// attached is set once the parent has answered in this epoch.
	attached bool
	// root is set while the node has no parent to poll.
	root     bool
	path     []string
	pathHash uint64
	// treeRoot is the root of the tree that the node is in, and treeRootSince the
	// time since which it has been.
	treeRoot      string
	treeRootSince time.Time
	cursor        *controlpb.DirectoryCursor
	// handle identifies acknowledged, the last full request that was answered.
	handle       uint64
	acknowledged *controlpb.WatchRequest
	// cancel ends the current poll; changed wakes the polling loop when there is none.
	cancel  context.CancelFunc
	changed broadcast
}

// interrupt ends the current poll, so that the next one carries the changed state.
func (u *upstream) interrupt() {
	if u.cancel != nil {
		u.cancel()
	}
	u.changed.wake()
}

// detach ends the attachment to the parent.
func (u *upstream) detach() {
	u.epoch++
	u.parent = topology.Peer{}
	u.attached = false
	u.path, u.pathHash = nil, 0
	u.handle, u.acknowledged = 0, nil
}

// attach starts an attachment to a new parent.
func (u *upstream) attach(parent topology.Peer) {
	u.detach()
	u.parent = parent
	u.root = false
}

// setPath stores the nodes from the parent up to the root. It reports whether
// they have changed.
func (u *upstream) setPath(path []string) bool {
	hash := hashPath(path)
	if hash == u.pathHash {
		return false
	}
	u.path, u.pathHash = path, hash
	if len(path) > 0 {
		u.setTreeRoot(path[len(path)-1])
	}
	return true
}

// setTreeRoot stores the root of the tree, and the time when it changed.
func (u *upstream) setTreeRoot(id string) {
	if u.treeRoot != id {
		u.treeRoot, u.treeRootSince = id, now()
	}
}

// hashPath never returns zero, which stands for no path.
func hashPath(path []string) uint64 {
	digest := xxhash.New()
	for _, id := range path {
		_, _ = digest.WriteString(id)
		_, _ = digest.Write([]byte{0})
	}
	return max(digest.Sum64(), 1)
}
