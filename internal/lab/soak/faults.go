package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/lab/hostedstore"
)

const (
	shortestFaultPause = 50 * time.Millisecond
	longestFaultPause  = 400 * time.Millisecond
	longestFault       = 1500 * time.Millisecond
	// replacementShare is the share of the restarts of nodes after which another machine has the
	// addresses.
	replacementShare = 0.3
)

// faults injects faults into machines, the store and the network, as the seed decides.
type faults struct {
	options  Options
	random   *rand.Rand
	machines []*machine
	store    *hostedstore.Store
	ledger   *ledger
	// added decides the faults that come beside the others.
	added *rand.Rand
	// writing guards version and moving, the services of the routes that come and go.
	writing sync.Mutex
	version uint64
	moving  []string
	// quick counts the successions of quick versions so far.
	quick int
	// panicking counts the periods in which requests panic.
	panicking int
	// saved is the copy from which the store will be restored next.
	saved *hostedstore.Copy
	// restoredAt is when the store was last restored from a copy; guarded by mutex.
	restoredAt time.Time
	// requests counts the different crashing requests so far.
	requests int
	// downtimes decides how long crashed workers stay down, and replacements which machines come
	// back as others; both are guarded by mutex.
	downtimes, replacements *rand.Rand
	// busy holds the machines with a fault of their own in progress; guarded by mutex.
	mutex   sync.Mutex
	busy    map[*machine]bool
	running sync.WaitGroup
	err     error
}

// run injects faults until the context ends, and waits for the last of them to end.
func (f *faults) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := shortestFaultPause + time.Duration(f.random.Int64N(int64(longestFaultPause-shortestFaultPause)))
		wait(ctx, pause)
		f.inject(ctx)
		f.injectAdded(ctx)
	}
	f.running.Wait()
}

func (f *faults) inject(ctx context.Context) {
	duration := time.Duration(f.random.Int64N(int64(longestFault)))
	target := f.machines[f.random.IntN(len(f.machines))]
	f.injectKind(ctx, f.random.IntN(faultKinds), target, duration)
}

// injectAdded sometimes injects a fault of the kinds that come beside the others.
func (f *faults) injectAdded(ctx context.Context) {
	if f.added.Float64() >= addedShare {
		return
	}
	target := f.machines[f.added.IntN(len(f.machines))]
	f.injectKind(ctx, faultKinds+f.added.IntN(addedKinds), target, 0)
}

const (
	// faultKinds is how many kinds of faults there are, addedKinds how many come beside them, drawn by
	// random numbers of their own.
	faultKinds = 23
	addedKinds = 6
	// addedShare is how often one of the latter is drawn with one of the former.
	addedShare = 0.3
)

// injectKind injects a fault of the given kind.
func (f *faults) injectKind(ctx context.Context, kind int, target *machine, duration time.Duration) {
	f.ledger.countFault()
	switch kind {
	case 0, 1, 2:
		f.change()
	case 3:
		f.onMachine(target, "crash of the node", func() { f.restartOrReplace(ctx, target, false, duration) })
	case 4:
		f.onMachine(target, "planned stop of the node", func() { f.restartOrReplace(ctx, target, true, 0) })
	case 5:
		f.onMachine(target, "leave of the worker", func() { f.replaceWorker(ctx, target, false) })
	case 6:
		f.crashWorker(ctx, target)
	case 7:
		f.disturbStore(ctx, target, duration)
	case 8:
		f.loseAnswers(ctx, target, duration)
	case 9:
		f.onMachine(target, "leave of the worker, and crash of the node that acknowledged it", func() { f.crashAfterDrainCommitment(ctx, target) })
	case 10:
		f.crashMany(ctx, duration)
	case 11:
		f.cutOff(ctx, target, duration)
	case 12:
		target.disturb(func() { f.options.Network.Reset(f.indexOf(target)) })
	case 13:
		f.sendCrashing(ctx, crashingTime)
	case 14:
		f.suspend(ctx, target, duration)
	case 15:
		f.rollingStop(ctx)
	case 16:
		f.restoreStore(ctx, duration)
	case 17:
		f.onMachine(target, "late heartbeats of a worker's previous incarnation", func() { f.restartWithLateHeartbeats(ctx, target) })
	case 18:
		f.foreignEntries()
	case 19:
		f.onMachine(target, "leave of the worker, restore of the store from a copy, and crash of all nodes", func() { f.loseDrainCommitment(ctx, target) })
	case 20:
		f.limitWorker(ctx, target)
	case 21:
		f.onMachine(target, "leave of the worker by its answers", func() { f.leaveByAnswers(ctx, target) })
	case 22:
		f.jumpClock(ctx, target, duration)
	case 23:
		f.quickVersions(ctx)
	case 24:
		f.oddForeignEntries(target)
	case 25:
		f.sendOddHeartbeats(ctx, target)
	case 26:
		f.panicInRequests(ctx, target)
	case 27:
		f.panicInVersion(ctx)
	case 28:
		f.onMachine(target, "panic of a part of the node", func() { f.panicInPart(ctx, target) })
	}
}

