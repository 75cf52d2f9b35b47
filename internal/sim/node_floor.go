package sim

import (
	"context"
	"time"

	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/topology"
)

// Times of the search for the floor: a round is repeated after floorRound, and the
// decision waits at most floorWaitLimit for answers.
const (
	floorRound     = 2 * time.Second
	floorWaitLimit = 600 * time.Millisecond
)

// floorSearch is the search of a node that has just started for the lowest version
// that it may run.
type floorSearch struct {
	round     uint64
	since     time.Duration
	requested int
	answers   []rollout.FloorAnswer
	quorum    rollout.FloorQuorum
	running   bool
}

// searchFloor queries the store and other nodes until the floor is known.
func (a *agent) searchFloor() {
	if a.participant.State().FloorKnown {
		return
	}
	if a.world.options.Seams.NoFloor {
		a.act(a.participant.LearnFloor(0))
		return
	}
	now := a.world.scheduler.now
	if !a.floor.running || now-a.floor.since > floorRound {
		a.startFloorRound()
		return
	}
	if now-a.floor.since >= floorWaitLimit || len(a.floor.answers) == a.floor.requested {
		a.decideFloor()
	}
}

func (a *agent) startFloorRound() {
	a.floor = floorSearch{round: a.floor.round + 1, since: a.world.scheduler.now, running: true}
	round := a.floor.round
	take := func(answer rollout.FloorAnswer) {
		if a.floor.round == round {
			a.floor.answers = append(a.floor.answers, answer)
		}
	}
	a.floor.requested++
	a.confirmFloor(0, take)
	a.floor.quorum.ZoneMembers, a.floor.quorum.Zones = a.countOtherMembers(a.node)
	for record := range a.table.View().All() {
		if record.Zone == a.node.zone && record.ID != a.node.id {
			a.requestFloor(a.world.byID[record.ID], take)
		}
	}
	for _, relay := range a.relaysElsewhere() {
		a.requestFloor(a.world.byID[relay.ID], take)
	}
}

// countOtherMembers counts the members of the requester's zone without itself, and
// the other zones, as far as this node knows of them, lost members included.
func (a *agent) countOtherMembers(requester *node) (members, zones int) {
	seen := make(map[string]bool)
	for record := range a.table.View().All() {
		switch {
		case record.Zone != requester.zone:
			seen[record.Zone] = true
		case record.ID != requester.id:
			members++
		}
	}
	return members, len(seen)
}

// relaysElsewhere lists one node of each other zone: its relay, or any of its
// members if all of them are recorded as lost.
func (a *agent) relaysElsewhere() []topology.Peer {
	var relays []topology.Peer
	for _, zone := range a.world.zones {
		var relay, lost topology.Peer
		for record := range a.table.View().All() {
			switch {
			case record.Zone != zone || zone == a.node.zone:
			case record.State != membership.StateLive:
				lost = peerOf(record)
			case relay.ID == "" || topology.KeyOf(peerOf(record)).Compare(topology.KeyOf(relay)) < 0:
				relay = peerOf(record)
			}
		}
		if relay.ID == "" {
			relay = lost
		}
		if relay.ID != "" {
			relays = append(relays, relay)
		}
	}
	return relays
}

// requestFloor requests the answer of another node.
func (a *agent) requestFloor(peer *node, take func(rollout.FloorAnswer)) {
	a.floor.requested++
	a.world.network.call(a.node, peer, "floor", callTimeout,
		func(answer func(any)) { answer(peer.agent.ownFloor(a.node)) },
		func(reply any, err error) {
			if err != nil {
				return
			}
			known := reply.(rollout.FloorAnswer)
			known.SameZone = peer.zone == a.node.zone
			known.Zone = peer.zone
			take(known)
		})
}

// ownFloor is what this node knows about the floor without reading the store, with
// its counts of members for the zone of the requester.
func (a *agent) ownFloor(requester *node) rollout.FloorAnswer {
	state := a.participant.State()
	below := a.readiness()
	answer := rollout.FloorAnswer{
		Known:     state.FloorKnown && state.HeadKnown,
		Committed: max(state.Head.Committed, state.Floor, below.Committed, a.reported.committed),
		Staged:    max(state.Head.Proposed, below.Proposed, a.reported.proposed),
	}
	answer.ZoneMembers, answer.Zones = a.countOtherMembers(requester)
	if state.InForce != nil {
		answer.Committed = max(answer.Committed, state.InForce.Version())
	}
	return answer
}

// maximumForwards bounds how often a request to confirm the floor is forwarded up
// the tree.
const maximumForwards = 8

// confirmFloor reads the committed version from the store, here if this node holds
// a lease, or else at a node further up the tree. The read begins after the call.
func (a *agent) confirmFloor(forwards int, take func(rollout.FloorAnswer)) {
	switch {
	case a.reader.holdsLease():
		a.readFloor(take)
	case a.upstream.parent != nil && forwards < maximumForwards:
		parent := a.upstream.parent
		a.world.network.call(a.node, parent, "confirm floor", callTimeout,
			func(answer func(any)) {
				parent.agent.confirmFloor(forwards+1, func(found rollout.FloorAnswer) { answer(found) })
			},
			func(reply any, err error) {
				if err == nil {
					take(reply.(rollout.FloorAnswer))
				}
			})
	}
}

func (a *agent) readFloor(take func(rollout.FloorAnswer)) {
	a.process.store.run("floor", func(ctx context.Context) func() {
		head, _, err := a.reader.versions.ReadHead(ctx, true)
		return func() {
			if err == nil {
				take(rollout.FloorAnswer{Confirmed: true, Committed: head.Committed})
			}
		}
	})
}

func (a *agent) decideFloor() {
	decision := rollout.DecideFloor(a.floor.quorum, a.floor.answers)
	if !decision.Decided {
		return
	}
	a.world.log("%s decides its floor by answers %+v and quorum %+v", a.node.id, a.floor.answers, a.floor.quorum)
	a.world.oracle.observeFloor(a, decision.Floor)
	a.act(a.participant.LearnFloor(decision.Floor))
}
