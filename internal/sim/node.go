package sim

import (
	"time"

	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/snapshot"
	"github.com/levertide/levertide/pkg/topology"
	"github.com/levertide/levertide/pkg/versionstore"
)

// Times and sizes of the simulated node.
const (
	tickPeriod      = 200 * time.Millisecond
	watchHold       = time.Second
	callTimeout     = 1500 * time.Millisecond
	suspectFor      = 5 * time.Second
	lostAfter       = 2500 * time.Millisecond
	headReadPeriod  = 300 * time.Millisecond
	joinPeriod      = 500 * time.Millisecond
	purgePeriod     = 30 * time.Second
	historyCapacity = 4
)

// node is a machine, which outlasts the processes that run on it.
type node struct {
	id, region, zone, service string
	incarnation               uint64
	// clockStep is the error of the machine's clock.
	clockStep time.Duration
	process   *process
	agent     *agent
}

// Participant is the part of rollout.Participant that a node uses. It is an
// interface so that a test can substitute a broken participant.
type Participant interface {
	LearnFloor(version rollout.Version) []rollout.Action
	ObserveHead(head rollout.Head) []rollout.Action
	Deliver(delivered *snapshot.Snapshot) []rollout.Action
	FetchFailed(version rollout.Version)
	State() rollout.ParticipantState
}

// agent is the state of one process of a node, which is lost when it ends.
type agent struct {
	world   *World
	node    *node
	process *process

	self        membership.Record
	table       *membership.Table
	purgeBefore uint64
	participant Participant
	// history holds complete snapshots only.
	history *snapshot.History
	wanted  map[rollout.Version]bool

	plan     topology.Assignment
	suspects map[string]time.Duration
	joinedAt time.Duration
	// unreachable holds former parents that did not answer, by ID.
	unreachable map[string]unreachableNode

	upstream upstream
	children map[string]*child

	floor floorSearch
	// reported holds the highest versions that any child has ever reported.
	reported reportedVersions
	reader   reader
	serves   serving
}

// unreachableNode is a former parent that may have died.
type unreachableNode struct {
	record membership.Record
	since  time.Duration
}

// start runs a new process on a node.
func (w *World) start(n *node) {
	if n.process != nil && n.process.alive {
		return
	}
	n.incarnation++
	process := w.newProcess(n.id)
	record := membership.Record{
		ID: n.id, Incarnation: n.incarnation, Region: n.region, Zone: n.zone,
		Service: n.service, ControlAddress: n.id, CallAddress: n.id,
	}
	a := &agent{
		world: w, node: n, process: process, self: record,
		table:       membership.NewTable(),
		history:     snapshot.NewHistory(historyCapacity),
		wanted:      make(map[rollout.Version]bool),
		suspects:    make(map[string]time.Duration),
		unreachable: make(map[string]unreachableNode),
		children:    make(map[string]*child),
	}
	a.participant = w.newParticipant(n)
	a.reader.versions = w.newVersionStore()
	a.reader.loading = make(map[rollout.Version]bool)
	a.reader.coordinator = rollout.NewCoordinator(rollout.CoordinatorOptions{})
	a.serves = newServing(a)
	a.table.Merge(record)
	n.process, n.agent = process, a
	a.process.after(w.random.duration(tickPeriod), "tick", a.tick)
	a.process.after(purgePeriod, "purge", a.purge)
}

func (w *World) newParticipant(n *node) Participant {
	options := rollout.ParticipantOptions{
		Node:     n.id,
		Validate: func(s *snapshot.Snapshot) error { return validateOn(n.id, s) },
	}
	if replace := w.options.Seams.Participant; replace != nil {
		return replace(options)
	}
	return rollout.NewParticipant(options)
}

// now is the time of the machine's own clock, which can be wrong.
func (a *agent) now() time.Time { return a.world.wallClock().Add(a.node.clockStep) }

// tick runs the node's periodic tasks.
func (a *agent) tick() {
	a.replan()
	a.join()
	a.maintainWatch()
	a.checkChildren()
	a.checkUnreachable()
	a.searchFloor()
	a.maintainLease()
	a.report()
	a.coordinate()
	a.serves.updateEndpoints()
	a.process.after(tickPeriod+a.world.random.duration(tickPeriod/4), "tick", a.tick)
}

// purge removes the records of lost members that are older than one purgePeriod.
func (a *agent) purge() {
	a.table.PurgeLost(a.purgeBefore)
	a.purgeBefore = a.table.Sequence()
	a.process.after(purgePeriod, "purge", a.purge)
}

// learn merges member records. Where they hold a wrong record of this node, it
// announces one that refutes it.
func (a *agent) learn(records []membership.Record) {
	updated := false
	for _, record := range records {
		if record.ID != a.node.id {
			updated = len(a.table.Merge(record)) > 0 || updated
			continue
		}
		own, verdict := a.self.Answer(record)
		if verdict == membership.VerdictRefute {
			a.announce(own)
			a.upstream.drop()
		}
	}
	if updated {
		a.changed()
	}
}

