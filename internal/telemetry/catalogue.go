package telemetry

import (
	"fmt"
	"slices"
	"strings"
)

// Level orders events by urgency.
type Level string

// The levels, from the least urgent.
const (
	LevelDebug   Level = "debug"
	LevelInfo    Level = "info"
	LevelWarning Level = "warn"
	LevelError   Level = "error"
)

// Event is one entry of the catalogue.
type Event struct {
	// Number identifies the event; it is never given to another one.
	Number int
	Name   string
	Level  Level
	// Fields are the names of the values that each log line carries besides time,
	// level, event, name and node.
	Fields []string
	// Meaning says what happened and, where it matters, what to do.
	Meaning string
}

// Field names that several events share.
const (
	fieldVersion       = "version"
	fieldDigest        = "digest"
	fieldReason        = "reason"
	fieldTarget        = "target"
	fieldFingerprint   = "fingerprint"
	fieldRefusedBy     = "refused_by"
	fieldEvidence      = "evidence"
	fieldError         = "error"
	fieldDuration      = "duration_milliseconds"
	fieldCallsInFlight = "calls_in_flight"
	fieldRevision      = "revision"
	fieldEra           = "era"
	// fieldTenant is left out of lines of calls without a tenant.
	fieldTenant = "tenant"
)

// Events of the process.
var (
	eventStarted       = Event{101, "node started", LevelInfo, []string{"program_version", "region", "zone", "service", "incarnation"}, "The process runs; it is not ready yet."}
	eventListening     = Event{102, "node listening", LevelInfo, []string{"caller_address", "call_address", "control_address", "admin_address"}, "The listeners are open at these addresses."}
	eventReady         = Event{103, "node ready", LevelInfo, []string{}, "Calls are taken from now on."}
	eventUnready       = Event{104, "node unready", LevelWarning, []string{fieldReason}, "Calls are answered not-run; the reason says what is waited for."}
	eventStopRequested = Event{105, "stop requested", LevelInfo, []string{"signal"}, "A planned stop begins; the node is marked as leaving."}
	eventDrained       = Event{106, "calls drained", LevelInfo, []string{fieldDuration}, "The calls in flight have ended by themselves."}
	eventDrainExceeded = Event{107, "drain bound exceeded", LevelWarning, []string{fieldDuration, fieldCallsInFlight}, "Calls still run at the end of drain-bound and are cut off."}
	eventStopped       = Event{108, "node stopped", LevelInfo, []string{}, "The process is about to end."}
	eventPartFailed    = Event{109, "part failed", LevelError, []string{"part", fieldError}, "A part of the node ended unexpectedly and is started again."}
	eventWorkerHealth  = Event{110, "worker health changed", LevelInfo, []string{"healthy", fieldReason}, "The worker's health endpoint changed its answer. It is a hint only."}
	eventStartFailed   = Event{111, "start failed", LevelError, []string{fieldError}, "A listener or a file cannot be opened; the process ends with exit code 1."}
	eventPanicked      = Event{113, "panic contained", LevelError, []string{"kind", "where", fieldError, "stack", "half_changed", fieldCallsInFlight}, "A fault of the program: work of the node has panicked. Kinds: request and input (the rest goes on), part and task. With half_changed, state that other work shares may be half changed, and the node stops as planned (105, with the signal panic) and ends with exit code 1."}
	eventMemoryFull    = Event{114, "memory near limit", LevelWarning, []string{"used_bytes", "limit_bytes", "goroutines", fieldCallsInFlight}, "The process uses nearly all of memory-limit; at most one such line in five seconds. A process that gets no memory ends with exit code 2."}
	eventDrainStarted  = Event{112, "drain started", LevelInfo, []string{fieldCallsInFlight}, "Calls from other nodes are refused from now on."}
)

// Events of versions. Checkers outside the process rely on them.
var (
	eventVersionStaged    = Event{201, "version staged", LevelInfo, []string{fieldVersion}, "The version is built completely beside the one in force."}
	eventVersionInForce   = Event{202, "version in force", LevelInfo, []string{fieldVersion, fieldDigest}, "The version is in force on this node, whole. The number never falls within a process."}
	eventVersionRefused   = Event{203, "version refused", LevelWarning, []string{fieldVersion, fieldReason}, "This node refuses the proposed version, which is therefore aborted everywhere."}
	eventFloorLearned     = Event{204, "floor learned", LevelInfo, []string{fieldVersion, "source"}, "The lowest version that this process may run, and who told it."}
	eventFloorMissing     = Event{205, "floor missing", LevelWarning, []string{fieldReason}, "The process may run nothing yet, for neither the store nor enough peers told the floor."}
	eventVersionCommitted = Event{206, "version committed", LevelInfo, []string{fieldVersion, "silent"}, "This node, as coordinator, committed the version; silent counts the nodes that had not reported within the bound."}
	eventVersionAborted   = Event{207, "version aborted", LevelWarning, []string{fieldVersion, fieldRefusedBy, fieldReason}, "This node, as coordinator, aborted the version; its number is not used again."}
	eventRoutesInForce    = Event{208, "routes in force", LevelDebug, []string{fieldVersion, "routes"}, "New calls are routed by this version from now on."}
	eventRoutesRejected   = Event{209, "routes rejected", LevelError, []string{fieldVersion, fieldError}, "The routes of a version in force cannot be used; calls are routed as before. This is a fault of the program."}
)

