package telemetry

import (
	"github.com/levertide/levertide/internal/control"
	"github.com/levertide/levertide/pkg/model"
)

var _ control.Events = (*Log)(nil)

// FloorLearned records the lowest version that the process may run.
func (l *Log) FloorLearned(version uint64, source string) {
	end(l.begin(eventFloorLearned).Uint64(fieldVersion, version).Str("source", source))
}

// FloorMissing records why the process may not run anything yet.
func (l *Log) FloorMissing(reason string) { end(l.begin(eventFloorMissing).Str(fieldReason, reason)) }

// VersionStaged records that a version is built beside the one in force.
func (l *Log) VersionStaged(version uint64) {
	end(l.begin(eventVersionStaged).Uint64(fieldVersion, version))
}

// VersionRefused records why this node cannot run a proposed version.
func (l *Log) VersionRefused(version uint64, reason string) {
	end(l.begin(eventVersionRefused).Uint64(fieldVersion, version).Str(fieldReason, reason))
}

// VersionInForce records that a version is in force, with the digest of the node's copy of it.
func (l *Log) VersionInForce(version uint64, digest model.Digest) {
	end(l.begin(eventVersionInForce).Uint64(fieldVersion, version).Str(fieldDigest, digest.String()))
}

// VersionCommitted records a commit by this node as coordinator.
func (l *Log) VersionCommitted(version uint64, unresponsive uint32) {
	end(l.begin(eventVersionCommitted).Uint64(fieldVersion, version).Uint32("silent", unresponsive))
}

// VersionAborted records an abort by this node as coordinator.
func (l *Log) VersionAborted(version uint64, node, reason string) {
	end(l.begin(eventVersionAborted).Uint64(fieldVersion, version).Str(fieldRefusedBy, node).Str(fieldReason, reason))
}

// ParentChanged records a new parent in the distribution tree.
func (l *Log) ParentChanged(parent string) { end(l.begin(eventParentChanged).Str("parent", parent)) }

// RoleChanged records a new role in the distribution tree.
func (l *Log) RoleChanged(role control.Role) {
	end(l.begin(eventRoleChanged).Str("role", role.String()))
}

// MemberLost records that this node has marked another one as lost: a child, or, at the
// root, a member outside the tree.
func (l *Log) MemberLost(member string) { end(l.begin(eventMemberLost).Str("member", member)) }

// ReaderLeaseAcquired records that this node may read the store.
func (l *Log) ReaderLeaseAcquired(slot int) { end(l.begin(eventLeaseAcquired).Int("slot", slot)) }

// ReaderLeaseLost records that this node may no longer read the store.
func (l *Log) ReaderLeaseLost(slot int) { end(l.begin(eventLeaseLost).Int("slot", slot)) }

// StoreUnreachable records that the store stopped answering.
func (l *Log) StoreUnreachable(err error) {
	end(l.begin(eventStoreUnreachable).Str(fieldError, errorText(err)))
}

// StoreReachable records that the store answers again.
func (l *Log) StoreReachable() { end(l.begin(eventStoreReachable)) }

// StoreRegressed records that the store returned an older head than one seen before.
func (l *Log) StoreRegressed(err error) {
	end(l.begin(eventStoreRegressed).Str(fieldError, errorText(err)))
}

// PeerRefused records that a message of another node was rejected.
func (l *Log) PeerRefused(peer, reason string) {
	end(l.begin(eventPeerRefused).Str("peer", peer).Str(fieldReason, reason))
}

// Alarm records a condition that needs an operator.
func (l *Log) Alarm(text string) { end(l.begin(eventAlarm).Str("text", text)) }
