package hosted

import (
	"net/netip"
	"time"

	"github.com/levertide/levertide/pkg/canary"
	"github.com/levertide/levertide/pkg/quarantine"
	"github.com/levertide/levertide/pkg/workers"
)

// Events receives the agent's observations and changes of state.
type Events interface {
	// DocumentRejected reports that a document cannot be used.
	DocumentRejected(revision uint64, err error)
	// DocumentPassedOver reports that the store holds, under a revision, an older version than this
	// node.
	DocumentPassedOver(version, held, revision uint64)
	// ReaderRoleChanged reports whether this node now reads the store on behalf of all nodes.
	ReaderRoleChanged(reads bool)
	// StoreReachable and StoreUnreachable report whether this node reaches the store.
	StoreReachable()
	StoreUnreachable(err error)
	// StoreRestored reports that the store was restored from a copy, into the given era, and what
	// this node has seen of that itself.
	StoreRestored(era uint64, seen Era)
	// EntryRestored reports that the entry of this node was written again after a restore, with the
	// given number of drain commitments.
	EntryRestored(era uint64, commitments int)
	// NodeLost and NodeFound report that another node cannot be reached, and that it can be reached
	// again.
	NodeLost(id string, err error)
	NodeFound(id string)
	// NodeReplaced reports that a node has ended and another one has its address.
	NodeReplaced(id string, address netip.AddrPort)
	// PartFailed reports that a part of the agent has ended and is started again.
	PartFailed(part, reason string)
	// RecallFailed reports that the hub of the zone did not return the store's entry of this node,
	// which names its previous incarnations' commitments.
	RecallFailed(id string, err error)
	// WorkerChanged reports a change of a worker beside this node.
	WorkerChanged(worker workers.Worker, cause string)
	// HeartbeatRejected reports invalid calls to the address for workers.
	HeartbeatRejected(refusal Refusal)
	// WorkerCallIgnored reports a heartbeat or a leave that had no effect, and the registration that
	// stayed; a leave is one that says it drains.
	WorkerCallIgnored(call workers.Heartbeat, change workers.Change)
	// EntryRejected reports an entry in the store that was not written by a node, why, and how many
	// there were since the last report, with this one.
	EntryRejected(id string, err error, entries uint64)
	// RecordUnencodable reports that the record of this node cannot be written to the store.
	RecordUnencodable(err error)
	// DrainCommitmentHeld reports how many nodes hold a drain commitment when it is acknowledged,
	// and whether the store does.
	DrainCommitmentHeld(instance string, holders int, stored bool)
	// PreviousIncarnationFound reports that a record of a previous incarnation was found.
	PreviousIncarnationFound(incarnation uint64, commitments int)
	// RequestQuarantined reports that a request is taken to crash workers, and by which source.
	RequestQuarantined(verdict quarantine.Verdict, source string)
	// QuarantineEnded reports that a request may be run again, and why.
	QuarantineEnded(request quarantine.Fingerprint, reason string)
	// RolloutOrdered reports an order of the operators that the store has returned.
	RolloutOrdered(service, target string, duration time.Duration)
	// RolloutDecided reports a decision of this node as coordinator: the share of the target from
	// now on, why it was rolled back, and what the target has run.
	RolloutDecided(service, target string, state canary.State, share float64, reason string, ran, failed float64)
}
