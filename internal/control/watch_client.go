package control

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/snapshot"
	"github.com/levertide/levertide/pkg/topology"
)

// Pauses between polls that failed or were rejected. They stay below the bound
// after which a parent marks a child as lost.
const (
	pollBackoffBase    = 30 * time.Millisecond
	pollBackoffCeiling = time.Second
	// answerGrace is how much longer than the hold an answer may take.
	answerGrace = time.Second
	// loopPause is how long a parent that polls this node itself, directly or
	// through others, or that does not read the store although it must, is kept
	// out of the plan.
	loopPause = 500 * time.Millisecond
)

// pollResult determines the pause before the next poll.
type pollResult struct {
	pause  time.Duration
	failed bool
}

// runUpstream polls the parent, and runs discovery while there is none.
func (n *Node) runUpstream(ctx context.Context) {
	pauses := backoff{base: pollBackoffBase, ceiling: pollBackoffCeiling}
	for ctx.Err() == nil {
		changed := n.upstream.changed.wait()
		call, found := n.beginPoll(ctx)
		if !found {
			n.discoverAsRoot(ctx, changed)
			continue
		}
		result := n.poll(call)
		call.cancel()
		if result.failed {
			sleep(ctx, pauses.next())
			continue
		}
		pauses.reset()
		if result.pause > 0 {
			sleep(ctx, result.pause)
		}
	}
}

// pollCall is one poll from its request to its answer.
type pollCall struct {
	ctx     context.Context
	cancel  context.CancelFunc
	parent  topology.Peer
	epoch   uint64
	feed    feed
	request *controlpb.WatchRequest
	// complete is the full request, also when request carries only its handle.
	complete *controlpb.WatchRequest
	first    bool
}

// beginPoll chooses the parent and builds the request. It returns false when
// there is no parent.
func (n *Node) beginPoll(ctx context.Context) (pollCall, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	parent, found := n.chooseParent(now())
	if !found {
		n.becomeRoot()
		return pollCall{}, false
	}
	if parent.ID != n.upstream.parent.ID || parent.ControlAddress != n.upstream.parent.ControlAddress {
		n.attachTo(parent)
	}
	call := pollCall{parent: parent, epoch: n.upstream.epoch, feed: n.feed, first: !n.upstream.attached}
	call.complete = n.watchRequest()
	call.request = n.shortRequest(call.complete)
	call.ctx, call.cancel = context.WithTimeout(ctx, n.config.Hold+answerGrace)
	n.upstream.cancel = call.cancel
	return call, true
}

// attachTo attaches to a new parent under a higher attachment number, which
// refutes a loss that the previous parent may report.
func (n *Node) attachTo(parent topology.Peer) {
	n.upstream.attach(parent)
	n.self.Attachment++
	n.mergeBelow(now(), n.self)
	n.reports.newParent(n.subtreeRecords(), now())
	n.events.ParentChanged(parent.ID)
}

// becomeRoot makes the node the root of its own tree.
func (n *Node) becomeRoot() {
	if n.upstream.root {
		return
	}
	n.upstream.detach()
	n.upstream.cursor = nil
	n.upstream.root = true
	n.discovery.reset()
	n.upstream.setTreeRoot(n.self.ID)
	n.waiters.wake()
	n.events.ParentChanged("")
	n.kick()
}

// subtreeRecords lists the records of this node and of all nodes below it. A
// disconnected child is left out, with the nodes below it, until it polls again:
// it may have attached to another node by now.
func (n *Node) subtreeRecords() []membership.Record {
	records := []membership.Record{n.self}
	for id, entry := range n.children.byID {
		if entry.disconnected {
			entry.omitted = true
			continue
		}
		records = append(records, n.recordsOf(id)...)
	}
	return records
}

// recordsOf lists the records of a child and of all nodes below it.
func (n *Node) recordsOf(child string) []membership.Record {
	var records []membership.Record
	if record, found := n.table.Get(child); found {
		records = append(records, record)
	}
	for id, through := range n.children.via {
		if through != child {
			continue
		}
		if record, found := n.table.Get(id); found {
			records = append(records, record)
		}
	}
	return records
}

func (n *Node) watchRequest() *controlpb.WatchRequest {
	head := n.head()
	request := &controlpb.WatchRequest{
		Self:             memberMessage(n.self),
		HeadGeneration:   head.Generation,
		Cursor:           n.upstream.cursor,
		HoldMilliseconds: uint32(n.config.Hold / time.Millisecond),
		PathHash:         n.upstream.pathHash,
	}
	if request.Cursor.GetRelay() != n.upstream.parent.ID {
		request.Cursor = &controlpb.DirectoryCursor{Sum: sumMessage(n.ownSum())}
	}
	n.feed.describe(request, head)
	return request
}

// shortRequest replaces a request that has not changed by its handle.
func (n *Node) shortRequest(complete *controlpb.WatchRequest) *controlpb.WatchRequest {
	if n.upstream.handle == 0 || !proto.Equal(complete, n.upstream.acknowledged) {
		return complete
	}
	return &controlpb.WatchRequest{Handle: n.upstream.handle}
}

// poll sends the request to the parent and handles its answer.
func (n *Node) poll(call pollCall) pollResult {
	answer, err := n.clients.watch(call.ctx, call.parent, call.request)
	if err == nil {
		err = checkAnswer(answer)
	}
	if err != nil {
		return n.pollFailed(call, err)
	}
	return n.handleAnswer(call, answer)
}

func (n *Node) pollFailed(call pollCall, err error) pollResult {
	interrupted := call.ctx.Err() == context.Canceled
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if interrupted || call.epoch != n.upstream.epoch {
		return pollResult{}
	}
	n.suspect(call.parent, err)
	return pollResult{failed: true}
}