// Events of the distribution tree and of members.
var (
	eventParentChanged = Event{301, "parent changed", LevelInfo, []string{"parent"}, "The node pulls from another parent; empty for none."}
	eventRoleChanged   = Event{302, "role changed", LevelInfo, []string{"role"}, "The node's part in the distribution tree: leaf, relay, reader or coordinator."}
	eventMemberLost    = Event{303, "member lost", LevelWarning, []string{"member"}, "A child of this node was not heard from within the bound and gets no calls."}
	eventPeerRefused   = Event{304, "peer refused", LevelWarning, []string{"peer", fieldReason}, "A request of another node was turned away."}
)

// Events of the store.
var (
	eventStoreReachable   = Event{401, "store reachable", LevelInfo, []string{}, "The store answers again."}
	eventStoreUnreachable = Event{402, "store unreachable", LevelWarning, []string{fieldError}, "The store does not answer. The version in force stays; applies wait."}
	eventStoreRegressed   = Event{403, "store regressed", LevelError, []string{fieldError}, "The store offers an older head than one seen before, as after a restore of an old copy. Nothing is taken from it; see OPERATIONS.md."}
	eventAlarm            = Event{404, "alarm", LevelError, []string{"text"}, "A condition that needs an operator; see OPERATIONS.md."}
	eventLeaseAcquired    = Event{405, "reader lease acquired", LevelInfo, []string{"slot"}, "This node is one of the few that read the store."}
	eventLeaseLost        = Event{406, "reader lease lost", LevelWarning, []string{"slot"}, "This node no longer reads the store by this lease."}
)

// Events of certificates.
var (
	eventCertificatesLoaded = Event{501, "certificates loaded", LevelInfo, []string{"identity", "expires"}, "New certificate files were read and are used for new connections."}
	eventCertificatesFailed = Event{502, "certificates not loaded", LevelError, []string{fieldError}, "Changed certificate files cannot be used; the former ones stay in use."}
)

