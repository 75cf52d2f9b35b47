package workers

import (
	"net/netip"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/levertide/levertide/pkg/contain"
)

// Bounds of the registry.
const (
	// maximumNameBytes bounds identifiers, services and versions.
	maximumNameBytes = 200
	maximumSlots     = 1 << 16
	// maximumWorkers bounds the number of registrations.
	maximumWorkers = 64
)

// CommitmentRetention is how long a drain commitment is kept. No heartbeat is delayed longer.
const CommitmentRetention = 2 * time.Minute

// Heartbeat is what a worker reports about itself.
type Heartbeat struct {
	Instance, Service string
	Address           netip.AddrPort
	// StartedAt is as in Worker.
	StartedAt int64
	// Version is the version of the worker's software; empty when the worker does not report it.
	Version  string
	Slots    int
	Draining bool
	Sequence uint64
	// ColdRemaining is the time left of the worker's slow start.
	ColdRemaining time.Duration
	// Busy and Limit are as in Worker.
	Busy  int
	Limit Limit
}

// Change describes the effect of a call on a registration.
type Change struct {
	Worker Worker
	// Changed is set when other nodes must be notified.
	Changed bool
	// Ignored says why the call had no effect: a leave that it asks for is not recorded, and must not
	// be acknowledged. It is empty for a call that has an effect, or that repeats one.
	Ignored IgnoreReason
}

// Registry holds the workers beside one node. It is safe for concurrent use.
type Registry struct {
	heartbeatTimeout time.Duration
	mutex            contain.Mutex
	workers          map[string]*registration
}

type registration struct {
	Worker
	lastHeard    time.Time
	registeredAt time.Time
	// contender is another run of the worker, which may be the one that runs now.
	contender contender
	// confirmed is as in Rival.
	confirmed bool
	// served is set once the instance may have had work. Anyone can make up leaves of instances that never had.
	served bool
	// learned is set for a drain commitment of a previous incarnation of the node while nothing of its
	// worker was heard.
	learned bool
	// fromStart is set for an incarnation that was heard from its start on: one before it would have been
	// heard, too.
	fromStart bool
	// abandoned is the sequence up to which a run with the same start time had counted.
	abandoned uint64
	// jumped is set once another writer has counted far ahead of the worker, which had come to jumpedFrom.
	jumped     bool
	jumpedFrom uint64
}

// NewRegistry returns an empty registry. A worker that sends no heartbeat for the
// given time is unresponsive.
func NewRegistry(heartbeatTimeout time.Duration) *Registry {
	return &Registry{heartbeatTimeout: heartbeatTimeout, workers: map[string]*registration{}}
}