// suspect keeps a peer out of the plan for a time that depends on
// Config.SuspectBound and on its earlier failures.
func (n *Node) suspect(peer topology.Peer, _ error) {
	n.plan.suspect(peer.ID, now(), n.config.SuspectBound)
	n.clients.closeIdle(peer.ControlAddress)
}

// handleAnswer applies an answer, unless it belongs to an earlier attachment.
func (n *Node) handleAnswer(call pollCall, answer *controlpb.WatchResponse) pollResult {
	if answer.GetRetryAfterMilliseconds() > 0 {
		return pollResult{pause: retryPause(answer)}
	}
	records, err := unpackMembers(answer.GetDirectory().GetMembers(), answer.GetDirectory().GetPacked())
	if err != nil {
		return n.pollFailed(call, err)
	}
	delivered, deltaError := call.feed.applyAll(answer.GetDeltas())

	n.mutex.Lock()
	defer n.mutex.Unlock()
	if call.epoch != n.upstream.epoch {
		return pollResult{}
	}
	if answer.GetResend() {
		return n.handleResend(records)
	}
	if answeredByAnotherNode(call.parent, answer) {
		n.suspect(call.parent, nil)
		return pollResult{failed: true}
	}
	if refused := n.refuseParent(call.parent, answer); refused {
		return pollResult{failed: true}
	}
	n.attachConfirmed(call, answer)
	at := now()
	n.mergeFromParent(at, answer.GetDirectory(), records)
	if cursor := answer.GetDirectory().GetCursor(); cursor != nil {
		n.upstream.cursor = cursor
	}
	n.observeHeadMessage(answer.GetHead())
	n.receiveAll(call.feed.scope, delivered)
	if deltaError != nil {
		return n.refuseDeltas(call.parent, deltaError)
	}
	return pollResult{}
}

// answeredByAnotherNode reports whether another node has taken over the parent's address.
func answeredByAnotherNode(parent topology.Peer, answer *controlpb.WatchResponse) bool {
	return !answer.GetPathUnchanged() && (len(answer.GetPath()) == 0 || answer.GetPath()[0] != parent.ID)
}

// handleResend makes the next request a full one. The parent sends the record of
// this node that it holds when that is newer than the node's own.
func (n *Node) handleResend(records []membership.Record) pollResult {
	n.upstream.handle, n.upstream.acknowledged = 0, nil
	if changed := n.table.Merge(records...); len(changed) > 0 {
		n.membersChanged(changed, now())
	}
	return pollResult{pause: randomBelow(pollBackoffBase)}
}

func retryPause(answer *controlpb.WatchResponse) time.Duration {
	requested := time.Duration(answer.GetRetryAfterMilliseconds()) * time.Millisecond
	requested = min(requested, pollBackoffCeiling)
	return requested/2 + randomBelow(requested)
}

// refuseParent detaches from a parent that polls this node itself, directly or
// through others, and from one that must read the store and does not. It reports
// whether it did.
func (n *Node) refuseParent(parent topology.Peer, answer *controlpb.WatchResponse) bool {
	path := n.upstream.path
	if !answer.GetPathUnchanged() {
		path = answer.GetPath()
	}
	looped := slices.Contains(path, n.self.ID)
	notReading := n.plan.assignment.MustBeReader(parent.ID) && !answer.GetReader()
	if looped || notReading {
		n.plan.suspect(parent.ID, now(), loopPause)
		n.upstream.detach()
		return true
	}
	if n.upstream.setPath(path) {
		n.waiters.wake()
	}
	return false
}

// attachConfirmed records that the parent has answered this node in this epoch.
func (n *Node) attachConfirmed(call pollCall, answer *controlpb.WatchResponse) {
	n.plan.trust(call.parent.ID)
	if handle := answer.GetHandle(); handle != 0 {
		n.upstream.handle, n.upstream.acknowledged = handle, call.complete
	}
	if n.upstream.attached {
		return
	}
	n.upstream.attached = true
	n.reports.readinessChanged(now(), true)
	n.observers.wake()
	n.kick()
}

// observeHeadMessage applies the head of an answer, if it has one.
func (n *Node) observeHeadMessage(message *controlpb.Head) {
	if message == nil {
		return
	}
	n.observeHead(controlpb.HeadOf(message))
}

// receiveAll receives versions, unless the feed's scope has changed since they
// were requested.
func (n *Node) receiveAll(scope snapshot.Scope, delivered []*snapshot.Snapshot) {
	if scope != n.feed.scope {
		return
	}
	for _, received := range delivered {
		n.receive(received)
	}
}

// refuseDeltas empties the feed, so that the next poll requests complete
// versions, and suspects a parent whose complete versions cannot be used either.
func (n *Node) refuseDeltas(parent topology.Peer, err error) pollResult {
	n.events.PeerRefused(parent.ID, err.Error())
	if _, held := n.feed.history.Latest(); !held {
		n.suspect(parent, err)
	}
	n.feed = newFeed(n.feed.scope)
	return pollResult{failed: true}
}

// applyAll applies deltas in order. The base of a delta may be the result of an
// earlier one.
func (f *feed) applyAll(deltas []*controlpb.Delta) ([]*snapshot.Snapshot, error) {
	if len(deltas) == 0 {
		return nil, nil
	}
	var delivered []*snapshot.Snapshot
	for _, delta := range deltas {
		next, err := f.apply(delta, delivered)
		if err != nil {
			return delivered, err
		}
		delivered = append(delivered, next)
	}
	return delivered, nil
}

// head returns the newest head that the node has accepted.
func (n *Node) head() rollout.Head { return n.participant.State().Head }
