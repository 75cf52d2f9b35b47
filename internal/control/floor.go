package control

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/topology"
)

// Timing and limits of learning the floor, the lowest version that a node may run.
const (
	floorBackoffBase    = 200 * time.Millisecond
	floorBackoffCeiling = 10 * time.Second
	// floorStoreTimeout bounds the read of the head that confirms a floor.
	floorStoreTimeout = 1500 * time.Millisecond
	// floorPeersAtATime is how many peers are queried at the same time.
	floorPeersAtATime = 16
	// floorPeersOfReader is how many nodes of its zone a restarted reader queries
	// in addition to the store, and floorWaitLimit how long it waits for them.
	floorPeersOfReader = 8
	floorWaitLimit     = 600 * time.Millisecond
	// In a zone of more than floorCompleteZone others, floorSample nodes are
	// queried first. The rest are queried only if at least
	// floorSampleAuthoritative of the answers are authoritative.
	floorSample              = 8
	floorCompleteZone        = 16
	floorSampleAuthoritative = 2
	// floorSpread bounds the random pause before peers are queried, whose limit
	// rises by floorSpreadPerPeer for each of them.
	floorSpread        = time.Second
	floorSpreadPerPeer = 10 * time.Millisecond
	// peersBackoffBase and peersBackoffCeiling bound the pause between two
	// rounds of querying peers; the store is queried more often.
	peersBackoffBase    = 400 * time.Millisecond
	peersBackoffCeiling = 20 * time.Second
)

const reasonStarting = "the node is starting: the lowest version that may be run is not known yet"

// Sources of a floor, as events name them.
const (
	floorFromStore = "store"
	floorFromPeers = "peers"
)

// floorState holds the reason why the floor is not known yet.
type floorState struct {
	reason string
}

// floorAnswer is a floor with the head that it comes from.
type floorAnswer struct {
	generation uint64
	committed  rollout.Version
	staged     rollout.Version
}

