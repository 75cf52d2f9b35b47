package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/internal/forwarding"
	"github.com/levertide/levertide/internal/hosted"
	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/internal/lab/hostedstore"
	"github.com/levertide/levertide/internal/settings"
	"github.com/levertide/levertide/internal/sidecar"
	"github.com/levertide/levertide/pkg/workers"
)

// dialect names the headers that callers and workers of the soak use.
var dialect = forwarding.Dialect{
	RequestID: "X-Request", Timeout: "X-Timeout", CallerService: "X-Caller", ExpectInstance: "X-Expect", NotRun: "X-Not-Run",
	Key: httpconn.KeyScheme{Header: "Authorization", Scheme: "Token"}, Tenant: "X-Tenant", Parent: parentOf, WorkerLoad: workerLoad, WorkerTerms: workerTerms,
}

// parentOf returns the id of the request for which a worker has made another one.
func parentOf(id string) (string, bool) {
	parent, _, nested := strings.Cut(id, "/")
	return parent, nested
}

const stopBound = 3 * time.Second

// machine is a node with the worker beside it. Other machines may take its place, with a node of
// another identifier at the same addresses.
type machine struct {
	id, zone        string
	runTime         time.Duration // of a request at the worker
	network         MachineNetwork
	store           *hostedstore.Store
	ledger          *ledger
	control, call   string
	callers, probes string
	// local is the address of the worker: each incarnation has it in turn.
	local string

	mutex        sync.Mutex
	life         *life
	node         *sidecar.Node // of the life
	registrar    sidecar.Registrar
	worker       *worker
	incarnations int
	replacements int    // how many other machines have taken the place
	lowest       uint64 // lowest version that may be in force, in this incarnation of the node
	// answering is how the machine's worker answers at present; nil in the usual way.
	answering atomic.Pointer[answering]
	// breaking is how the machine's worker breaks answers at present; nil when it breaks none.
	breaking atomic.Pointer[breaking]
	// descriptors is the limit of descriptors of its node; zero for that of the process.
	descriptors int
	// suspended is the last suspension of the machine; nil if there was none.
	suspended atomic.Pointer[suspension]
	// oddAnswerPercent is the percentage of its worker's answers that make a node panic.
	oddAnswerPercent atomic.Uint32
	// disturbed counts the unplanned faults of the machine that end connections and are in progress;
	// disturbedAt is when the last one ended. Both are guarded by mutex.
	disturbed   int
	disturbedAt time.Time
	// clockError is by how much the machine's time of day is ahead, in nanoseconds.
	clockError atomic.Int64
	// workerCrashed is called when the worker has crashed under a request.
	workerCrashed atomic.Pointer[func()]
}

// suspension is a period in which a machine was suspended.
type suspension struct {
	until    time.Time
	duration time.Duration
}

// suspendedSince returns the length of the machine's last suspension if it ended after a
// moment, and 0 otherwise.
func (m *machine) suspendedSince(since time.Time) time.Duration {
	last := m.suspended.Load()
	if last == nil || since.After(last.until) {
		return 0
	}
	return last.duration
}

// disturb does what ends connections of the machine without a plan.
func (m *machine) disturb(fault func()) {
	m.mutex.Lock()
	m.disturbed++
	m.mutex.Unlock()
	fault()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.disturbed--
	m.disturbedAt = time.Now()
}

// disturbedSince reports whether something unplanned may have ended a request that was sent at a moment.
func (m *machine) disturbedSince(sent time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.disturbed > 0 || !m.disturbedAt.Before(sent)
}

// timeOfDay returns the time of day on the machine, from which its worker takes its start time.
func (m *machine) timeOfDay() time.Time { return time.Now().Add(time.Duration(m.clockError.Load())) }

// newMachine returns a machine with reserved addresses, which outlast its processes.
func newMachine(id, zone string, network MachineNetwork, store *hostedstore.Store, l *ledger) (*machine, error) {
	m := &machine{id: id, zone: zone, network: network, store: store, ledger: l}
	for _, address := range []*string{&m.control, &m.call, &m.callers, &m.probes, &m.local} {
		reserved, err := network.Reserve()
		if err != nil {
			return nil, err
		}
		*address = reserved
	}
	return m, nil
}

