package hosted

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"
	"golang.org/x/time/rate"

	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/internal/intake"
	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/quarantine"
	"github.com/levertide/levertide/pkg/workers"
)

const (
	// reminderPause is how long after a document the zones with other readers are sent its version.
	reminderPause = 200 * time.Millisecond
	// endBound is how long the services may take to end.
	endBound = 200 * time.Millisecond
	// messagesName names the listener for messages of other nodes.
	messagesName = "messages"
	// announceStopBound bounds the announcement of a planned stop.
	announceStopBound = 300 * time.Millisecond
)

// Config configures an Agent. All fields except MayBeBeside, WorkerAddress, Rollouts, Steering, Quotas and
// Panicked must be given.
type Config struct {
	// Mesh names the mesh; messages from nodes of another one are refused.
	Mesh string
	// FirstStart is set when the whole mesh starts for the first time.
	FirstStart bool
	Table      *fleet.Table
	Contacts   *fleet.Contacts
	Workers    *workers.Registry
	// MayBeBeside reports whether a worker of the service may be beside this node; nil accepts
	// every service.
	MayBeBeside func(service string) bool
	// WorkerAddress is the address of the worker beside this node; the zero value accepts every address.
	WorkerAddress netip.AddrPort
	Source        Source
	Directory     Directory
	Consumer      Consumer
	// Rollouts and Steering move services to other versions; nil where roll-outs are not used.
	Rollouts RolloutStore
	Steering Steering
	// Quarantine holds what this node knows of requests that crash workers.
	Quarantine *quarantine.Table
	// Quotas enforces the limits of tenants; nil where there are none.
	Quotas *Quotas
	// Serving receives the workers that may be given work: Update is called after each change of a
	// registration, Open when work may be given for the first time.
	Serving Serving
	// Probe asks the worker beside the node to identify itself.
	Probe WorkerProbe
	// Listener accepts the messages of other nodes.
	Listener net.Listener
	// Connections counts the connections of other nodes; nil means that there is no bound.
	Connections *intake.Ledger
	Dial        httpconn.DialFunc
	Events      Events
	// Panicked is called with each panic that was contained; nil means that nobody is told. It must
	// not block.
	Panicked contain.Report
}

// Serving is the part of the node that gives work to its workers.
type Serving interface {
	// Update returns when no worker with a drain commitment can be given anything new.
	Update(registered []workers.Worker)
	Open()
}

// Agent coordinates one node with the others. Create it with New.
type Agent struct {
	config     Config
	documents  *Documents
	peers      *Peers
	announcer  *Announcer
	evidence   *evidence
	reader     *Reader
	supervisor *suture.Supervisor
	web        *intake.Server

	started time.Time
	// commitmentsKnown is set once the node knows the drain commitments of its previous
	// incarnation.
	commitmentsKnown atomic.Bool
	commitmentsMu    contain.Mutex
	// refreshMu is held while the workers are read and published, so that an older list never replaces a
	// newer one.
	refreshMu contain.Mutex
	// listed is set once the store has listed other nodes.
	listed atomic.Bool
	// zoneHub is set when this node is the hub of its zone among the listed nodes: the others of
	// the zone ask it first.
	zoneHub atomic.Bool
	// peersAsked is closed when the first nodes that were asked have answered or timed out.
	peersAsked     chan struct{}
	peersAskedOnce sync.Once
	// unheard is set if there was nobody to send this node's record to when it was sent last.
	unheard atomic.Bool
	// queryingContact is set while this node queries others because one has contacted it.
	queryingContact atomic.Bool

	// storeEra is the highest era of the store that this node knows of. Only housekeeping uses it.
	storeEra uint64
	// withoutStore are the nodes that did not reach the store at the last check. Only housekeeping
	// uses it.
	withoutStore map[string]bool

	// lookups are the searches of the directory for nodes that are not reached. Only housekeeping uses
	// them.
	lookups lookups
	// retaken limits how often the record of this node is spread because another program has written
	// one under its name.
	retaken *rate.Limiter
	// entries are the entries of the store that were not written by a node.
	entries *rejectedEntries
	// rejections limits the log lines on a record that cannot be written.
	rejections *rate.Limiter

	// commitments are the drain commitments that are being replicated.
	commitments pendingCommitments
	// contention decides between instances at the address of the worker.
	contention *contention
	// refusals counts the calls of workers that cannot be used.
	refusals *refusals
	// ignored counts the calls of workers that had no effect.
	ignored *ignoredCalls

	backgroundContext atomic.Pointer[context.Context]
}

