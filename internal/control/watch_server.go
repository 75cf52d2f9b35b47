package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/snapshot"
)

// rpc serves the messages of other nodes.
type rpc struct{ node *Node }

var _ controlpb.Control = rpc{}

// Watch answers a child as soon as there is an update for it, or when the hold ends.
func (r rpc) Watch(ctx context.Context, request *controlpb.WatchRequest) (*controlpb.WatchResponse, error) {
	if err := checkWatch(request); err != nil {
		r.node.events.PeerRefused(request.GetSelf().GetId(), err.Error())
		return nil, twirp.InvalidArgument.Error(err.Error())
	}
	if err := r.node.verifyWatch(ctx, request); err != nil {
		return nil, err
	}
	return r.node.watch(ctx, request)
}

// verifyWatch checks that the request was sent by the child that it names.
func (n *Node) verifyWatch(ctx context.Context, request *controlpb.WatchRequest) error {
	if self := request.GetSelf(); self != nil {
		return n.verifyClaim(ctx, MessageWatch, memberRecord(self))
	}
	if record, found := n.childOfHandle(request.GetHandle()); found && request.GetHandle() != 0 {
		return n.verifyClaim(ctx, MessageWatch, record)
	}
	return nil
}

// watchCall is one child's poll.
type watchCall struct {
	child   *child
	request *controlpb.WatchRequest
	scope   snapshot.Scope
	expiry  <-chan time.Time
}

func (n *Node) watch(ctx context.Context, request *controlpb.WatchRequest) (*controlpb.WatchResponse, error) {
	if request.GetSelf() == nil && request.GetHandle() == 0 {
		return n.answerOnce(request)
	}
	call, refusal := n.admitChild(request)
	if refusal != nil {
		return refusal, nil
	}
	timer := time.NewTimer(holdOf(call.request))
	defer timer.Stop()
	call.expiry = timer.C
	brokeOff := n.hold(ctx, call)
	answer, err := n.answer(call)
	n.endPoll(call, brokeOff)
	return answer, err
}

func holdOf(request *controlpb.WatchRequest) time.Duration {
	return min(time.Duration(request.GetHoldMilliseconds())*time.Millisecond, maximumHold)
}

// admitChild registers a child's poll. The second result is non-nil for a child
// that must send a full or newer request instead.
func (n *Node) admitChild(request *controlpb.WatchRequest) (watchCall, *controlpb.WatchResponse) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if request.GetHandle() != 0 {
		return n.admitHandle(request.GetHandle())
	}
	record := memberRecord(request.GetSelf())
	if known, found := n.table.Get(record.ID); found && known.Supersedes(record) {
		return watchCall{}, &controlpb.WatchResponse{
			Resend:    true,
			Directory: &controlpb.DirectoryUpdate{Members: []*controlpb.Member{memberMessage(known)}},
		}
	}
	entry, attachedNow := n.children.attach(record)
	n.plan.trust(record.ID)
	n.mergeBelow(now(), record)
	if attachedNow {
		n.reportBelow([]membership.Record{record}, now())
	}
	n.reportReconnected(entry)
	n.widenForChildren()
	entry.pollBegan()
	return watchCall{child: entry, request: request, scope: scopeOf(request.GetScope())}, nil
}

// admitHandle registers the poll of a child that repeats its last request by its
// handle.
func (n *Node) admitHandle(handle uint64) (watchCall, *controlpb.WatchResponse) {
	for _, entry := range n.children.byID {
		if entry.handle != handle || entry.request == nil {
			continue
		}
		n.reportReconnected(entry)
		entry.pollBegan()
		return watchCall{child: entry, request: entry.request, scope: scopeOf(entry.request.GetScope())}, nil
	}
	return watchCall{}, &controlpb.WatchResponse{Resend: true}
}

// reportReconnected reports to the parent what was left out while a child was
// disconnected.
func (n *Node) reportReconnected(entry *child) {
	if entry.disconnected {
		entry.disconnected = false
		n.reports.readinessChanged(now(), n.reportsComplete())
	}
	if entry.omitted {
		entry.omitted = false
		n.reportBelow(n.recordsOf(entry.record.ID), now())
	}
}

// widenForChildren widens the feed's scope of a node that has just become a
// parent to what its children may request.
func (n *Node) widenForChildren() {
	if n.feed.scope.All {
		return
	}
	n.updateScope(now())
	n.updateRole()
}

// hold waits until there is an update for the child or the hold ends. It reports
// whether the child broke off the poll.
func (n *Node) hold(ctx context.Context, call watchCall) bool {
	for {
		signal := n.waiters.wait()
		if n.hasUpdate(call) {
			return false
		}
		select {
		case <-signal:
		case <-call.expiry:
			return false
		case <-ctx.Done():
			return true
		}
	}
}

// endPoll records the end of a child's poll.
func (n *Node) endPoll(call watchCall, brokeOff bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	call.child.pollEnded(now(), brokeOff)
	if brokeOff {
		n.reports.readinessChanged(now(), false)
	}
	n.kick()
}
