package control

import "github.com/levertide/levertide/pkg/model"

// Events is told what happens inside a node. Methods are mostly called with the
// node's lock held: they must return soon and must not call back into the node.
type Events interface {
	// FloorLearned tells from which version on the node may run and who said so.
	FloorLearned(version uint64, source string)
	// FloorMissing tells why a starting node may not run anything yet.
	FloorMissing(reason string)
	// VersionStaged tells that a version stands ready beside the one in force.
	VersionStaged(version uint64)
	// VersionRefused tells that this node refused a version.
	VersionRefused(version uint64, reason string)
	// VersionInForce tells that the node runs a version from now on.
	VersionInForce(version uint64, digest model.Digest)
	// unresponsive tells that this node, as coordinator, committed a
	// version, and how many live nodes had not reported that they hold it.
	VersionCommitted(version uint64, unresponsive uint32)
	// VersionAborted tells that this node, as coordinator, aborted a version.
	VersionAborted(version uint64, node, reason string)
	// ParentChanged tells that the node pulls from another parent; empty means none.
	ParentChanged(parent string)
	// RoleChanged tells what part the node now has.
	RoleChanged(role Role)
	// MemberLost tells that a node which this one is parent of is lost.
	MemberLost(id string)
	// ReaderLeaseAcquired and ReaderLeaseLost tell of the right to read the store.
	ReaderLeaseAcquired(slot int)
	ReaderLeaseLost(slot int)
	// StoreUnreachable tells that the store stopped answering, StoreReachable
	// that it answers again.
	StoreUnreachable(err error)
	StoreReachable()
	// StoreRegressed tells that the store shows an older head than one seen before.
	StoreRegressed(err error)
	// PeerRefused tells that a request of a peer was turned away.
	PeerRefused(peer, reason string)
	// Alarm tells of something that an operator has to look at.
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

// unresponsive does nothing.
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