// Heartbeat records a heartbeat. One that does not tell anything new of the running incarnation has
// no effect and is no error, since the worker did nothing wrong. A new incarnation starts afresh: the
// drain, sign-off and sequence of the previous one do not apply to it.
func (r *Registry) Heartbeat(heartbeat Heartbeat, now time.Time) (Change, error) {
	if err := validate(heartbeat); err != nil {
		return Change{}, err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	held, known := r.workers[heartbeat.Instance]
	switch {
	case !known:
		return r.register(heartbeat, nil, now), nil
	case held.StartedAt != 0 && heartbeat.StartedAt == 0:
		return Change{}, ErrInvalid.New("born is missing, but is known of this instance")
	case !held.Incarnation().Same(heartbeat.incarnation()):
		if reason := r.judge(held, heartbeat.claim(), now); reason != "" {
			return held.ignore(reason), nil
		}
		return r.register(heartbeat, held.succession(heartbeat.StartedAt), now), nil
	case heartbeat.Draining:
		return r.drainHeld(held, heartbeat, now), nil
	}
	if reason := r.judgeSequence(held, heartbeat, now); reason != "" {
		return held.ignore(reason), nil
	}
	return r.update(held, heartbeat, now), nil
}

// register replaces the registration of an instance by one of a new incarnation, which succeeds those
// with the given start times. The caller holds the mutex.
func (r *Registry) register(heartbeat Heartbeat, predecessors []int64, now time.Time) Change {
	served := r.hasServed(heartbeat.Instance)
	delete(r.workers, heartbeat.Instance)
	r.evictOldest()
	held := &registration{registeredAt: now, fromStart: heartbeat.claim().starts, served: served}
	held.Predecessors = predecessors
	r.workers[heartbeat.Instance] = held
	change := r.update(held, heartbeat, now)
	// What the worker has counted to before is not known.
	held.jumped, held.jumpedFrom = heartbeat.Sequence > maximumSequence, 0
	return change
}

// drainHeld records that the registered incarnation says that it drains. That is final, so it holds
// whatever its sequence is: a heartbeat of another writer may have counted further. The caller holds
// the mutex.
func (r *Registry) drainHeld(held *registration, heartbeat Heartbeat, now time.Time) Change {
	if held.ofAbandonedRun(heartbeat.Sequence) {
		return held.ignore(IgnoredSuperseded)
	}
	if heartbeat.Sequence > held.Sequence {
		return r.update(held, heartbeat, now)
	}
	return r.commitToDrain(Worker{Instance: heartbeat.Instance, StartedAt: heartbeat.StartedAt, State: StateDraining}, now)
}

// update records what a heartbeat of the registered incarnation says. The caller holds the mutex.
func (r *Registry) update(held *registration, heartbeat Heartbeat, now time.Time) Change {
	before := held.Worker
	held.noteJump(heartbeat.Sequence)
	held.lastHeard, held.contender, held.learned = now, contender{}, false
	held.Worker = Worker{
		Instance: heartbeat.Instance, StartedAt: heartbeat.StartedAt, Service: heartbeat.Service, Address: heartbeat.Address, Version: heartbeat.Version,
		Slots: heartbeat.Slots, State: StateReady, Sequence: heartbeat.Sequence, Busy: before.Busy, Limit: before.Limit, Predecessors: before.Predecessors,
	}
	if heartbeat.ColdRemaining > 0 {
		held.WarmUntil = now.Add(heartbeat.ColdRemaining)
	}
	if heartbeat.Draining {
		held.State = StateDraining
	}
	if before.State == StateGone {
		held.State = StateGone
	}
	if held.State == StateReady {
		held.served = true
		r.markOthersUnresponsive(held)
	}
	changed := before.State != held.State || before.StartedAt != held.StartedAt || before.Service != held.Service || before.Slots != held.Slots || before.Address != held.Address || before.Version != held.Version
	return Change{Worker: held.Worker, Changed: changed}
}

// markOthersUnresponsive marks the other ready workers at the address of the current one as
// unresponsive: an address has one process, so the others are previous incarnations that have
// crashed. Other nodes would otherwise send them work until their heartbeats time out.
// If a late heartbeat of a previous incarnation marks the running worker, that worker's next
// heartbeat corrects it. The caller holds the mutex.
func (r *Registry) markOthersUnresponsive(current *registration) {
	for _, other := range r.workers {
		if other != current && other.State == StateReady && other.Address == current.Address {
			other.State = StateUnresponsive
		}
	}
}

// RegisterProbed registers a worker by its answer to a query of the node. It changes nothing
// if the worker is known, or if any worker is ready: heartbeats and drain commitments carry
// more information and take precedence.
func (r *Registry) RegisterProbed(probed Heartbeat, now time.Time) (Change, error) {
	if err := validate(probed); err != nil {
		return Change{}, err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, known := r.workers[probed.Instance]; known {
		return Change{}, nil
	}
	for _, held := range r.workers {
		if held.State == StateReady {
			return Change{}, nil
		}
	}
	registered := Worker{Instance: probed.Instance, Service: probed.Service, Address: probed.Address, Slots: probed.Slots, State: StateReady, Busy: probed.Busy, Limit: probed.Limit}
	r.evictOldest()
	r.workers[probed.Instance] = &registration{Worker: registered, lastHeard: now, registeredAt: now, confirmed: true, served: true}
	return Change{Worker: registered, Changed: true}, nil
}

func validate(heartbeat Heartbeat) error {
	for name, value := range map[string]string{"instance": heartbeat.Instance, "service": heartbeat.Service} {
		if !isName(value) {
			return errName(name)
		}
	}
	if !heartbeat.Address.IsValid() {
		return ErrInvalid.New("address is missing")
	}
	if heartbeat.Version != "" && !isName(heartbeat.Version) {
		return errName("version")
	}
	if heartbeat.Slots < 1 || heartbeat.Slots > maximumSlots {
		return ErrInvalid.New("slots must be from 1 to %d", maximumSlots)
	}
	return nil
}

// isName reports whether a text may identify something to other nodes: their messages carry UTF-8
// only.
func isName(text string) bool {
	return text != "" && len(text) <= maximumNameBytes && utf8.ValidString(text)
}

func errName(field string) error {
	return ErrInvalid.New("%s must have 1 to %d bytes of UTF-8", field, maximumNameBytes)
}

// Leave records a worker's sign-off; one without a start time is of the registered incarnation.
// An unknown worker is recorded too, so that a late heartbeat does not register it.
func (r *Registry) Leave(incarnation Incarnation, now time.Time) (Change, error) {
	if !isName(incarnation.Instance) {
		return Change{}, errName("instance")
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	leaving := Worker{Instance: incarnation.Instance, StartedAt: incarnation.StartedAt, State: StateGone}
	held, known := r.workers[incarnation.Instance]
	if !known || held.Incarnation().Same(incarnation) {
		return r.commitToDrain(leaving, now), nil
	}
	if reason := r.judge(held, held.signOff(incarnation), now); reason != "" {
		return held.ignore(reason), nil
	}
	return r.replaceByCommitted(leaving, held.succession(leaving.StartedAt), now), nil
}

// Drain records that a worker leaves, which its answers may state before its heartbeats do. A worker
// that is not registered is left alone: nothing is sent to it.
func (r *Registry) Drain(incarnation Incarnation, now time.Time) Change {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	held, known := r.workers[incarnation.Instance]
	if !known || !held.Incarnation().Same(incarnation) {
		return Change{Ignored: IgnoredUnknown}
	}
	return r.commitToDrain(Worker{Instance: incarnation.Instance, StartedAt: held.StartedAt, State: StateDraining}, now)
}

// Learn applies the drain commitments that a previous incarnation of the node has made, given its
// workers. It returns the registrations that changed.
func (r *Registry) Learn(previous []Worker, now time.Time) []Worker {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var changed []Worker
	for _, worker := range previous {
		if !worker.State.DrainCommitted() || isSuperseded(worker, previous) {
			continue
		}
		if change := r.learnCommitment(worker, now); change.Changed {
			changed = append(changed, change.Worker)
		}
	}
	return changed
}

// learnCommitment applies one drain commitment of a previous incarnation of the node. Other nodes tell it
// again and again, which is no sign of life of the worker. The caller holds the mutex.
func (r *Registry) learnCommitment(worker Worker, now time.Time) Change {
	held, known := r.workers[worker.Instance]
	if known && !held.Incarnation().Same(worker.Incarnation()) {
		if !worker.succeeds(held.Worker) {
			held.precededBy(worker.StartedAt)
			return held.ignore(IgnoredSuperseded)
		}
		delete(r.workers, worker.Instance)
		known = false
	}
	heard := registration{learned: true}
	if known {
		heard = *held
	}
	change := r.commitToDrain(worker, now)
	held = r.workers[worker.Instance]
	held.contender, held.learned, held.served = heard.contender, heard.learned, true
	if known {
		held.lastHeard = heard.lastHeard
	}
	return change
}

// replaceByCommitted replaces a registration by one of another incarnation with a drain commitment.
// The caller holds the mutex.
func (r *Registry) replaceByCommitted(worker Worker, predecessors []int64, now time.Time) Change {
	served := r.hasServed(worker.Instance)
	delete(r.workers, worker.Instance)
	worker.Predecessors = predecessors
	change := r.commitToDrain(worker, now)
	r.workers[worker.Instance].served = served
	return change
}

// commitToDrain moves a registration to a state with a drain commitment. A registration of the
// instance must be of the same incarnation. The caller holds the mutex.
func (r *Registry) commitToDrain(worker Worker, now time.Time) Change {
	held, known := r.workers[worker.Instance]
	if !known {
		r.evictOldest()
		r.workers[worker.Instance] = &registration{Worker: worker, lastHeard: now, registeredAt: now}
		return Change{Worker: worker, Changed: true}
	}
	held.lastHeard, held.contender, held.learned = now, contender{}, false
	held.Sequence = max(held.Sequence, worker.Sequence)
	held.StartedAt = max(held.StartedAt, worker.StartedAt)
	for _, startedAt := range worker.Predecessors {
		held.precededBy(startedAt)
	}
	if held.State == StateGone || held.State == worker.State {
		return Change{Worker: held.Worker}
	}
	held.State = worker.State
	return Change{Worker: held.Worker, Changed: true}
}

// Expire marks workers without recent heartbeats as unresponsive and removes registrations
// so old that no late heartbeat can break their drain commitment any more. It returns the
// registrations that changed.
func (r *Registry) Expire(now time.Time) []Worker {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var changed []Worker
	for instance, held := range r.workers {
		elapsed := now.Sub(held.lastHeard)
		switch {
		case elapsed > CommitmentRetention:
			delete(r.workers, instance)
			changed = append(changed, held.Worker)
		case held.State == StateReady && elapsed > r.heartbeatTimeout:
			held.State = StateUnresponsive
			changed = append(changed, held.Worker)
		}
	}
	return changed
}

// hasServed reports whether an instance may have had work. The caller holds the mutex.
func (r *Registry) hasServed(instance string) bool {
	held, known := r.workers[instance]
	return known && held.served
}

// evictOldest removes the least recently heard registration when there are maximumWorkers of them: one of a worker
// that has had work only if there is no other. The caller holds the mutex.
func (r *Registry) evictOldest() {
	if len(r.workers) < maximumWorkers {
		return
	}
	oldest := ""
	for instance, held := range r.workers {
		if oldest == "" || held.goesBefore(r.workers[oldest]) {
			oldest = instance
		}
	}
	delete(r.workers, oldest)
}

// goesBefore reports whether a registration is removed before another one.
func (r *registration) goesBefore(other *registration) bool {
	if r.served != other.served {
		return other.served
	}
	return r.lastHeard.Before(other.lastHeard)
}

// Workers returns all registrations, ordered by instance.
func (r *Registry) Workers() []Worker {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	listed := make([]Worker, 0, len(r.workers))
	for _, held := range r.workers {
		listed = append(listed, held.Worker)
	}
	slices.SortFunc(listed, func(a, b Worker) int { return strings.Compare(a.Instance, b.Instance) })
	return listed
}

// Ready returns the worker that takes the requests of a service: of several
// ready ones the one that registered last. An empty service matches any worker.
func (r *Registry) Ready(service string) (Worker, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var best *registration
	for _, held := range r.workers {
		if held.State != StateReady || service != "" && held.Service != service {
			continue
		}
		if best == nil || held.registeredAt.After(best.registeredAt) {
			best = held
		}
	}
	if best == nil {
		return Worker{}, false
	}
	return best.Worker, true
}

// Service returns the service of the worker that runs: of a ready one rather than of one
// that leaves or is unresponsive, and then of the one heard last; empty when none is known.
func (r *Registry) Service() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var running *registration
	for _, held := range r.workers {
		if held.Service != "" && (running == nil || held.likelierRunningThan(running)) {
			running = held
		}
	}
	if running == nil {
		return ""
	}
	return running.Service
}

// likelierRunningThan reports whether a worker is the likelier of two to be the one that runs.
func (r *registration) likelierRunningThan(other *registration) bool {
	if ready := r.State == StateReady; ready != (other.State == StateReady) {
		return ready
	}
	return r.lastHeard.After(other.lastHeard)
}
