package hosted

import (
	"time"

	"github.com/levertide/levertide/pkg/canary"
	"github.com/levertide/levertide/pkg/quarantine"
	"github.com/levertide/levertide/pkg/workers"
)

// Events is told what the agent learns and believes.
type Events interface {
	// DocumentRejected tells that a document cannot be used.
	DocumentRejected(revision uint64, err error)
	// DocumentPassedOver tells that the store holds, under a revision, an older version than
	// this node.
	DocumentPassedOver(version, held, revision uint64)
	// ReaderRoleChanged tells that this node reads the store for all, or no longer.
	ReaderRoleChanged(reads bool)
	// StoreReachable and StoreUnreachable tell of the store.
	StoreReachable()
	StoreUnreachable(err error)
	// StoreRestored tells that the store came back from a copy into an era, and what this
	// node has seen of it itself.
	StoreRestored(era uint64, seen Era)
	// EntryRestored tells that the entry of this node was written again after that, with so
	// many promises.
	EntryRestored(era uint64, promised int)
	// NodeLost and NodeFound tell that another node cannot be reached, and that
	// it can again.
	NodeLost(id string, err error)
	NodeFound(id string)
	// RecallFailed tells that the hub of the zone did not tell this node what the store
	// holds of its former lives.
	RecallFailed(id string, err error)
	// WorkerChanged tells of a worker beside this node.
	WorkerChanged(worker workers.Worker, cause string)
	// HeartbeatRejected tells that a call to the address for workers cannot be used.
	HeartbeatRejected(instance string, err error)
	// EntryRejected tells that an entry in the store is no node's.
	EntryRejected(id string)
	// DrainCommitmentHeld tells how many nodes hold a promise when it is acknowledged, and
	// whether the store does.
	DrainCommitmentHeld(instance string, holders int, stored bool)
	// PreviousIncarnationFound tells that a record of a former life was found.
	PreviousIncarnationFound(incarnation uint64, promised int)
	// RequestQuarantined tells that a request is taken for one that crashes workers, and
	// on whose word.
	RequestQuarantined(verdict quarantine.Verdict, source string)
	// QuarantineEnded tells that a request may be run again, and why.
	QuarantineEnded(request quarantine.Fingerprint, reason string)
	// RolloutOrdered tells of an order of the operators that the store has told.
	RolloutOrdered(service, target string, duration time.Duration)
	// RolloutDecided tells a decision of this node as coordinator: the share of the
	// target from now on, why it was rolled back, and what the target has run.
	RolloutDecided(service, target string, state canary.State, share float64, reason string, ran, failed float64)
}