// nodeID returns the identifier of the machine's node.
func (m *machine) nodeID() string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return fmt.Sprintf("%s-%d", m.id, m.replacements)
}

// believed returns the identifiers of the nodes that the machine's node takes to be there, ordered.
func (m *machine) believed() []string {
	m.mutex.Lock()
	node := m.node
	m.mutex.Unlock()
	return node.LiveNodes()
}

// replace puts another machine in the place of one whose node has ended: its worker ends, too.
func (m *machine) replace() error {
	m.worker.kill()
	m.mutex.Lock()
	m.replacements++
	m.mutex.Unlock()
	if err := m.startNode(); err != nil {
		return err
	}
	_, err := m.startNextWorker()
	return err
}

// startNode starts the node of the machine.
func (m *machine) startNode() error {
	var registrar sidecar.Registrar
	adapter := sidecar.Adapter{
		Dialect: dialect,
		Open: func(string, httpconn.DialFunc) (hosted.Source, hosted.Directory, hosted.RolloutStore) {
			client := m.store.Client(m.id)
			return client, client, client
		},
		Translate: translate,
		Suspended: m.suspendedSince,
		Identity:  identityOf,
		Registration: func(given sidecar.Registrar) http.Handler {
			registrar = given
			return http.NotFoundHandler()
		},
		Readiness: func(ready func() bool) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if !ready() {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			})
		},
	}
	started, err := newLife(settings.Settings{
		NodeID: m.nodeID(), Region: "region", Zone: m.zone, Service: serviceName, WorkerAddress: m.local, Mode: settings.ModeHosted,
		CallerAddress: m.callers, CallAddress: m.call, ControlAddress: m.control, ReadinessAddress: m.probes, AdminAddress: m.network.AnyPort(),
		StoreAddresses: []string{"in memory"}, DrainBound: stopBound, StopNotice: 200 * time.Millisecond,
		HeartbeatInterval: heartbeatInterval, DescriptorLimit: m.descriptors, RetryRatio: 0.2, RetrySlack: 64, RetryWindow: 10 * time.Second,
	}, adapter, m.network, m.ledger)
	if err != nil {
		return err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.life, m.node, m.registrar, m.lowest = started, started.node, registrar, 0
	return nil
}

// identityOf returns who has answered at the health path.
func identityOf(header http.Header) (sidecar.Identity, bool) {
	instance := header.Get(instanceHeader)
	return sidecar.Identity{Instance: instance, Slots: workerSlots}, instance != ""
}

// endNode ends the node, either by a planned stop or as a crash would.
func (m *machine) endNode(planned bool) {
	m.mutex.Lock()
	ending := m.life
	if !planned {
		m.registrar = nil
	}
	m.mutex.Unlock()
	if planned {
		ending.end(true)
	} else {
		m.disturb(func() { ending.end(false) })
	}
	m.ledger.terms.forget(m.id)
	m.mutex.Lock()
	m.registrar = nil
	m.mutex.Unlock()
}

// currentLife returns the incarnation of the node that was started last.
func (m *machine) currentLife() *life {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.life
}

// version returns the version that the machine's node has in force.
func (m *machine) version() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.node.Version()
}

func (m *machine) currentRegistrar() sidecar.Registrar {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.registrar
}

// startNextWorker starts the next incarnation of the worker and returns the previous one.
func (m *machine) startNextWorker() (*worker, error) {
	m.incarnations++
	before := m.worker
	name := workers.Incarnation{Instance: instanceName(m.id, m.incarnations), StartedAt: m.timeOfDay().UnixMilli()}
	if before != nil && before.incarnation == name {
		// The ledger tells two incarnations apart by their start times.
		name.StartedAt++
	}
	next, err := startWorker(name, m.ledger, m)
	if err != nil {
		return nil, err
	}
	m.mutex.Lock()
	m.worker = next
	m.mutex.Unlock()
	return before, nil
}

// currentWorker returns the worker of the machine; a fault may be replacing it.
func (m *machine) currentWorker() *worker {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.worker
}

// ready reports whether the node's readiness probe reports that it accepts callers.
func (m *machine) ready(client *http.Client) bool {
	response, err := client.Get("http://" + m.probes)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