// crashWorker crashes a worker for a reason unrelated to any request.
func (f *faults) crashWorker(ctx context.Context, m *machine) {
	f.onMachine(m, "crash of the worker", func() { f.replaceWorker(ctx, m, true) })
}

// crashAfterDrainCommitment drains a worker, kills the node that has acknowledged the drain, and
// makes an old heartbeat the first one that the next incarnation of the node receives.
func (f *faults) crashAfterDrainCommitment(ctx context.Context, m *machine) {
	leaving := m.worker
	leaving.draining.Store(true)
	wait(ctx, drainSlack+heartbeatInterval)
	leaving.heartbeatsPaused.Store(true)
	f.restartUnderLeaving(ctx, m, leaving)
}

// restartUnderLeaving crashes the node beside a leaving worker, and makes old heartbeats the
// first ones that its next incarnation receives. The worker is then replaced.
func (f *faults) restartUnderLeaving(ctx context.Context, m *machine, leaving *worker) {
	m.endNode(false)
	f.recordError(m.startNode())
	for range lateHeartbeats {
		leaving.send(ctx, m, leaving.sequence.Load()-1, false)
		wait(ctx, heartbeatInterval)
	}
	leaving.kill()
	_, err := m.startNextWorker()
	f.recordError(err)
}

// crashMany crashes most nodes at the same moment.
func (f *faults) crashMany(ctx context.Context, down time.Duration) {
	f.forgetIfRestored()
	for _, m := range f.machines {
		if f.random.IntN(4) > 0 {
			f.onMachine(m, "crash of the node, together with others", func() { f.restartOrReplace(ctx, m, false, down) })
		}
	}
}

// cutOff cuts a machine off from some others, and sometimes from the store. All cuts
// are healed together, so one may end early because another one ends.
func (f *faults) cutOff(ctx context.Context, m *machine, duration time.Duration) {
	cut := false
	for n, other := range f.machines {
		if other != m && f.random.IntN(2) == 0 {
			cut = f.options.Network.Cut(f.indexOf(m), n) || cut
		}
	}
	if !cut {
		return
	}
	f.options.Log("%s: cut off from some other machines", m.id)
	storeUnresponsive := f.random.IntN(2) == 0
	if storeUnresponsive {
		f.store.SetFaults(m.id, hostedstore.Faults{Silent: true})
	}
	f.running.Go(func() {
		wait(ctx, duration)
		f.ledger.recordDisturbance(time.Now())
		f.options.Network.Heal()
		if storeUnresponsive {
			f.store.SetFaults(m.id, hostedstore.Faults{})
		}
	})
}