// runFloor learns the lowest version that this node may run.
func (n *Node) runFloor(ctx context.Context) {
	pauses := backoff{base: floorBackoffBase, ceiling: floorBackoffCeiling}
	peers := peerRounds{pauses: backoff{base: peersBackoffBase, ceiling: peersBackoffCeiling}}
	for ctx.Err() == nil {
		n.awaitPlace(ctx)
		if n.learnFloor(ctx, &peers) {
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

// peerRounds spaces the rounds of querying peers, and keeps the error of the
// last round.
type peerRounds struct {
	pauses backoff
	dueAt  time.Time
	err    error
}

func (r *peerRounds) ask(ctx context.Context, round func(context.Context) (floorAnswer, error)) (floorAnswer, error) {
	if now().Before(r.dueAt) {
		return floorAnswer{}, r.err
	}
	var answer floorAnswer
	answer, r.err = round(ctx)
	r.dueAt = now().Add(r.pauses.next())
	return answer, r.err
}

func (n *Node) learnFloor(ctx context.Context, peers *peerRounds) bool {
	answer, err := n.confirmedFloor(ctx)
	if err == nil {
		n.setFloor(answer.committed, floorFromStore)
		return true
	}
	answer, peersErr := peers.ask(ctx, n.floorOfPeers)
	if peersErr == nil {
		n.setFloor(answer.committed, floorFromPeers)
		return true
	}
	n.recordFloorMissing(fmt.Sprintf("the lowest version that may be run is not known: %s; %s", errorText(err), errorText(peersErr)))
	return false
}

func (n *Node) setFloor(version rollout.Version, source string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.events.FloorLearned(version, source)
	n.carryOut(n.participant.LearnFloor(version))
}

func (n *Node) recordFloorMissing(reason string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.floor.reason == reason {
		return
	}
	n.floor.reason = reason
	n.events.FloorMissing(reason)
	n.observers.wake()
}

// confirmedFloor reads the floor from the store, through the parents if there
// are any. Concurrent callers share one query.
func (n *Node) confirmedFloor(ctx context.Context) (floorAnswer, error) {
	return n.floorCalls.do(ctx, n.askFloor)
}

func (n *Node) askFloor() (floorAnswer, error) {
	n.mutex.Lock()
	parent, attached := n.upstream.parent, n.upstream.attached
	direct := n.versions != nil && (n.self.Reader || n.upstream.root)
	down := n.storeState.contacted && !n.storeState.reachable
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
	n.recordStoreResult(err)
	if err != nil {
		return floorAnswer{}, err
	}
	found := floorAnswer{generation: head.Generation, committed: head.Committed, staged: head.Proposed}
	found.committed = max(found.committed, n.committedElsewhere())
	return found, nil
}

// committedElsewhere returns the highest version known to be committed from
// sources other than the store, which may have lost it. A node that has no floor
// yet knows little itself and queries some others.
func (n *Node) committedElsewhere() rollout.Version {
	known := n.ownCommitted()
	if n.floorKnown() {
		return known
	}
	for _, answer := range n.askFloors(n.serving, n.floorPeers().limited(), floorWaitLimit) {
		known = max(known, answer.Committed)
	}
	return known
}

func (n *Node) floorKnown() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.participant.State().FloorKnown
}

func (n *Node) floorFromParent(parent topology.Peer) (floorAnswer, error) {
	ctx, cancel := context.WithTimeout(n.serving, n.config.CallTimeout)
	defer cancel()
	answer, err := n.callFloor(ctx, parent, &controlpb.FloorRequest{})
	if err != nil {
		return floorAnswer{}, err
	}
	if !answer.GetConfirmed() {
		return floorAnswer{}, ErrFloorUnknown.New("the parent could not query the store")
	}
	return floorAnswer{
		generation: answer.GetGeneration(),
		committed:  max(answer.GetCommitted(), n.ownCommitted()),
		staged:     answer.GetStaged(),
	}, nil
}

// floorOfPeers queries the other nodes of the zone and one node of each other
// zone. Their answers must meet the quorum. In a large zone a sample is queried
// first: where hardly any node of it is authoritative, a majority of the zone is
// not.
func (n *Node) floorOfPeers(ctx context.Context) (floorAnswer, error) {
	peers := n.floorPeers()
	sample, others := peers.split()
	n.pauseBeforeAsking(ctx, len(sample))
	answers := n.askFloors(ctx, sample, n.config.CallTimeout)
	if len(others) > 0 && countKnown(answers) >= floorSampleAuthoritative {
		n.pauseBeforeAsking(ctx, len(others))
		answers = append(answers, n.askFloors(ctx, others, n.config.CallTimeout)...)
	}
	decision := rollout.DecideFloor(peers.quorum, answers)
	if !decision.Decided {
		return floorAnswer{}, ErrFloorUnknown.New("%s", decision.Reason)
	}
	return floorAnswer{committed: decision.Floor}, nil
}

// pauseBeforeAsking waits a random time whose limit rises with the number of
// nodes to be queried.
func (n *Node) pauseBeforeAsking(ctx context.Context, asked int) {
	sleep(ctx, randomBelow(min(time.Duration(asked)*floorSpreadPerPeer, floorSpread)))
}

// countKnown counts the authoritative answers.
func countKnown(answers []rollout.FloorAnswer) int {
	count := 0
	for _, answer := range answers {
		if answer.Known {
			count++
		}
	}
	return count
}

// askFloors queries all peers, floorPeersAtATime at once, and returns their
// answers. Those that did not arrive in time are empty.
func (n *Node) askFloors(ctx context.Context, peers []topology.Peer, limit time.Duration) []rollout.FloorAnswer {
	var group errgroup.Group
	group.SetLimit(floorPeersAtATime)
	answers := make([]rollout.FloorAnswer, len(peers))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for index, peer := range peers {
		group.Go(func() error {
			contain.Run(contain.Task, partName, n.config.Panicked, func() { answers[index] = n.askPeerFloor(ctx, peer) })
			return nil
		})
	}
	_ = group.Wait()
	return answers
}

// askPeerFloor queries one peer. The answer is empty when the peer cannot be
// reached.
func (n *Node) askPeerFloor(ctx context.Context, peer topology.Peer) rollout.FloorAnswer {
	home := zoneOfRecord(&n.config.Self)
	answer, err := n.callFloor(ctx, peer, &controlpb.FloorRequest{
		Local:  true,
		Node:   n.config.Self.ID,
		Region: home.region,
		Zone:   home.zone,
	})
	if err != nil {
		return rollout.FloorAnswer{}
	}
	return rollout.FloorAnswer{
		SameZone:    zoneOfPeer(peer) == home,
		Zone:        zoneOfPeer(peer).String(),
		Known:       answer.GetKnown(),
		Committed:   answer.GetCommitted(),
		Staged:      answer.GetStaged(),
		ZoneMembers: int(answer.GetZoneMembers()),
		Zones:       int(answer.GetZones()),
	}
}

// callFloor queries one node and rejects the answer of any other.
func (n *Node) callFloor(ctx context.Context, peer topology.Peer, request *controlpb.FloorRequest) (*controlpb.FloorResponse, error) {
	answer, err := n.clients.floor(ctx, peer, request)
	if err != nil {
		return nil, err
	}
	if answer.GetNode() != peer.ID {
		return nil, ErrMalformed.New("floor request to %s was answered by %q", peer.ID, answer.GetNode())
	}
	return answer, nil
}