// New returns an agent. Nothing runs before Serve.
func New(config Config) *Agent {
	if config.Connections == nil {
		config.Connections = intake.New("messages", intake.Limits{}, nil)
	}
	agent := &Agent{
		config: config, started: time.Now(), peersAsked: make(chan struct{}), withoutStore: map[string]bool{},
		retaken:    rate.NewLimiter(rate.Every(retakePause), retakeBurst),
		entries:    newRejectedEntries(),
		rejections: rate.NewLimiter(rejectionLogRate, rejectionLogBurst),
		ignored:    newIgnoredCalls(config.Events),
		refusals:   newRefusals(config.Events),
	}
	agent.documents = NewDocuments(config.Consumer, config.Events)
	agent.documents.panicked = config.Panicked
	agent.contention = newContention(config, agent.documents.InForce)
	agent.peers = newPeers(config, agent.documents)
	agent.evidence = newEvidence(agent, config.Quarantine)
	agent.peers.evidence = agent.evidence
	agent.peers.onPrevious = agent.learnPrevious
	agent.peers.onReplaced = agent.spreadReplaced
	agent.peers.hub = newHub(agent.peers, agent.background)
	agent.announcer = newAnnouncer(config.Directory, config.Table, config.Source.Era)
	agent.announcer.firstStart, agent.announcer.panicked = config.FirstStart, config.Panicked
	agent.announcer.onListed, agent.announcer.onPrevious = agent.contactListed, agent.learnFromEntry
	agent.announcer.commitmentsKnown, agent.announcer.onSettled = agent.commitmentsKnown.Load, agent.markCommitmentsKnown
	agent.announcer.sharedEntry = agent.peers.recall
	agent.announcer.onRejected, agent.announcer.onUnencodable = agent.rejectEntry, agent.recordUnencodable
	agent.announcer.onRewritten = config.Events.EntryRestored
	agent.announcer.isAlone = agent.reachesNobody
	agent.announcer.isLost = func(id string) bool { return !config.Contacts.Reachable(id) }
	server := &Server{peers: agent.peers, background: agent.background, onContact: agent.onContact, quotas: config.Quotas}
	agent.web = intake.Guard(&http.Server{
		Handler:           contain.Handler(messagesName, config.Panicked, server.handler()),
		ReadHeaderTimeout: readHeaderTime,
		MaxHeaderBytes:    maximumMessageHead,
		ReadTimeout:       readTime,
		IdleTimeout:       idleServerMessages,
		ErrorLog:          log.New(io.Discard, "", 0),
	}, config.Connections)
	agent.supervisor = suture.New("hosted", suture.Spec{EventHook: OnPartFailure(config.Events.PartFailed), PassThroughPanics: true, Timeout: endBound})
	reader := &Reader{
		source: config.Source, documents: agent.documents, table: config.Table, contacts: config.Contacts,
		events: config.Events, panicked: config.Panicked, spread: agent.spreadDocument, announce: agent.spreadRecord,
		peersAsked: agent.peersAsked, isZoneHub: agent.zoneHub.Load, firstStart: config.FirstStart,
	}
	if config.Rollouts != nil {
		rollouts := newRollouts(config, func(context.Context) { agent.background(agent.spreadRecord) })
		reader.orders, reader.rollouts = config.Rollouts.Orders, rollouts
		agent.peers.onRolloutRecord = rollouts.Signal
		agent.add(rollouts)
	}
	agent.reader = reader
	agent.add(reader)
	agent.add(&Standby{peers: agent.peers, table: config.Table, contacts: config.Contacts})
	agent.add(agent.documents)
	agent.add(&Prober{
		probe: config.Probe, documents: agent.documents, workers: config.Workers, panicked: config.Panicked,
		onProbed: agent.workerProbed,
	})
	agent.add(agent.announcer)
	agent.add(&Syncer{
		peers: agent.peers, table: config.Table, contacts: config.Contacts,
		housekeeping: agent.housekeeping, onForgotten: agent.forgotten,
	})
	if config.Quotas != nil {
		config.Quotas.peers, config.Quotas.known = agent.peers, agent.knowsMesh
		agent.add(config.Quotas)
	}
	agent.add(&listener{agent: agent})
	return agent
}

// add has the supervisor run a part, whose panics are contained.
func (a *Agent) add(part contain.Server) {
	a.supervisor.Add(contain.NewService(part, a.config.Panicked))
}

// OnPartFailure returns the hook of a supervisor that reports each part that has ended and is started
// again, with the reason.
func OnPartFailure(report func(part, reason string)) suture.EventHook {
	return func(event suture.Event) {
		if failed, ok := event.(suture.EventServiceTerminate); ok {
			text, _ := failed.Map()["error"].(string)
			report(failed.ServiceName, text)
		}
	}
}

// String returns the name of the service in events.
func (a *Agent) String() string { return "agent" }

// Serve runs the services until the context ends.
func (a *Agent) Serve(ctx context.Context) error {
	a.backgroundContext.Store(&ctx)
	return a.supervisor.Serve(ctx)
}

// listener answers other nodes, as a suture service.
type listener struct{ agent *Agent }

// String returns the name of the service in events.
func (l *listener) String() string { return messagesName }

// Serve answers until the context ends.
func (l *listener) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.agent.web.Close() })
	defer stop()
	return l.agent.web.Serve(l.agent.config.Listener)
}

// background runs work that continues after an answer, until the agent ends.
func (a *Agent) background(work func(ctx context.Context)) {
	ctx := context.Background()
	if running := a.backgroundContext.Load(); running != nil {
		ctx = *running
	}
	go contain.Run(contain.Task, a.String(), a.config.Panicked, func() { work(ctx) })
}

