package telemetry

import (
	"net/netip"
	"time"

	"github.com/levertide/levertide/internal/hosted"
	"github.com/levertide/levertide/internal/intake"
	"github.com/levertide/levertide/pkg/canary"
	"github.com/levertide/levertide/pkg/endpoint"
	"github.com/levertide/levertide/pkg/quarantine"
	"github.com/levertide/levertide/pkg/workers"
)

var _ hosted.Events = (*Log)(nil)

// DocumentRejected records that a document of the platform cannot be used.
func (l *Log) DocumentRejected(revision uint64, err error) {
	end(l.begin(eventDocumentRejected).Uint64(fieldRevision, revision).Str(fieldError, errorText(err)))
}

// DocumentPassedOver records that the store holds an older document than this node.
func (l *Log) DocumentPassedOver(version, held, revision uint64) {
	end(l.begin(eventDocumentPassedOver).Uint64(fieldVersion, version).Uint64("held_version", held).Uint64(fieldRevision, revision))
}

// DocumentInForce records that a version of the platform is in force.
func (l *Log) DocumentInForce(version uint64, routes int) {
	end(l.begin(eventDocumentInForce).Uint64(fieldVersion, version).Int("routes", routes))
}

// TenantOmitted records that a tenant of a document cannot be used.
func (l *Log) TenantOmitted(version uint64, fault string) {
	end(l.begin(eventTenantOmitted).Uint64(fieldVersion, version).Str(fieldError, fault))
}

// ReaderRoleChanged records whether this node watches the store on behalf of all.
func (l *Log) ReaderRoleChanged(reads bool) { end(l.begin(eventReaderRole).Bool("reads", reads)) }

// StoreRestored records that the store was restored from a copy. The revisions are zero when
// this node has not observed them itself.
func (l *Log) StoreRestored(era uint64, seen hosted.Era) {
	line := l.begin(eventStoreRestored).Uint64(fieldEra, era)
	if seen.Number != era {
		seen = hosted.Era{}
	}
	end(line.Uint64("former_revision", seen.PreviousHighest).Uint64(fieldRevision, seen.First))
}

// EntryRestored records that this node has written its entry in the store again.
func (l *Log) EntryRestored(era uint64, commitments int) {
	end(l.begin(eventEntryRestored).Uint64(fieldEra, era).Int("promised", commitments))
}

// NodeLost records that another node cannot be reached.
func (l *Log) NodeLost(id string, err error) {
	end(l.begin(eventNodeLost).Str("peer", id).Str(fieldError, errorText(err)))
}

// NodeFound records that a lost node answers again.
func (l *Log) NodeFound(id string) { end(l.begin(eventNodeFound).Str("peer", id)) }

// NodeReplaced records that a node has ended and another one has its address.
func (l *Log) NodeReplaced(id string, address netip.AddrPort) {
	end(l.begin(eventNodeReplaced).Str("peer", id).Str("address", endpoint.String(address)))
}

// RecallFailed records that the hub of the zone did not report the previous incarnations of
// this node.
func (l *Log) RecallFailed(id string, err error) {
	end(l.begin(eventRecallFailed).Str("peer", id).Str(fieldError, errorText(err)))
}

// WorkerChanged records a changed state of a worker beside this node.
func (l *Log) WorkerChanged(worker workers.Worker, cause string) {
	end(l.begin(eventWorkerChanged).Str("instance", worker.Instance).Str("service", worker.Service).
		Int("slots", worker.Slots).Str("state", worker.State.String()).Uint64("sequence", worker.Sequence).
		Int64("born_unix_milliseconds", worker.StartedAt).Str("cause", cause))
}

// HeartbeatRejected records that calls to the address for workers cannot be used.
func (l *Log) HeartbeatRejected(refusal hosted.Refusal) {
	end(l.begin(eventHeartbeatRejected).Str("instance", bounded(refusal.Instance)).Str(fieldReason, string(refusal.Reason)).
		Int("calls", refusal.Calls).Str(fieldError, errorText(refusal.Err)))
}

