package sim

import (
	"slices"
	"time"

	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/snapshot"
	"github.com/levertide/levertide/pkg/topology"
)

// upstream is a node's relation to its parent.
type upstream struct {
	parent *node
	// parentIncarnation and cursor name a position in the parent's table.
	parentIncarnation uint64
	cursor            uint64
	// attached is the attachment number under which the node attached to the parent.
	attached uint64
	path     []string
	watching bool
	// generation distinguishes the answers of this parent from those of a previous one.
	generation     uint64
	reportSequence uint64
	reported       uint64
	dirty          bool
}

func (u *upstream) drop() {
	u.parent = nil
	u.path = nil
	u.watching = false
	u.generation++
}

// heldVersion is a snapshot that a delta may start from.
type heldVersion struct {
	version rollout.Version
	digest  model.Digest
}

type watchRequest struct {
	self              membership.Record
	scope             snapshot.Scope
	generation        uint64
	held              []heldVersion
	requested         []rollout.Version
	parentIncarnation uint64
	cursor            uint64
}

// encodedDelta is a delta as it is sent over the network.
type encodedDelta struct {
	header  snapshot.Delta
	payload []byte
}

type watchReply struct {
	head        rollout.Head
	headKnown   bool
	deltas      []encodedDelta
	members     []membership.Record
	incarnation uint64
	cursor      uint64
	path        []string
	reads       bool
}

// maintainWatch chooses a parent if there is none, and watches it.
func (a *agent) maintainWatch() {
	if a.upstream.parent != nil && !a.isParent(a.upstream.parent.id) {
		a.upstream.drop()
	}
	if a.upstream.parent == nil {
		a.chooseParent()
	}
	if a.upstream.parent != nil && !a.upstream.watching {
		a.watch()
	}
}

// isParent reports whether the plan still lists a node as a possible parent.
func (a *agent) isParent(id string) bool {
	return slices.ContainsFunc(a.plan.Parents, func(peer topology.Peer) bool { return peer.ID == id })
}

func (a *agent) chooseParent() {
	if len(a.plan.Parents) == 0 {
		return
	}
	a.upstream.parent = a.world.byID[a.plan.Parents[0].ID]
	a.upstream.cursor = 0
	a.upstream.reported = 0
	a.announce(a.self.Attach())
	a.upstream.attached = a.self.Attachment
}

func (a *agent) watch() {
	parent := a.upstream.parent
	state := a.participant.State()
	request := watchRequest{
		self: a.self, scope: a.scope(), generation: state.Head.Generation,
		held: a.held(state), requested: a.missing(),
		parentIncarnation: a.upstream.parentIncarnation, cursor: a.upstream.cursor,
	}
	generation := a.upstream.generation
	a.upstream.watching = true
	a.world.network.call(a.node, parent, "watch", watchHold+callTimeout,
		func(answer func(any)) { parent.agent.serveWatch(request, answer) },
		func(reply any, err error) {
			if a.upstream.generation != generation {
				return
			}
			a.upstream.watching = false
			if err != nil {
				a.parentFailed(parent)
				return
			}
			a.handleReply(parent, request, reply.(watchReply))
		})
}

// held lists the snapshots that a delta may start from.
func (a *agent) held(state rollout.ParticipantState) []heldVersion {
	var versions []heldVersion
	for _, s := range []*snapshot.Snapshot{state.InForce, state.Staged} {
		if s != nil {
			versions = append(versions, heldVersion{s.Version(), s.Digest()})
		}
	}
	return versions
}

func (a *agent) parentFailed(parent *node) {
	a.suspects[parent.id] = a.world.scheduler.now + suspectFor
	if record, found := a.table.Get(parent.id); found && record.State == membership.StateLive {
		a.unreachable[parent.id] = unreachableNode{record: record, since: a.world.scheduler.now}
	}
	a.upstream.drop()
	a.replan()
	a.maintainWatch()
}

// checkUnreachable records a former parent as lost that has not attached again
// within suspectFor.
func (a *agent) checkUnreachable() {
	for _, id := range sortedKeys(a.unreachable) {
		missing := a.unreachable[id]
		record, found := a.table.Get(id)
		if !found || record.Supersedes(missing.record) {
			delete(a.unreachable, id)
			continue
		}
		if a.world.scheduler.now-missing.since > suspectFor {
			a.table.Merge(record.With(membership.StateLost))
			delete(a.unreachable, id)
			a.changed()
		}
	}
}