// Ready reports whether the node has put a document in force and knows the drain commitments of its
// previous incarnations.
func (a *Agent) Ready() bool { return a.commitmentsKnown.Load() && a.documents.InForce() }

// ReadsForAll reports whether this node watches the store on behalf of all nodes.
func (a *Agent) ReadsForAll() bool { return a.reader.reads.Load() }

// knowsMesh reports whether this node can know how many nodes there are: it has been in contact
// with another one, or it is alone.
func (a *Agent) knowsMesh() bool {
	return a.peers.contacted.Load() || a.Ready() && len(a.config.Table.View().Nodes()) == 1
}

// refreshWorkers updates Serving and this node's record from the registrations.
func (a *Agent) refreshWorkers() {
	a.refreshMu.Lock()
	defer a.refreshMu.Unlock()
	registered := a.config.Workers.Workers()
	a.config.Serving.Update(registered)
	informed := a.commitmentsKnown.Load()
	a.config.Table.Update(func(own *fleet.Node) {
		own.Workers = registered
		if !informed {
			own.Workers = drainCommittedOnly(registered)
		}
	})
}

// ownRecord returns this node's record as a message.
func (a *Agent) ownRecord() []*exchangepb.Node {
	return []*exchangepb.Node{nodeMessage(a.config.Table.View().Self())}
}

// spreadRecord sends this node's record to all other nodes.
func (a *Agent) spreadRecord(ctx context.Context) {
	a.unheard.Store(a.reachesNobody())
	a.peers.Announce(ctx, a.ownRecord())
}

// spreadReplaced sends the last records of nodes whose address this one has to all other nodes.
func (a *Agent) spreadReplaced(records []fleet.Node) {
	messages := make([]*exchangepb.Node, 0, len(records))
	for _, n := range records {
		messages = append(messages, nodeMessage(n))
	}
	a.background(func(ctx context.Context) { a.peers.Announce(ctx, messages) })
}

// spreadDocument sends the newest document, without waiting, to the own zone and to zones without
// another reader. The readers of the other zones get it from the store and forward it there; these
// zones are sent its version a little later, in case they have not.
func (a *Agent) spreadDocument(context.Context) {
	version := a.documents.Version()
	u := update{document: a.documents.ForBroadcast(), version: version}
	others := a.readerZones()
	a.background(func(ctx context.Context) {
		near := u
		near.nodes = a.zoneRecords()
		a.peers.BroadcastOwnZone(ctx, near, "", "")
	})
	a.background(func(ctx context.Context) {
		a.peers.BroadcastZones(ctx, u, func(zone string) bool { return !others[zone] })
	})
	a.background(func(ctx context.Context) {
		sleep(ctx, reminderPause)
		if a.documents.Version() == version {
			a.peers.BroadcastZones(ctx, update{version: version}, func(zone string) bool { return others[zone] })
		}
	})
}

// zoneRecords returns the records of the own zone for a broadcast there, while this node has just
// started: when all nodes start at once, those that have to forward the broadcast know few others
// yet.
func (a *Agent) zoneRecords() []*exchangepb.Node {
	if time.Since(a.started) >= startBatchTime {
		return nil
	}
	return nodeMessages(a.peers.inZone(a.config.Table.View().Self().Zone))
}

// readerZones returns the zones of the other nodes that read the store.
func (a *Agent) readerZones() map[string]bool {
	view := a.config.Table.View()
	zones := map[string]bool{}
	for _, id := range fleet.Readers(view, a.config.Contacts.Reachable, readerCount) {
		if node, known := view.Node(id); known && id != view.Self().ID {
			zones[node.Zone] = true
		}
	}
	return zones
}

// housekeeping checks the entry when the store has recovered, marks workers that became
// unresponsive, and expires evidence.
func (a *Agent) housekeeping(context.Context) {
	if a.storeRecovered() {
		a.announcer.StoreRecovered()
	}
	a.followEras()
	a.announcer.CommitmentsChecked()
	a.searchLost(time.Now())
	a.evidence.expire()
	expired := a.config.Workers.Expire(time.Now())
	if len(expired) == 0 {
		return
	}
	a.refreshWorkers()
	for _, worker := range expired {
		a.config.Events.WorkerChanged(worker, "not heard from")
	}
	a.background(a.spreadRecord)
}

// storeRecovered reports whether some node, this one or another, reaches the store that did not at
// the last check.
func (a *Agent) storeRecovered() bool {
	recovered := false
	for _, node := range a.config.Table.View().Nodes() {
		switch {
		case !node.ReadsStore:
			a.withoutStore[node.ID] = true
		case a.withoutStore[node.ID]:
			delete(a.withoutStore, node.ID)
			recovered = true
		}
	}
	return recovered
}

// AnnounceStop sends the state of a node that stops as planned to the other nodes.
func (a *Agent) AnnounceStop(ctx context.Context, state fleet.State) {
	a.config.Table.Update(func(own *fleet.Node) { own.State = state })
	bounded, cancel := context.WithTimeout(ctx, announceStopBound)
	defer cancel()
	a.spreadRecord(bounded)
	if state == fleet.StateLeft {
		a.announcer.withdraw(bounded)
	}
}
