package control

import "github.com/levertide/levertide/pkg/model"

// Events receives the events of a node. Methods are mostly called with the
// node's lock held: they must return quickly and must not call back into the node.
type Events interface {
	// FloorLearned reports the lowest version that the node may run, and from
	// which source it was learned.
	FloorLearned(version uint64, source string)
	// FloorMissing reports why a starting node may not run any version yet.
	FloorMissing(reason string)
	// VersionStaged reports that a version was built beside the one in force.
	VersionStaged(version uint64)
	// VersionRefused reports that this node refused a version.
	VersionRefused(version uint64, reason string)
	// VersionInForce reports that the node now runs a version.
	VersionInForce(version uint64, digest model.Digest)
	// VersionCommitted reports that this node, as coordinator, committed a
	// version, and how many live nodes had not reported that they hold it.
	VersionCommitted(version uint64, unresponsive uint32)
	// VersionAborted reports that this node, as coordinator, aborted a version.
	VersionAborted(version uint64, node, reason string)
	// ParentChanged reports that the node polls another parent; empty means none.
	ParentChanged(parent string)
	// RoleChanged reports the node's new role.
	RoleChanged(role Role)
	// MemberLost reports that this node has marked another one as lost: a child,
	// or, at the root, a member outside the tree.
	MemberLost(id string)
	// ReaderLeaseAcquired and ReaderLeaseLost report gain and loss of the right to
	// read the store.
	ReaderLeaseAcquired(slot int)
	ReaderLeaseLost(slot int)
	// StoreUnreachable reports that the store stopped answering, StoreReachable
	// that it answers again.
	StoreUnreachable(err error)
	StoreReachable()
	// StoreRegressed reports that the store returned an older head than one seen before.
	StoreRegressed(err error)
	// PeerRefused reports that a message of a peer was rejected.
	PeerRefused(peer, reason string)
	// Alarm reports a condition that needs an operator's attention.
	Alarm(text string)
}

// NoEvents ignores everything.
type NoEvents struct{}

var _ Events = NoEvents{}

// FloorLearned does nothing.
func (NoEvents) FloorLearned(uint64, string) {}

// FloorMissing does nothing.
func (NoEvents) FloorMissing(string) {}

// VersionStaged does nothing.
func (NoEvents) VersionStaged(uint64) {}

// VersionRefused does nothing.
func (NoEvents) VersionRefused(uint64, string) {}

// VersionInForce does nothing.
func (NoEvents) VersionInForce(uint64, model.Digest) {}

// VersionCommitted does nothing.
func (NoEvents) VersionCommitted(uint64, uint32) {}

// VersionAborted does nothing.
func (NoEvents) VersionAborted(uint64, string, string) {}

// ParentChanged does nothing.
func (NoEvents) ParentChanged(string) {}

// RoleChanged does nothing.
func (NoEvents) RoleChanged(Role) {}

// MemberLost does nothing.
func (NoEvents) MemberLost(string) {}

// ReaderLeaseAcquired does nothing.
func (NoEvents) ReaderLeaseAcquired(int) {}

// ReaderLeaseLost does nothing.
func (NoEvents) ReaderLeaseLost(int) {}

// StoreUnreachable does nothing.
func (NoEvents) StoreUnreachable(error) {}

// StoreReachable does nothing.
func (NoEvents) StoreReachable() {}

// StoreRegressed does nothing.
func (NoEvents) StoreRegressed(error) {}

// PeerRefused does nothing.
func (NoEvents) PeerRefused(string, string) {}

// Alarm does nothing.
func (NoEvents) Alarm(string) {}
