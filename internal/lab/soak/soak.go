package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/internal/lab/hostedstore"
)

const (
	zones = 3
	// settleBound is how long the deployment may take to start, and to recover
	// completely after the last fault. It allows for busy machines; otherwise a second
	// or two are enough.
	settleBound    = 60 * time.Second
	settleInterval = 20 * time.Millisecond
	// crowdStream is the stream of random numbers of the crowd.
	crowdStream = 7
	// addedStream is the stream of random numbers of the faults that come beside the others.
	addedStream = 8
)

// Run starts a deployment, injects faults while callers send requests, and checks the
// rules that must hold at each moment and those that must hold in the end.
func Run(ctx context.Context, options Options) (Report, error) {
	run := newSoak(options)
	defer run.end()
	if err := run.start(); err != nil {
		return Report{}, err
	}
	injector := run.faults()
	run.besideWriters(ctx, func() {
		run.play(ctx, injector)
		if injector.err == nil {
			run.check(injector)
		}
	})
	if injector.err != nil {
		return Report{}, injector.err
	}
	return run.finish(), nil
}

// check checks what must hold in the end.
func (s *soak) check(injector *faults) {
	s.checkSettled(injector.version)
	s.checkReturns(injector.version)
	s.checkRestore(injector)
	s.checkIntake()
}

// soak is one run.
type soak struct {
	options  Options
	ledger   *ledger
	store    *hostedstore.Store
	machines []*machine
	probe    *http.Client
	// checks counts the requests that checks have sent.
	checks atomic.Int64
}

func newSoak(options Options) *soak {
	options = options.withDefaults()
	s := &soak{options: options, ledger: newLedger(options.Seed), store: hostedstore.New(), probe: newClient(options.Network.Callers(), callBound)}
	s.store.Put(document{Version: 1}.encode())
	return s
}

// faults returns the injector of faults. It must be called once, after start.
func (s *soak) faults() *faults {
	f := &faults{
		options: s.options, added: rand.New(rand.NewPCG(s.options.Seed, addedStream)), random: rand.New(rand.NewPCG(s.options.Seed, s.options.Seed)),
		downtimes: rand.New(rand.NewPCG(s.options.Seed, 0)), replacements: rand.New(rand.NewPCG(s.options.Seed, 1)), machines: s.machines,
		store: s.store, saved: s.store.Copy(), ledger: s.ledger, version: 1, busy: map[*machine]bool{},
	}
	for _, m := range s.machines {
		crashed := func() { f.restartCrashedLater(m) }
		m.workerCrashed.Store(&crashed)
	}
	return f
}

func (s *soak) start() error {
	for number := range s.options.Machines {
		m, err := newMachine(fmt.Sprintf("node-%d", number), fmt.Sprintf("zone-%d", number%zones), s.options.Network.Machine(number), s.store, s.ledger)
		if err != nil {
			return err
		}
		m.runTime = s.options.RunTime
		if s.options.Crowd > 0 {
			m.descriptors = crowdDescriptors
		}
		if err := m.startNode(); err != nil {
			return err
		}
		s.machines = append(s.machines, m)
		if _, err := m.startNextWorker(); err != nil {
			return err
		}
	}
	if !s.within(s.allReady) {
		return ErrStart.New("not all nodes are ready")
	}
	return nil
}

// play has callers send requests and injects faults for the duration of the run.
func (s *soak) play(ctx context.Context, injector *faults) {
	s.callWhile(ctx, func() {
		bounded, cancel := context.WithTimeout(ctx, s.options.Duration)
		defer cancel()
		var varying sync.WaitGroup
		defer varying.Wait()
		varying.Go(func() { varyAnswers(bounded, s.options.Seed, s.machines) })
		varying.Go(func() { injector.breakAnswers(bounded) })
		crowd := crowd{soak: s, random: rand.New(rand.NewPCG(s.options.Seed, crowdStream)), members: s.options.Crowd}
		varying.Go(func() { crowd.run(bounded) })
		injector.run(bounded)
	})
}

// callWhile has callers send requests until work returns.
func (s *soak) callWhile(ctx context.Context, work func()) {
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	var callers sync.WaitGroup
	for caller := range s.options.Callers {
		callers.Go(func() { callOn(calling, s.options.Network.Callers(), s.machines, s.ledger, caller) })
	}
	callers.Go(func() { s.watchVersions(calling) })
	work()
	stopCalling()
	callers.Wait()
}

// watchVersions checks that no node goes back to an older version within one
// incarnation, and that none has contained a panic.
func (s *soak) watchVersions(ctx context.Context) {
	for ctx.Err() == nil {
		for _, m := range s.machines {
			m.checkVersion(s.ledger)
		}
		wait(ctx, settleInterval)
	}
}