// Events of the hosted mode.
var (
	eventDocumentRejected    = Event{601, "document rejected", LevelError, []string{fieldRevision, fieldError}, "A document of the platform cannot be used; the version in force stays."}
	eventDocumentInForce     = Event{602, "document in force", LevelInfo, []string{fieldVersion, "routes"}, "The version is in force on this node, whole. The number never falls within a process."}
	eventReaderRole          = Event{603, "reader role changed", LevelInfo, []string{"reads"}, "Whether this node watches the store for all."}
	eventNodeLost            = Event{604, "node lost", LevelWarning, []string{"peer", fieldError}, "Another node cannot be reached from here; it is tried again with pauses and gets calls as the last resort only."}
	eventNodeFound           = Event{605, "node found", LevelInfo, []string{"peer"}, "A node that was lost answers again."}
	eventWorkerChanged       = Event{606, "worker changed", LevelInfo, []string{"instance", "service", "slots", "state", "sequence", "born_unix_milliseconds", "cause"}, "What may be done with a worker beside this node, and what told it."}
	eventDrainCommitmentHeld = Event{607, "promise kept", LevelInfo, []string{"instance", "holders", "stored"}, "A worker's leave is about to be acknowledged; holders counts the other nodes that know of it, stored tells whether the platform's store does."}
	eventPreviousIncarnation = Event{608, "former life", LevelInfo, []string{"incarnation", "promised"}, "Another node or the platform's store told a record of a former life of this node, with what was promised."}
	eventSettingsReloaded    = Event{609, "settings reloaded", LevelInfo, []string{fieldError}, "The settings were read again; with an error, those before stay."}
	eventRolloutOrdered      = Event{611, "rollout ordered", LevelInfo, []string{"service", fieldTarget, fieldDuration}, "The store has told this node an order to move a service to another version."}
	eventRolloutDecided      = Event{612, "rollout decided", LevelInfo, []string{"service", fieldTarget, "state", "share", fieldReason, "ran", "failed"}, "This node, as coordinator, decided what share of the requests the version gets from now on, or that the move has ended; the reason says why it was rolled back, ran and failed count the version's requests."}
	eventQuarantined         = Event{613, "request quarantined", LevelError, []string{fieldFingerprint, "instances", "since_unix_milliseconds", "until_unix_milliseconds", "source"}, "The request has crashed these workers, one after the other, and is given to none any more until the given time; the source tells on whose word this node believes it."}
	eventQuarantineEnded     = Event{614, "quarantine ended", LevelInfo, []string{fieldFingerprint, fieldReason}, "The request may be run again: a worker has answered it whole, an operator has lifted the quarantine, or its time is over."}
	eventRecallFailed        = Event{615, "recall failed", LevelWarning, []string{"peer", fieldError}, "The hub of the zone did not tell this starting node what the store holds of its former lives; the node asks the store itself."}
	eventDocumentPassedOver  = Event{616, "document passed over", LevelWarning, []string{fieldVersion, "held_version", fieldRevision}, "The store holds an older version than this node, as for a while after it came back from a copy; nothing is taken from it."}
	eventStoreRestored       = Event{617, "store restored", LevelWarning, []string{fieldEra, "former_revision", fieldRevision}, "The store came back from a copy some seconds old; its revisions went from former_revision back to revision (zero where this node has not seen them). The version in force stays, newer ones are taken by their version, and nodes write again what they keep there. Nothing is to be done."}
	eventHeartbeatRejected   = Event{618, "heartbeat rejected", LevelWarning, []string{"instance", fieldReason, "calls", fieldError}, "A call to the address for workers cannot be used, and changes nothing. Reasons: too-large, unreadable (no JSON, or fields are missing or of another type), address (it is none; the error shows it), other-address (not that of the worker beside the node; the error shows both), service (not that of the worker beside the node), field (a value that no worker has). The error is that of the last call, calls counts those of the instance since its last such line; at most one line in five seconds for each instance, and one a second for all."}
	eventRecordUnencodable   = Event{653, "record not encoded", LevelError, []string{fieldError}, "The record of this node holds what no message can carry, and is not written to the store. This is a fault of the program; at most one such line in five seconds."}
	eventEntryRejected       = Event{619, "entry rejected", LevelWarning, []string{"entry", fieldError, "entries"}, "An entry in the store is not of the node that its key names, or cannot be read: another program may write there. The error names what was found and what is expected. The entry names no node. At most one such line in five seconds; entries counts those since the last one."}
	eventEntryRestored       = Event{620, "entry restored", LevelInfo, []string{fieldEra, "promised"}, "After the store came back from a copy this node has written its entry again, with so many promises of workers that leave."}
	eventNodeReplaced        = Event{621, "node replaced", LevelInfo, []string{"peer", "address"}, "A node has ended: another one has its address, and has told so. It is dropped. A node that is only lost has event 604."}
	eventWorkerCallIgnored   = Event{622, "worker call ignored", LevelInfo, []string{"instance", fieldReason, "leaves", "sequence", "born_unix_milliseconds", "held_state", "held_sequence", "held_born_unix_milliseconds", "held_instance"}, "A heartbeat or a leave (leaves) of a worker had no effect, and what is registered of the instance, or at its address (held_instance). Reasons: draining (it leaves, and says that it is ready), superseded (another incarnation is known to have started later), unproven (it is not known yet which of the two runs), unknown (no such incarnation is registered), contended (another instance runs at its address, by what the process there has said), unheld (the leave is recorded, but neither another node nor the store holds it). A leave is then answered 409, or 503 if unheld, and nothing is promised. At most one such line in five seconds; repeated heartbeats have none."}
	eventIntakeReached       = Event{623, "intake bound reached", LevelWarning, []string{"pool", "bound"}, "Clients have reached a bound on what they can make the node hold: connections, or memory. Those that keep the node waiting for longest are closed in favor of others; a request for which there is no room in time is refused as not run. Pools: callers, calls and call-bodies (of other nodes), offers (calls to other nodes), messages, registration, readiness, metrics. At most one such line for each bound in five seconds; metrics intake_used, intake_limit, intake_closed_total and intake_refused_total."}
	eventTenantOmitted       = Event{630, "tenant omitted", LevelError, []string{fieldVersion, fieldError}, "A tenant of the platform's document cannot be used: its callers are refused (401). All else of the version is in force."}
	eventTenantLimited       = Event{640, "tenant limited", LevelInfo, []string{fieldTenant, "rate", "burst"}, "Requests of the tenant begin to be refused at this node (429), since all nodes together have admitted what its limit allows. Single refusals have no line."}
	eventTenantLimitEnded    = Event{641, "tenant limit ended", LevelInfo, []string{fieldTenant, "admitted", "refused", fieldDuration}, "No request of the tenant was refused for its limit at this node for five seconds; how many were admitted and refused, from the first to the last refusal."}
	eventWorkerLimit         = Event{650, "worker limit changed", LevelInfo, []string{"instance", "service", "limit", "source", "age_milliseconds"}, "A worker names how many requests a second it takes from all nodes together; an empty limit means that it names none any more. The source is the node that has told it, this one when the worker's own answer has, and the age how long ago the worker stated it there."}
	eventWorkerLeaving       = Event{651, "worker leaves", LevelInfo, []string{"instance", "service", "source"}, "A worker states in its answers that it leaves; this node gives it nothing new, whatever its heartbeats say. The source is the node that has told it."}
	eventLimitUnreadable     = Event{652, "worker limit unreadable", LevelWarning, []string{"instance", fieldError}, "A worker names a limit that is no decimal number; it neither sets nor ends one. At most one such line in five seconds."}
	eventLinesDropped        = Event{610, "lines dropped", LevelWarning, []string{"lines"}, "Lines of this log that were not written, because their reader was slow or there were too many."}
)

