package sim

import (
	"context"
	"time"

	"github.com/levertide/levertide/pkg/rollout"
)

// Times of the search for the floor.
const (
	floorRound     = 2 * time.Second
	floorPatience  = 600 * time.Millisecond
	floorElsewhere = 2
)

// floorSearch is a started node's search for the lowest version it may run.
type floorSearch struct {
	round   uint64
	since   time.Duration
	asked   int
	answers []rollout.FloorAnswer
	quorum  rollout.FloorQuorum
	running bool
}

// searchFloor asks the store and other nodes until the floor is known.
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
	if now-a.floor.since >= floorPatience || len(a.floor.answers) == a.floor.asked {
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
	a.floor.asked++
	a.confirmFloor(0, take)
	elsewhere := 0
	for _, record := range a.table.View().Live() {
		sameZone := record.Zone == a.node.zone
		if record.ID == a.node.id || (!sameZone && elsewhere == floorElsewhere) {
			continue
		}
		if sameZone {
			a.floor.quorum.ZoneMembers++
		} else {
			elsewhere++
			a.floor.quorum.OtherZones = true
		}
		a.askFloor(a.world.byID[record.ID], sameZone, take)
	}
}

// askFloor asks a node for what it knows itself.
func (a *agent) askFloor(peer *node, sameZone bool, take func(rollout.FloorAnswer)) {
	a.floor.asked++
	a.world.network.call(a.node, peer, "floor", callTimeout,
		func(answer func(any)) { answer(peer.agent.ownFloor(a.node)) },
		func(reply any, err error) {
			if err != nil {
				return
			}
			known := reply.(rollout.FloorAnswer)
			known.SameZone = sameZone
			take(known)
		})
}

// ownFloor is what this node knows without the store, and of the zone of the
// node that asks.
func (a *agent) ownFloor(asking *node) rollout.FloorAnswer {
	state := a.participant.State()
	answer := rollout.FloorAnswer{
		Known:     state.FloorKnown && state.HeadKnown,
		Committed: max(state.Head.Committed, state.Floor),
		Staged:    state.Head.Proposed,
	}
	for _, record := range a.table.View().ByZone(asking.zone) {
		if record.ID != asking.id {
			answer.ZoneMembers++
		}
	}
	if state.InForce != nil {
		answer.Committed = max(answer.Committed, state.InForce.Version())
	}
	return answer
}

// maximumForwards bounds how often the question is passed up the tree.
const maximumForwards = 8

// confirmFloor has the store read after this moment, here or by a node above.
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
	a.world.oracle.observeFloor(a, decision.Floor)
	a.act(a.participant.LearnFloor(decision.Floor))
}
