package control

import (
	"math/rand/v2"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/snapshot"
)

// answerOnce answers a node that is not a child, immediately and without members.
func (n *Node) answerOnce(request *controlpb.WatchRequest) (*controlpb.WatchResponse, error) {
	call := watchCall{request: request, scope: scopeOf(request.GetScope())}
	return n.answer(call)
}

// pendingDelta is a delta that is to be encoded once the lock is released.
type pendingDelta struct {
	base, target *snapshot.Snapshot
}

// answer builds the answer with everything that the child lacks.
func (n *Node) answer(call watchCall) (*controlpb.WatchResponse, error) {
	response, members, pending := n.beginAnswer(call)
	if call.child != nil {
		update, err := directoryUpdate(members)
		if err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		response.Directory = trimDirectory(update, call.request)
	}
	if err := n.encodeDeltas(response, pending); err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	if shed := n.shed(response); shed != nil {
		return shed, nil
	}
	n.finishAnswer(call, response)
	return response, nil
}

// trimDirectory returns nil for an update without changes.
func trimDirectory(update *controlpb.DirectoryUpdate, request *controlpb.WatchRequest) *controlpb.DirectoryUpdate {
	empty := !update.GetWhole() && len(update.GetMembers()) == 0 && len(update.GetPacked()) == 0
	if empty && proto.Equal(update.GetCursor(), request.GetCursor()) {
		return nil
	}
	return update
}

// shed returns an answer that makes the child retry later if a large answer may
// not be sent yet, and nil otherwise.
func (n *Node) shed(response *controlpb.WatchResponse) *controlpb.WatchResponse {
	pause := n.largeAnswers.admit(proto.Size(response))
	if pause == 0 {
		return nil
	}
	return &controlpb.WatchResponse{RetryAfterMilliseconds: uint32(pause / time.Millisecond)}
}

// beginAnswer collects the parts of the answer under the lock.
func (n *Node) beginAnswer(call watchCall) (*controlpb.WatchResponse, directoryAnswer, []pendingDelta) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	response := &controlpb.WatchResponse{Reader: n.self.Reader}
	head := n.head()
	if head.Generation > call.request.GetHeadGeneration() {
		response.Head = headMessage(head)
	}
	n.setPath(response, call.request)
	var members directoryAnswer
	if call.child != nil {
		members = n.directoryAnswer(call.request)
	}
	return response, members, n.pendingDeltas(call, head)
}

// setPath adds the path to the root to the answer, unless the child knows it.
func (n *Node) setPath(response *controlpb.WatchResponse, request *controlpb.WatchRequest) {
	path := n.ownPath()
	if hashPath(path) == request.GetPathHash() {
		response.PathUnchanged = true
		return
	}
	response.Path = path
}

// pendingDeltas lists the deltas to the versions that the child lacks. There are
// none when this node's feed does not cover the child's scope.
func (n *Node) pendingDeltas(call watchCall, head rollout.Head) []pendingDelta {
	if !n.mayServe(call.scope) {
		return nil
	}
	base := n.heldBase(call)
	var pending []pendingDelta
	for _, version := range lackedBy(call.request, head) {
		complete, held := n.feed.holds(version)
		if !held {
			continue
		}
		target := n.shared.restrict(complete, call.scope)
		pending = append(pending, pendingDelta{base: base, target: target})
		base = target
	}
	return pending
}

func (n *Node) mayServe(scope snapshot.Scope) bool {
	return n.feed.scope.All || n.feed.scope == scope
}

// heldBase returns the newest snapshot that child and parent both hold.
func (n *Node) heldBase(call watchCall) *snapshot.Snapshot {
	held := [...]struct {
		version uint64
		digest  []byte
	}{
		{call.request.GetInForce(), call.request.GetInForceDigest()},
		{call.request.GetStaged(), call.request.GetStagedDigest()},
	}
	for _, candidate := range held {
		complete, found := n.feed.holds(candidate.version)
		if !found {
			continue
		}
		digest, wellFormed := digestOf(candidate.digest)
		part := n.shared.restrict(complete, call.scope)
		if wellFormed && part.Digest() == digest {
			return part
		}
	}
	return snapshot.Empty()
}

// encodeDeltas adds deltas to the answer. Each is encoded once for all children.
func (n *Node) encodeDeltas(response *controlpb.WatchResponse, pending []pendingDelta) error {
	for _, delta := range pending {
		payload, err := n.shared.delta(delta.base, delta.target)
		if err != nil {
			return err
		}
		response.Deltas = append(response.Deltas, deltaMessage(delta, payload))
	}
	return nil
}

func deltaMessage(delta pendingDelta, payload []byte) *controlpb.Delta {
	message := &controlpb.Delta{
		Base:    delta.base.Version(),
		Target:  delta.target.Version(),
		Payload: payload,
	}
	target := delta.target.Digest()
	message.TargetDigest = target[:]
	if base := delta.base.Digest(); base != emptyDigest {
		message.BaseDigest = base[:]
	}
	return message
}

var emptyDigest model.Digest = snapshot.Empty().Digest()

// finishAnswer gives the child a handle for the request that was just answered.
func (n *Node) finishAnswer(call watchCall, response *controlpb.WatchResponse) {
	if call.child == nil {
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if call.child.request == call.request {
		return
	}
	call.child.handle = rand.Uint64() | 1
	call.child.request = call.request
	response.Handle = call.child.handle
}