// Events of single calls in the hosted mode.
var (
	eventCallFailed = Event{701, "call not served", LevelWarning, callFields, "A call that began here was not answered by a worker in time, or not at the first attempt; the fields are what decided."}
	eventHopFailed  = Event{702, "hop not served", LevelWarning, hopFields, "A call of another node for the worker beside this one got no answer."}
)

var callFields = []string{
	"request", "route", "service", fieldTenant, fieldVersion, "outcome", fieldReason, "status", fieldRefusedBy, fieldEvidence, "unmarked_status", fieldFingerprint, "peer", "instance", "offers", "arrivals", "waited_milliseconds", "ran_milliseconds",
	"running", "waiting", "slots", "limit", "came_back", "budget", "left_milliseconds", fieldDuration, "retry_after_milliseconds", "truncated", fieldError,
}

var hopFields = []string{
	"request", "service", fieldTenant, "instance", "outcome", fieldReason, "status", fieldRefusedBy, fieldEvidence, "unmarked_status", fieldFingerprint, "arrivals", "waited_milliseconds", "ran_milliseconds",
	"running", "waiting", "slots", "limit", "left_milliseconds", fieldDuration, "truncated", fieldError,
}

// Catalogue returns every event, ordered by number.
func Catalogue() []Event {
	events := []Event{
		eventStarted, eventListening, eventReady, eventUnready, eventStopRequested, eventDrained,
		eventDrainExceeded, eventStopped, eventPartFailed, eventWorkerHealth, eventStartFailed, eventDrainStarted, eventPanicked, eventMemoryFull,
		eventVersionStaged, eventVersionInForce, eventVersionRefused, eventFloorLearned,
		eventFloorMissing, eventVersionCommitted, eventVersionAborted, eventRoutesInForce, eventRoutesRejected,
		eventParentChanged, eventRoleChanged, eventMemberLost, eventPeerRefused,
		eventStoreReachable, eventStoreUnreachable, eventStoreRegressed, eventAlarm, eventLeaseAcquired, eventLeaseLost,
		eventCertificatesLoaded, eventCertificatesFailed,
		eventDocumentRejected, eventDocumentInForce, eventReaderRole, eventNodeLost, eventNodeFound, eventWorkerChanged,
		eventDrainCommitmentHeld, eventPreviousIncarnation, eventSettingsReloaded, eventRolloutOrdered, eventRolloutDecided, eventQuarantined, eventQuarantineEnded, eventRecallFailed, eventDocumentPassedOver, eventStoreRestored, eventHeartbeatRejected, eventWorkerCallIgnored, eventIntakeReached, eventEntryRejected, eventRecordUnencodable, eventEntryRestored, eventNodeReplaced, eventTenantOmitted, eventTenantLimited, eventTenantLimitEnded, eventWorkerLimit, eventWorkerLeaving, eventLimitUnreadable, eventLinesDropped, eventCallFailed, eventHopFailed,
	}
	slices.SortFunc(events, func(a, b Event) int { return a.Number - b.Number })
	return events
}

// MarkdownTable returns the table of events that docs/EVENTS.md shows.
func MarkdownTable() string {
	var table strings.Builder
	table.WriteString("| event | name | level | fields | meaning |\n|---|---|---|---|---|\n")
	for _, event := range Catalogue() {
		fmt.Fprintf(&table, "| %d | %s | %s | %s | %s |\n",
			event.Number, event.Name, event.Level, strings.Join(event.Fields, ", "), event.Meaning)
	}
	return table.String()
}