func (m *machine) checkVersion(l *ledger) {
	m.currentLife().check(false)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	version := m.node.Version()
	if version < m.lowest {
		l.fail("%s went back from version %d to %d", m.id, m.lowest, version)
	}
	l.checkInForce(m.id, version)
	m.lowest = max(m.lowest, version)
}

// checkSettled checks that after the last fault each node has the last version in
// force, accepts its keys alone and serves calls, and that each worker gets requests.
func (s *soak) checkSettled(version uint64) {
	s.options.Network.Heal()
	s.store.SetFaults("", hostedstore.Faults{})
	for _, m := range s.machines {
		s.store.SetFaults(m.id, hostedstore.Faults{})
	}
	if !s.within(s.allReady) {
		s.ledger.fail("not all nodes are ready after the last fault")
	}
	s.checkVersions(version, "after the last fault")
	for _, m := range s.machines {
		if !s.within(func() bool { return s.serves(m, version) }) {
			s.ledger.fail("%s does not serve version %d after the last fault", m.id, version)
		}
		if !s.within(func() bool { return s.acceptsOnlyCurrentKey(m, version) }) {
			s.ledger.fail("%s does not take the keys of version %d alone after the last fault", m.id, version)
		}
	}
	for _, m := range s.machines {
		if !s.within(func() bool { return slices.Equal(m.believed(), s.nodeIDs()) }) {
			s.ledger.fail("node %s takes %v to be there after the last fault, there are %v", m.nodeID(), m.believed(), s.nodeIDs())
		}
	}
	for _, m := range s.machines {
		before := m.worker.runs.Load()
		if !s.within(func() bool { s.saturate(m, version); return m.worker.runs.Load() > before }) {
			s.ledger.fail("worker %s gets no request after the last fault", m.worker.incarnation)
		}
	}
}

// checkVersions checks that each node gets a version in force. It comes before the first request that
// only this version has a route for: the calls that workers make for it may begin at any node.
func (s *soak) checkVersions(version uint64, when string) {
	for _, m := range s.machines {
		if !s.within(func() bool { return m.version() == version }) {
			s.ledger.fail("%s does not have version %d in force %s", m.id, version, when)
		}
	}
}

// nodeIDs returns the identifiers of the nodes that run now, ordered.
func (s *soak) nodeIDs() []string {
	var ids []string
	for _, m := range s.machines {
		ids = append(ids, m.nodeID())
	}
	slices.Sort(ids)
	return ids
}

// saturate sends one machine more requests at a time than all workers but its own have slots, so
// that this worker must get some. If they came one at a time, the node might pick another
// worker, as a faster one, each time.
func (s *soak) saturate(m *machine, version uint64) {
	var requests sync.WaitGroup
	for range len(s.machines) * workerSlots * 2 {
		requests.Go(func() { s.serves(m, version) })
	}
	requests.Wait()
}

// checkRestore restores the store from a copy once more, and checks that the next document of
// the operators comes into force on each node.
func (s *soak) checkRestore(injector *faults) {
	s.store.Restore(injector.saved)
	s.store.Rewrite()
	injector.change()
	s.checkVersions(injector.version, "after the store came back from a copy")
	for _, m := range s.machines {
		if !s.within(func() bool { return s.serves(m, injector.version) }) {
			s.ledger.fail("%s does not serve version %d after the store came back from a copy", m.id, injector.version)
		}
	}
}

func (s *soak) serves(m *machine, version uint64) bool {
	id := fmt.Sprintf("check-%s-%d", m.id, s.checks.Add(1))
	s.ledger.mutex.Lock()
	s.ledger.repeatable[id] = true
	s.ledger.mutex.Unlock()
	status, _, err := send(context.Background(), s.probe, m, http.MethodGet, versionPrefix(version), id)
	return err == nil && status == statusServed
}

func (s *soak) allReady() bool {
	for _, m := range s.machines {
		if !m.ready(s.probe) {
			return false
		}
	}
	return true
}

func (s *soak) within(condition func() bool) bool {
	deadline := time.Now().Add(settleBound)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(settleInterval)
	}
	return true
}

// finish ends the deployment and returns the report, with what its nodes did until their end.
func (s *soak) finish() Report {
	s.end()
	return s.ledger.result()
}

// end ends the deployment.
func (s *soak) end() {
	for _, m := range s.machines {
		m.endNode(false)
		if m.worker != nil {
			m.worker.kill()
		}
	}
	s.probe.CloseIdleConnections()
}
