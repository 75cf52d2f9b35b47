package control

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/topology"
)

// Times and bounds of learning the floor.
const (
	floorBackoffBase    = 200 * time.Millisecond
	floorBackoffCeiling = 10 * time.Second
	// floorStoreTimeout bounds the read of the head that confirms a floor.
	floorStoreTimeout = 1500 * time.Millisecond
	// floorPeersAtATime is how many peers are asked at the same time.
	floorPeersAtATime = 8
	// floorOtherZones is how many nodes of other zones are asked at most.
	floorOtherZones = 6
)

const reasonStarting = "the node is starting: the lowest version that may be run is not known yet"

// Sources of a floor, as events name them.
const (
	floorFromStore = "store"
	floorFromPeers = "peers"
)

// floorState says why the floor is not known yet.
type floorState struct {
	reason string
}

// floorAnswer is a floor and where it comes from.
type floorAnswer struct {
	generation uint64
	committed  rollout.Version
	staged     rollout.Version
}

// runFloor learns from which version on this node may run.
func (n *Node) runFloor(ctx context.Context) {
	pauses := backoff{base: floorBackoffBase, ceiling: floorBackoffCeiling}
	for ctx.Err() == nil {
		n.awaitPlace(ctx)
		if n.learnFloor(ctx) {
			return
		}
		sleep(ctx, floorBackoffBase/2+pauses.next())
	}
}

// awaitPlace waits until the node has a parent or knows that there is none.
func (n *Node) awaitPlace(ctx context.Context) {
	for ctx.Err() == nil {
		changed := n.observers.wait()
		if n.hasPlace() {
			return
		}
		waitFor(ctx, changed, floorBackoffBase)
	}
}

func (n *Node) hasPlace() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.upstream.attached || n.upstream.root
}

func (n *Node) learnFloor(ctx context.Context) bool {
	answer, err := n.confirmedFloor(ctx)
	if err == nil {
		n.setFloor(answer.committed, floorFromStore)
		return true
	}
	answer, peersErr := n.floorOfPeers(ctx)
	if peersErr == nil {
		n.setFloor(answer.committed, floorFromPeers)
		return true
	}
	n.missFloor(fmt.Sprintf("the lowest version that may be run is not known: %s; %s", plain(err), plain(peersErr)))
	return false
}

func (n *Node) setFloor(version rollout.Version, source string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.events.FloorLearned(version, source)
	n.carryOut(n.participant.LearnFloor(version))
}

func (n *Node) missFloor(reason string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.floor.reason == reason {
		return
	}
	n.floor.reason = reason
	n.events.FloorMissing(reason)
	n.observers.wake()
}

// confirmedFloor asks the store, by way of the parents if there are any. All
// who ask at the same time share one question.
func (n *Node) confirmedFloor(ctx context.Context) (floorAnswer, error) {
	return n.floorCalls.do(ctx, n.askFloor)
}

func (n *Node) askFloor() (floorAnswer, error) {
	n.mutex.Lock()
	parent, attached := n.upstream.parent, n.upstream.attached
	direct := n.versions != nil && (n.self.Reader || n.upstream.root)
	down := n.storeState.asked && !n.storeState.reachable
	n.mutex.Unlock()
	switch {
	case direct && !(down && attached):
		return n.floorFromStore()
	case attached:
		return n.floorFromParent(parent)
	default:
		return floorAnswer{}, ErrNoStore.New("neither the store nor a parent can be reached")
	}
}

func (n *Node) floorFromStore() (floorAnswer, error) {
	ctx, cancel := context.WithTimeout(n.serving, floorStoreTimeout)
	defer cancel()
	head, _, err := n.versions.ReadHead(ctx, true)
	n.noteStore(err)
	if err != nil {
		return floorAnswer{}, err
	}
	return floorAnswer{generation: head.Generation, committed: head.Committed, staged: head.Proposed}, nil
}

func (n *Node) floorFromParent(parent topology.Peer) (floorAnswer, error) {
	ctx, cancel := context.WithTimeout(n.serving, n.config.CallTimeout)
	defer cancel()
	answer, err := n.clients.floor(ctx, parent, &controlpb.FloorRequest{})
	if err != nil {
		return floorAnswer{}, err
	}
	if !answer.GetConfirmed() {
		return floorAnswer{}, ErrFloorUnknown.New("the parent could not ask the store")
	}
	return floorAnswer{
		generation: answer.GetGeneration(),
		committed:  answer.GetCommitted(),
		staged:     answer.GetStaged(),
	}, nil
}

// floorOfPeers asks the other nodes of the zone, and some of other zones. What
// they know must leave no doubt.
func (n *Node) floorOfPeers(ctx context.Context) (floorAnswer, error) {
	own, others := n.floorPeers()
	quorum := rollout.FloorQuorum{ZoneMembers: len(own), OtherZones: len(others) > 0}
	answers := n.askFloors(ctx, append(own, others...))
	decision := rollout.DecideFloor(quorum, answers)
	if !decision.Decided {
		return floorAnswer{}, ErrFloorUnknown.New("%s", decision.Reason)
	}
	return floorAnswer{committed: decision.Floor}, nil
}

// floorPeers lists the other nodes of the zone, and some of other zones.
func (n *Node) floorPeers() (own, others []topology.Peer) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for record := range n.table.View().All() {
		if record.ID == n.self.ID || record.State == membership.StateLost {
			continue
		}
		if record.Zone == n.self.Zone && record.Region == n.self.Region {
			own = append(own, peerOf(record))
		} else {
			others = append(others, peerOf(record))
		}
	}
	for id, hint := range n.plan.hints {
		if _, known := n.table.Get(id); !known && hint.Zone == n.self.Zone && hint.Region == n.self.Region {
			own = append(own, hint)
		}
	}
	shuffle(others)
	return own, others[:min(len(others), floorOtherZones)]
}

// askFloors asks all peers, a few at a time.
func (n *Node) askFloors(ctx context.Context, peers []topology.Peer) []rollout.FloorAnswer {
	var group errgroup.Group
	group.SetLimit(floorPeersAtATime)
	answers := make([]rollout.FloorAnswer, len(peers))
	ctx, cancel := context.WithTimeout(ctx, n.config.CallTimeout)
	defer cancel()
	for index, peer := range peers {
		group.Go(func() error {
			answers[index] = n.askPeerFloor(ctx, peer)
			return nil
		})
	}
	_ = group.Wait()
	return answers
}

// askPeerFloor returns an answer that counts for nothing when the peer cannot
// be reached or does not know.
func (n *Node) askPeerFloor(ctx context.Context, peer topology.Peer) rollout.FloorAnswer {
	answer, err := n.clients.floor(ctx, peer, &controlpb.FloorRequest{Local: true})
	if err != nil {
		return rollout.FloorAnswer{}
	}
	return rollout.FloorAnswer{
		SameZone:  peer.Zone == n.config.Self.Zone && peer.Region == n.config.Self.Region,
		Known:     answer.GetKnown(),
		Committed: answer.GetCommitted(),
		Staged:    answer.GetStaged(),
	}
}