// announce changes the node's own record.
func (a *agent) announce(record membership.Record) {
	a.self = record
	a.table.Merge(record)
	a.changed()
}

// join has a node without a parent exchange member records with a random machine:
// it sends its own record and the one that it holds of that machine, and requests
// all others. In this way parts of the system that do not know each other, or have
// recorded each other as lost, merge again.
func (a *agent) join() {
	now := a.world.scheduler.now
	if a.upstream.parent != nil || now-a.joinedAt < joinPeriod {
		return
	}
	a.joinedAt = now
	seed := pick(a.world.random, a.world.nodes)
	if seed == a.node {
		return
	}
	announced := []membership.Record{a.self}
	if held, found := a.table.Get(seed.id); found {
		announced = append(announced, held)
	}
	a.world.network.call(a.node, seed, "members", callTimeout,
		func(answer func(any)) {
			seed.agent.learn(announced)
			records, _ := seed.agent.table.Since(0)
			answer(records)
		},
		func(reply any, err error) {
			if err == nil {
				a.learn(reply.([]membership.Record))
			}
		})
}

// replan computes the node's place in the topology from the members that are not
// suspects.
func (a *agent) replan() {
	now := a.world.scheduler.now
	for id, until := range a.suspects {
		if until <= now {
			delete(a.suspects, id)
		}
	}
	peers := []topology.Peer{peerOf(&a.self)}
	for _, record := range a.table.View().Live() {
		if _, suspect := a.suspects[record.ID]; !suspect && record.ID != a.node.id {
			peers = append(peers, peerOf(record))
		}
	}
	a.plan = topology.Plan(a.node.id, peers, a.world.options.topology())
}

func peerOf(record *membership.Record) topology.Peer {
	return topology.Peer{ID: record.ID, Region: record.Region, Zone: record.Zone, ControlAddress: record.ControlAddress, Reader: record.Reader}
}

// act carries out the actions that the participant has requested.
func (a *agent) act(actions []rollout.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case rollout.FetchVersion:
			a.wanted[action.Version] = true
		case rollout.Activate:
			a.activate(action.Snapshot)
		case rollout.RaiseAlarm:
			a.world.oracle.alarms++
		case rollout.StateChanged:
			a.changed()
		}
	}
}

func (a *agent) activate(next *snapshot.Snapshot) {
	if replace := a.world.options.Seams.Activation; replace != nil {
		next = replace(a.serves.inForce, next)
	}
	a.serves.inForce = next
	a.world.trace.record(a.world.scheduler.now, "activate "+a.node.id, next.Digest().String())
	a.world.oracle.observeActivation(a, next)
}

// changed marks that there are updates for the parent, and sends them to the
// children that watch.
func (a *agent) changed() {
	a.upstream.dirty = true
	a.wakeChildren()
}

// scope is the part of a version that the node holds.
func (a *agent) scope() snapshot.Scope {
	if a.plan.FullScope || a.reader.holdsLease() || a.node.service == "" {
		return snapshot.Scope{All: true}
	}
	return snapshot.Scope{Service: a.node.service}
}

// missing lists the versions to be fetched: those that the participant has
// requested, and those that a relay needs for its children.
func (a *agent) missing() []rollout.Version {
	var versions []rollout.Version
	head := a.participant.State().Head
	for _, version := range []rollout.Version{head.Committed, head.Proposed} {
		if version == 0 {
			continue
		}
		_, held := a.history.Get(version)
		if a.wanted[version] || (a.scope().All && !held) {
			versions = append(versions, version)
		}
	}
	return versions
}

// receive accepts a snapshot that covers the node's scope. complete reports that
// it holds all resources of the version.
func (a *agent) receive(received *snapshot.Snapshot, complete bool) {
	delete(a.wanted, received.Version())
	if complete {
		a.history.Add(received)
	}
	a.act(a.participant.Deliver(received))
	a.wakeChildren()
}

// observeHead processes a head from the store or from a parent, and no longer wants
// versions that the head does not name.
func (a *agent) observeHead(head rollout.Head) {
	a.act(a.participant.ObserveHead(head))
	accepted := a.participant.State().Head
	for version := range a.wanted {
		if version != accepted.Committed && version != accepted.Proposed {
			delete(a.wanted, version)
		}
	}
}

// reader is the state of a node as a reader of the store.
type reader struct {
	versions    *versionstore.VersionStore
	session     string
	slot        string
	renewedAt   time.Duration
	readAt      time.Duration
	triedAt     time.Duration
	loading     map[rollout.Version]bool
	deciding    bool
	coordinator *rollout.Coordinator
}

// holdsLease reports whether the node takes itself to hold a reader's lease.
func (r *reader) holdsLease() bool { return r.slot != "" }