// suspend simulates the suspension of a machine: it cuts the machine off from everything and
// then reports to it that its monotonic clock has not counted that time.
func (f *faults) suspend(ctx context.Context, m *machine, duration time.Duration) {
	f.onMachine(m, "suspension of the node", func() {
		for n, other := range f.machines {
			if other != m {
				f.options.Network.Cut(f.indexOf(m), n)
			}
		}
		f.store.SetFaults(m.id, hostedstore.Faults{Silent: true})
		wait(ctx, duration)
		f.ledger.recordDisturbance(time.Now())
		m.suspended.Store(&suspension{until: time.Now(), duration: duration})
		f.options.Network.Heal()
		f.store.SetFaults(m.id, hostedstore.Faults{})
	})
}

// rollingStop stops and starts all nodes as planned, one after the other, while documents
// are written.
func (f *faults) rollingStop(ctx context.Context) {
	f.options.Log("rolling stop of all nodes, with changes")
	machines := slices.Clone(f.machines)
	f.random.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	for _, m := range machines[:len(machines)/2] {
		f.change()
		f.onMachine(m, "planned stop of the node, in a series", func() { f.restartOrReplace(ctx, m, true, 0) })
		wait(ctx, shortestFaultPause)
	}
}

// indexOf returns the index of a machine.
func (f *faults) indexOf(m *machine) int { return slices.Index(f.machines, m) }

// change writes the next document. Sometimes the store then drops its history, or is copied
// for a later restore.
func (f *faults) change() {
	step := 1 + uint64(f.random.IntN(3))
	f.write(func(d *document) { d.Version += step })
	if f.random.IntN(4) == 0 {
		f.store.Forget()
	}
	if f.random.IntN(4) == 0 {
		f.saved = f.store.Copy()
	}
}

// onMachine starts a fault of a machine, unless one is in progress there. It reports
// whether it has started it.
func (f *faults) onMachine(m *machine, description string, fault func()) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.busy[m] {
		return false
	}
	f.busy[m] = true
	f.options.Log("%s: %s", m.id, description)
	f.running.Go(func() {
		fault()
		f.mutex.Lock()
		delete(f.busy, m)
		f.mutex.Unlock()
	})
	return true
}

func (f *faults) restart(ctx context.Context, m *machine, planned bool, down time.Duration) {
	m.endNode(planned)
	wait(ctx, down)
	f.recordError(m.startNode())
}

// restartOrReplace is restart, but sometimes another machine comes up at the addresses.
func (f *faults) restartOrReplace(ctx context.Context, m *machine, planned bool, down time.Duration) {
	if !f.drawReplacement() {
		f.restart(ctx, m, planned, down)
		return
	}
	m.endNode(planned)
	wait(ctx, down)
	f.options.Log("%s: another machine comes up at the addresses", m.id)
	f.recordError(m.replace())
}

func (f *faults) drawReplacement() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.replacements.Float64() < replacementShare
}

func (f *faults) replaceWorker(ctx context.Context, m *machine, crash bool) {
	if crash {
		m.worker.kill()
	} else {
		m.worker.leave(ctx)
	}
	_, err := m.startNextWorker()
	f.recordError(err)
}

func (f *faults) disturbStore(ctx context.Context, m *machine, duration time.Duration) {
	kinds := []hostedstore.Faults{{Refuse: true}, {Silent: true}, {LoseAnswers: true}, {Delay: 300 * time.Millisecond}}
	node := m.id
	if f.random.IntN(2) == 0 {
		node = ""
	}
	injected := kinds[f.random.IntN(len(kinds))]
	f.options.Log("store for %q: %+v", node, injected)
	f.store.SetFaults(node, injected)
	f.running.Go(func() {
		wait(ctx, duration)
		f.store.SetFaults(node, hostedstore.Faults{})
	})
}

func (f *faults) loseAnswers(ctx context.Context, m *machine, duration time.Duration) {
	f.onMachine(m, "answers of the worker are lost", func() {
		m.worker.lostAnswerPercent.Store(30)
		wait(ctx, duration)
		m.worker.lostAnswerPercent.Store(0)
	})
}

// recordError records an error of the soak itself, which makes the run fail.
func (f *faults) recordError(err error) {
	if err == nil {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.err = err
}

func wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
