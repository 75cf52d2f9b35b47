package control

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/topology"
)

// upstream is the node's tie to its parent.
type upstream struct {
	// parent is the node that is polled; its ID is empty when there is none.
	parent topology.Peer
	// epoch rises with each attachment. What belongs to an older one is dropped.
	epoch uint64
	// attached tells that the parent has answered in this epoch.
	attached bool
	// root tells that the node has no parent to turn to.
	root     bool
	path     []string
	pathHash uint64
	// treeRoot is the root of the tree that the node is in, and topSince since when.
	treeRoot      string
	treeRootSince time.Time
	cursor        *controlpb.DirectoryCursor
	// handle stands for acknowledged, the last whole request that was answered.
	handle       uint64
	acknowledged *controlpb.WatchRequest
	// cancel ends the poll under way; changed wakes the loop that has none.
	cancel  context.CancelFunc
	changed broadcast
}

// interrupt ends the poll under way, so that the next one tells what has changed.
func (u *upstream) interrupt() {
	if u.cancel != nil {
		u.cancel()
	}
	u.changed.wake()
}

// detach forgets the parent.
func (u *upstream) detach() {
	u.epoch++
	u.parent = topology.Peer{}
	u.attached = false
	u.path, u.pathHash = nil, 0
	u.handle, u.acknowledged = 0, nil
}

// attach takes a new parent.
func (u *upstream) attach(parent topology.Peer) {
	u.detach()
	u.parent = parent
	u.root = false
}

// setPath keeps the nodes from the parent up to the root. It reports whether
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

// setTreeRoot keeps the root of the tree.
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
