package control

import (
	"context"

	"github.com/levertide/levertide/internal/controlpb"
)

// catchUpWith fetches the head and versions from a child that knows a newer
// head than this node. This happens when a root has restarted or cannot reach
// the store that its child reads.
func (n *Node) catchUpWith(entry *child, generation uint64) {
	if !n.upstream.root || n.catchingUp || generation <= n.head().Generation {
		return
	}
	n.catchingUp = true
	peer := peerOf(&entry.record)
	request := &controlpb.WatchRequest{HeadGeneration: n.head().Generation}
	current := n.feed
	current.describe(request, n.head())
	n.spawn(func() {
		ctx, cancel := context.WithTimeout(n.serving, n.config.CallTimeout)
		defer cancel()
		answer, err := n.clients.watch(ctx, peer, request)
		if err == nil {
			err = checkAnswer(answer)
		}
		n.applyCatchUp(current, answer, err)
	})
}

// applyCatchUp applies the head and the versions of a child's answer.
func (n *Node) applyCatchUp(asked feed, answer *controlpb.WatchResponse, err error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.catchingUp = false
	if err != nil {
		return
	}
	delivered, err := asked.applyAll(answer.GetDeltas())
	if err != nil {
		n.events.PeerRefused("", err.Error())
		return
	}
	n.observeHeadMessage(answer.GetHead())
	n.receiveAll(asked.scope, delivered)
}