// WorkerCallIgnored records that a heartbeat or a leave had no effect, and what is registered.
func (l *Log) WorkerCallIgnored(call workers.Heartbeat, change workers.Change) {
	held := change.Worker
	end(l.begin(eventWorkerCallIgnored).Str("instance", bounded(call.Instance)).Str(fieldReason, string(change.Ignored)).Bool("leaves", call.Draining).
		Uint64("sequence", call.Sequence).Int64("born_unix_milliseconds", call.StartedAt).Str("held_state", held.State.String()).
		Uint64("held_sequence", held.Sequence).Int64("held_born_unix_milliseconds", held.StartedAt).
		Str("held_instance", bounded(held.Instance)))
}

// IntakeReached records that clients have reached a bound on what they can make the node hold.
func (l *Log) IntakeReached(pool string, bound intake.Bound) {
	end(l.begin(eventIntakeReached).Str("pool", pool).Str("bound", string(bound)))
}

// EntryRejected records that an entry in the store is not a valid entry of a node, and how many there were
// since the last line.
func (l *Log) EntryRejected(id string, err error, entries uint64) {
	end(l.begin(eventEntryRejected).Str("entry", bounded(id)).Str(fieldError, errorText(err)).Uint64("entries", entries))
}

// RecordUnencodable records that the record of this node cannot be written to the store.
func (l *Log) RecordUnencodable(err error) {
	end(l.begin(eventRecordUnencodable).Str(fieldError, errorText(err)))
}

// DrainCommitmentHeld records that a worker's leave is about to be acknowledged.
func (l *Log) DrainCommitmentHeld(instance string, holders int, stored bool) {
	end(l.begin(eventDrainCommitmentHeld).Str("instance", bounded(instance)).Int("holders", holders).Bool("stored", stored))
}

// PreviousIncarnationFound records that the store or another node holds a record of a previous
// incarnation of this node.
func (l *Log) PreviousIncarnationFound(incarnation uint64, commitments int) {
	end(l.begin(eventPreviousIncarnation).Uint64("incarnation", incarnation).Int("promised", commitments))
}

// RolloutOrdered records an order of the operators on a version.
func (l *Log) RolloutOrdered(service, target string, duration time.Duration) {
	end(l.begin(eventRolloutOrdered).Str("service", service).Str(fieldTarget, target).Int64(fieldDuration, duration.Milliseconds()))
}

// RolloutDecided records a decision on a roll-out, with what the new version has run.
func (l *Log) RolloutDecided(service, target string, state canary.State, share float64, reason string, ran, failed float64) {
	end(l.begin(eventRolloutDecided).Str("service", service).Str(fieldTarget, target).Str("state", state.String()).
		Float64("share", share).Str(fieldReason, reason).Float64("ran", ran).Float64("failed", failed))
}

// RequestQuarantined records that a request counts as a crashing request and is quarantined.
func (l *Log) RequestQuarantined(v quarantine.Verdict, source string) {
	end(l.begin(eventQuarantined).Str(fieldFingerprint, v.Fingerprint.String()).Strs("instances", v.Instances).
		Int64("since_unix_milliseconds", v.Since.UnixMilli()).Int64("until_unix_milliseconds", v.Until.UnixMilli()).Str("source", source))
}

// QuarantineEnded records that a request may be run again.
func (l *Log) QuarantineEnded(request quarantine.Fingerprint, reason string) {
	end(l.begin(eventQuarantineEnded).Str(fieldFingerprint, request.String()).Str(fieldReason, reason))
}

// SettingsReloaded records that the settings were read again.
func (l *Log) SettingsReloaded(err error) {
	end(l.begin(eventSettingsReloaded).Str(fieldError, errorText(err)))
}

// LinesDropped records that lines were not written.
func (l *Log) LinesDropped(lines uint64) { end(l.begin(eventLinesDropped).Uint64("lines", lines)) }

// CallsDrained records that the calls in flight have ended by themselves.
func (l *Log) CallsDrained(took time.Duration) {
	end(l.begin(eventDrained).Int64(fieldDuration, took.Milliseconds()))
}

// DrainExceeded records that calls are cut off at the end of a planned stop.
func (l *Log) DrainExceeded(took time.Duration, inFlight int) {
	end(l.begin(eventDrainExceeded).Int64(fieldDuration, took.Milliseconds()).Int(fieldCallsInFlight, inFlight))
}