// handleReply processes an answer of the parent and watches again. It leaves the
// parent when the path shows a loop through this node, or when the parent must be a
// reader and is none.
func (a *agent) handleReply(parent *node, request watchRequest, reply watchReply) {
	inLoop := slices.Contains(reply.path, a.node.id)
	notReader := a.plan.MustBeReader(parent.id) && !reply.reads
	if inLoop || notReader {
		a.world.faults.count("parent left")
		a.suspects[parent.id] = a.world.scheduler.now + suspectFor
		a.upstream.drop()
		return
	}
	a.upstream.path = reply.path
	a.upstream.parentIncarnation, a.upstream.cursor = reply.incarnation, reply.cursor
	generation := a.upstream.generation
	a.learn(reply.members)
	for _, version := range request.requested {
		if !slices.ContainsFunc(reply.deltas, func(d encodedDelta) bool { return d.header.Target == version }) {
			a.participant.FetchFailed(version)
		}
	}
	if reply.headKnown {
		a.observeHead(reply.head)
	}
	for _, delta := range reply.deltas {
		a.applyDelta(delta, request.scope)
	}
	if a.upstream.generation == generation && a.upstream.parent == parent {
		a.process.after(inZoneDelay, "watch again", a.watchAgain)
	}
}

func (a *agent) watchAgain() {
	if a.upstream.parent != nil && !a.upstream.watching {
		a.watch()
	}
}

func (a *agent) applyDelta(message encodedDelta, scope snapshot.Scope) {
	delta, err := snapshot.DecodeDelta(message.header, message.payload)
	if err != nil {
		a.world.oracle.violate(InvariantDelta, a.node.id, err.Error())
		return
	}
	received, err := delta.Apply(a.base(delta))
	if err != nil {
		a.participant.FetchFailed(delta.Target)
		return
	}
	a.receive(received, scope.All)
}

// base returns the snapshot that a delta starts from if it is still held, and the
// empty snapshot otherwise.
func (a *agent) base(delta snapshot.Delta) *snapshot.Snapshot {
	state := a.participant.State()
	for _, s := range []*snapshot.Snapshot{state.InForce, state.Staged} {
		if s != nil && s.Version() == delta.Base && s.Digest() == delta.BaseDigest {
			return s
		}
	}
	return snapshot.Empty()
}

// child is a node that has attached to this one.
type child struct {
	incarnation    uint64
	attachment     uint64
	heardAt        time.Duration
	reportSequence uint64
	readiness      rollout.Readiness
	// parked is a watch that waits for updates; nil when there is none.
	parked *parkedWatch
}

type parkedWatch struct {
	request watchRequest
	answer  func(any)
	until   time.Duration
}

// serveWatch answers the watch of a child at once if there are updates, and
// otherwise parks it until there are, for at most watchHold.
func (a *agent) serveWatch(request watchRequest, answer func(any)) {
	a.learn([]membership.Record{request.self})
	known := a.children[request.self.ID]
	if known == nil || known.attachment != request.self.Attachment || known.incarnation != request.self.Incarnation {
		known = &child{incarnation: request.self.Incarnation, attachment: request.self.Attachment}
		a.children[request.self.ID] = known
		a.changed()
	}
	known.heardAt = a.world.scheduler.now
	known.parked = &parkedWatch{request: request, answer: answer, until: a.world.scheduler.now + watchHold}
	a.answerParked(known, false)
}

// wakeChildren answers the parked watches for which there are updates now.
func (a *agent) wakeChildren() {
	for _, id := range sortedKeys(a.children) {
		a.answerParked(a.children[id], false)
	}
}

func (a *agent) answerParked(c *child, evenWithoutUpdates bool) {
	if c.parked == nil {
		return
	}
	reply, hasUpdates := a.replyTo(c.parked.request)
	if !hasUpdates && !evenWithoutUpdates {
		return
	}
	answer := c.parked.answer
	c.parked = nil
	answer(reply)
}

func (a *agent) replyTo(request watchRequest) (reply watchReply, hasUpdates bool) {
	state := a.participant.State()
	cursor := request.cursor
	if request.parentIncarnation != a.node.incarnation {
		cursor = 0
	}
	reply = watchReply{
		head: state.Head, headKnown: state.HeadKnown, incarnation: a.node.incarnation,
		path: append([]string{a.node.id}, a.upstream.path...), reads: a.reader.holdsLease(),
	}
	reply.members, reply.cursor = a.table.Since(cursor)
	for _, version := range request.requested {
		if delta, found := a.deltaFor(request, version); found {
			reply.deltas = append(reply.deltas, delta)
		}
	}
	hasUpdates = len(reply.members) > 0 || len(reply.deltas) > 0 || state.Head.Generation > request.generation
	return reply, hasUpdates
}

// deltaFor encodes the difference between a snapshot that a child holds and the
// given version.
func (a *agent) deltaFor(request watchRequest, version rollout.Version) (encodedDelta, bool) {
	target, found := a.history.Get(version)
	if !found {
		return encodedDelta{}, false
	}
	base := snapshot.Empty()
	for _, held := range request.held {
		complete, known := a.history.Get(held.version)
		if !known {
			continue
		}
		if restricted := complete.Restrict(request.scope); restricted.Digest() == held.digest {
			base = restricted
		}
	}
	delta := snapshot.Diff(base, target.Restrict(request.scope))
	payload, err := delta.Encode()
	if err != nil {
		a.world.oracle.violate(InvariantDelta, a.node.id, err.Error())
		return encodedDelta{}, false
	}
	delta.Upserts, delta.Removed = nil, nil
	return encodedDelta{header: delta, payload: payload}, true
}
