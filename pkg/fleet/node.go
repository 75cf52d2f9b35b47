package fleet

import (
	"math/bits"
	"net/netip"

	"github.com/levertide/levertide/pkg/quarantine"
	"github.com/levertide/levertide/pkg/workers"
)

// State is the stage of its life cycle that a node reports.
type State uint8

// The states of a node, in the order in which it passes through them.
const (
	StateLive State = iota + 1
	// StateLeaving: the node finishes its calls and accepts none from other nodes.
	StateLeaving
	// StateLeft: the node has shut down as planned.
	StateLeft
)

// Node is the record that one node writes about itself. A published record is
// never changed.
type Node struct {
	ID string
	// Incarnation rises with each start of the process, Sequence with each
	// change within one incarnation.
	Incarnation, Sequence uint64
	Region, Zone          string
	// ControlAddress takes control messages, CallAddress takes calls.
	ControlAddress, CallAddress netip.AddrPort
	State                       State
	// ReadsStore is set if the node reaches the store and may read it for others.
	ReadsStore bool
	// Capacity is the capacity of the machine relative to others; zero when it is
	// not known.
	Capacity int
	// Workers are the workers that the node confirms, including those to which it has
	// committed to send no new work.
	Workers []workers.Worker
	// Rollouts are the moves of services to other versions that the node knows and by
	// which it routes requests.
	Rollouts []Rollout
	// Quarantined are the requests that the node has seen crash workers and that no node
	// runs any more.
	Quarantined []quarantine.Verdict
	// StoreEra is the highest era of the store whose beginning the node has observed; zero
	// when it has observed none.
	StoreEra uint64
}

// maximumIncarnation bounds incarnations, which are times in nanoseconds since 1970: it is that of the
// year 2100. The record of another writer with a later one could not be outranked for good.
const maximumIncarnation = 4_102_444_800_000_000_000

// IncarnationInRange reports whether the incarnation leaves room for the next ones of the node, which
// must outrank the record.
func (n Node) IncarnationInRange() bool { return n.Incarnation <= maximumIncarnation }

// FirstSequence is the sequence with which nodes begin their records. Those of records that are not
// from nodes are below.
const FirstSequence = 1 << 32

// AsListed returns the record as it is taken from a list that other programs may write, too: whatever
// a node tells of itself in the same incarnation is newer. Listed records keep their order.
func (n Node) AsListed() Node {
	if n.Sequence >= FirstSequence {
		n.Sequence = min(n.Sequence-FirstSequence, FirstSequence-1)
	}
	return n
}

// NewerThan reports whether the record replaces another one of the same node.
func (n Node) NewerThan(other Node) bool {
	if n.Incarnation != other.Incarnation {
		return n.Incarnation > other.Incarnation
	}
	return n.Sequence > other.Sequence
}

// capacityClass groups nodes by capacity, so that only a difference of about a factor of two
// counts.
func (n *Node) capacityClass() int { return bits.Len(uint(max(n.Capacity, 0))) }

// Serves returns the node's worker that can take requests of the service, if it
// has one.
func (n Node) Serves(service string) (workers.Worker, bool) {
	if n.State != StateLive {
		return workers.Worker{}, false
	}
	for _, worker := range n.Workers {
		if worker.Service == service && worker.State == workers.StateReady {
			return worker, true
		}
	}
	return workers.Worker{}, false
}
