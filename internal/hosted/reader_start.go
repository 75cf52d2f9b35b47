package hosted

import (
	"context"
	"math/rand/v2"
	"time"
)

// Waits of a reader that starts.
const (
	// peersBound is how long a node that starts waits at most for the nodes that it asks before it
	// reads the store itself: they answer within some milliseconds, and those that have just
	// started themselves answer at once that they have no document.
	peersBound = 300 * time.Millisecond
	// firstReadPerNode, times the nodes known, is the time over which the nodes of a mesh that
	// starts for the first time read the store, up to longestFirstRead: one of them reads every few
	// milliseconds and sends the document to all others.
	firstReadPerNode = 25 * time.Millisecond
	longestFirstRead = 5 * time.Second
	// hubWaitLimit is how long the hub of a zone waits to be sent the document before it reads the
	// store: running nodes answer within some milliseconds, and when all start, the zone waits for
	// its hub.
	hubWaitLimit = 50 * time.Millisecond
	// hubHeadStart is how long nodes that start wait for the hub of their zone to read and send the
	// document, which takes one read of the store and one or two hops. When all nodes start at
	// once, those that do not know each other yet would all read the store: 91 of 985 nodes did
	// with a random spread alone (simulated time).
	hubHeadStart = 150 * time.Millisecond
	// restartReadPerNode, times the nodes known, is the time over which nodes that start
	// simultaneously read the store, up to longestRestartRead: a few milliseconds after the first
	// has read, it has sent the document to the others.
	restartReadPerNode = time.Millisecond
	longestRestartRead = 100 * time.Millisecond
)

// awaitPeers gives other nodes the time to send the document, so that nodes that start
// simultaneously do not all read the store.
func (r *Reader) awaitPeers(ctx context.Context) {
	bound, headStart := peersBound, hubHeadStart
	if r.firstStart {
		// Nodes start calling over startSpread, and the first know few others.
		bound, headStart = bound+startSpread, startSpread
	}
	if r.firstStart {
		r.awaitDocument(ctx, r.peersAsked, bound)
	} else {
		r.awaitDocument(ctx, r.peersAsked, hubWaitLimit)
	}
	if r.isZoneHub() {
		return
	}
	r.awaitDocument(ctx, r.peersAsked, bound)
	r.awaitDocument(ctx, nil, headStart)
	spread := min(time.Duration(len(r.table.View().Nodes()))*restartReadPerNode, longestRestartRead)
	if r.firstStart {
		spread = min(time.Duration(len(r.table.View().Nodes()))*firstReadPerNode, longestFirstRead)
	}
	r.awaitDocument(ctx, nil, rand.N(spread))
}

// awaitDocument waits for a document, until the channel is closed, for at most the given time.
func (r *Reader) awaitDocument(ctx context.Context, done <-chan struct{}, bound time.Duration) {
	t := time.NewTimer(bound)
	defer t.Stop()
	select {
	case <-r.documents.Available():
	case <-done:
	case <-t.C:
	case <-ctx.Done():
	}
}
