package control

import (
	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/rollout"
)

func (n *Node) hasUpdate(call watchCall) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.hasVersionUpdate(call.request) || n.hasPathUpdate(call.request) || n.hasDirectoryUpdate(call.request)
}

// hasPathUpdate reports whether the path to the root differs from the one that
// the child knows.
func (n *Node) hasPathUpdate(request *controlpb.WatchRequest) bool {
	return hashPath(n.ownPath()) != request.GetPathHash()
}

// ownPath lists the nodes from this one up to the root.
func (n *Node) ownPath() []string {
	path := append([]string{n.self.ID}, n.upstream.path...)
	return path[:min(len(path), maximumPath)]
}

// hasVersionUpdate reports whether the child lacks a version that is held here, or
// holds all versions of a head that it has not received yet.
func (n *Node) hasVersionUpdate(request *controlpb.WatchRequest) bool {
	head := n.head()
	complete := true
	for _, version := range lackedBy(request, head) {
		if n.feed.scope.All && !n.feed.lacks(version) {
			return true
		}
		complete = false
	}
	return complete && head.Generation > request.GetHeadGeneration()
}

// lackedBy lists the versions that a head names and a child does not hold, in
// the order in which they are sent.
func lackedBy(request *controlpb.WatchRequest, head rollout.Head) []rollout.Version {
	var lacked []rollout.Version
	for _, version := range [...]rollout.Version{head.Committed, head.Proposed} {
		if version != 0 && version != request.GetInForce() && version != request.GetStaged() {
			lacked = append(lacked, version)
		}
	}
	return lacked
}
