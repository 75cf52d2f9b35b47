package workers

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds of the registry.
const (
	// maximumNameLength bounds identifiers, services and addresses, in bytes.
	maximumNameLength = 200
	maximumSlots      = 1 << 16
	// promiseLife is how long a promise is remembered; heartbeats are no later.
	promiseLife = 2 * time.Minute
	// maximumWorkers bounds how many registrations are kept.
	maximumWorkers = 64
)

// Heartbeat is what a worker says of itself.
type Heartbeat struct {
	Instance, Service, Address string
	// StartedAt is as in Worker.
	StartedAt int64
	// Version is that of the worker's software; empty when it does not say.
	Version  string
	Slots    int
	Draining bool
	Sequence uint64
	// ColdRemaining is how much longer the worker is slow from its start.
	ColdRemaining time.Duration
	// Busy is as in Worker.
	Busy int
}

// Change tells what a call did to a registration.
type Change struct {
	Worker Worker
	// Changed is set when others must be told.
	Changed bool
}

// Registry holds the workers beside one node. It is safe for concurrent use.
type Registry struct {
	silence time.Duration
	mutex   sync.Mutex
	workers map[string]*registration
}

type registration struct {
	Worker
	heard time.Time
	first time.Time
	// rival is an earlier life by its birth that goes on saying something.
	rival rival
}

// rival is a life of an instance that was born before the one that is registered. Mostly its
// heartbeats are late; but the clock of a machine may have been set back between two lives,
// and then it is the later one.
type rival struct {
	life     Incarnation
	sequence uint64
	since    time.Time
}

// lives takes a heartbeat of an earlier life by its birth. It reports whether that life is the
// one that lives: the registered one has said nothing for the given time, and this one has
// gone on for as long, which late heartbeats, that come together, do not.
func (r *registration) lives(beat Heartbeat, silence time.Duration, now time.Time) bool {
	life := Incarnation{Instance: beat.Instance, StartedAt: beat.StartedAt}
	if r.rival.life != life || now.Sub(r.heard) <= silence {
		r.rival = rival{life: life, sequence: beat.Sequence, since: now}
		return false
	}
	newer := beat.Sequence > r.rival.sequence
	r.rival.sequence = max(r.rival.sequence, beat.Sequence)
	return newer && now.Sub(r.rival.since) > silence
}

// NewRegistry returns an empty registry. A worker that is not heard from for the
// given time is silent.
func NewRegistry(silence time.Duration) *Registry {
	return &Registry{silence: silence, workers: map[string]*registration{}}
}

// Heartbeat takes a heartbeat. One that is not newer than what is known changes
// nothing and is no error, since the worker did nothing wrong. A later life of the instance
// begins anew: drain, sign-off and sequence of the former one are not its own.
func (r *Registry) Heartbeat(beat Heartbeat, now time.Time) (Change, error) {
	if err := check(beat); err != nil {
		return Change{}, err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	held, known := r.workers[beat.Instance]
	life := Incarnation{Instance: beat.Instance, StartedAt: beat.StartedAt}
	switch {
	case known && held.StartedAt != 0 && beat.StartedAt == 0:
		return Change{}, ErrInvalid.New("born is missing, and was told before")
	case known && life.Before(held.Incarnation()) && !held.lives(beat, r.silence, now):
		return Change{Worker: held.Worker}, nil
	case known && life != held.Incarnation() && held.StartedAt != 0:
		delete(r.workers, beat.Instance)
		known = false
	case known && (beat.Sequence <= held.Sequence || held.State.DrainCommitted() && !beat.Draining):
		return Change{Worker: held.Worker}, nil
	}
	if !known {
		held = &registration{first: now}
		r.makeRoom()
		r.workers[beat.Instance] = held
	}
	before := held.Worker
	held.heard = now
	held.Worker = Worker{
		Instance: beat.Instance, StartedAt: beat.StartedAt, Service: beat.Service, Address: beat.Address, Version: beat.Version,
		Slots: beat.Slots, State: StateReady, Sequence: beat.Sequence, Busy: before.Busy,
	}
	if beat.ColdRemaining > 0 {
		held.WarmUntil = now.Add(beat.ColdRemaining)
	}
	if beat.Draining {
		held.State = StateDraining
	}
	if before.State == StateGone {
		held.State = StateGone
	}
	if held.State == StateReady {
		r.silenceOthers(held)
	}
	changed := before.State != held.State || before.StartedAt != held.StartedAt || before.Service != held.Service || before.Slots != held.Slots || before.Address != held.Address || before.Version != held.Version
	return Change{Worker: held.Worker, Changed: changed}, nil
}

// silenceOthers marks the other ready workers at the address of one that was just heard
// from as silent: an address has one process, and the others are former lives that have
// crashed. Other nodes would go on sending them work until they are silent by themselves.
// A late heartbeat of a former life is put right by the next one of the living. The mutex
// is held.
func (r *Registry) silenceOthers(heard *registration) {
	for _, other := range r.workers {
		if other != heard && other.State == StateReady && other.Address == heard.Address {
			other.State = StateUnresponsive
		}
	}
}

// RegisterProbed takes what a worker has told when it was asked. It changes nothing once
// a worker is registered, or was promised to be left alone: heartbeats and promises
// tell more.
func (r *Registry) RegisterProbed(beat Heartbeat, now time.Time) (Change, error) {
	if err := check(beat); err != nil {
		return Change{}, err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, known := r.workers[beat.Instance]; known {
		return Change{}, nil
	}
	for _, held := range r.workers {
		if held.State == StateReady {
			return Change{}, nil
		}
	}
	introduced := Worker{Instance: beat.Instance, Service: beat.Service, Address: beat.Address, Slots: beat.Slots, State: StateReady, Busy: beat.Busy}
	r.makeRoom()
	r.workers[beat.Instance] = &registration{Worker: introduced, heard: now, first: now}
	return Change{Worker: introduced, Changed: true}, nil
}

func check(beat Heartbeat) error {
	for name, value := range map[string]string{"instance": beat.Instance, "service": beat.Service, "address": beat.Address} {
		if value == "" || len(value) > maximumNameLength {
			return ErrInvalid.New("%s must have 1 to %d bytes", name, maximumNameLength)
		}
	}
	if len(beat.Version) > maximumNameLength {
		return ErrInvalid.New("version must have at most %d bytes", maximumNameLength)
	}
	if beat.Slots < 1 || beat.Slots > maximumSlots {
		return ErrInvalid.New("slots must be from 1 to %d", maximumSlots)
	}
	return nil
}

// Leave takes a worker's sign-off, of the life that is known if it tells none. A worker
// that was never heard of is remembered too, so that a late heartbeat does not bring it in.
func (r *Registry) Leave(life Incarnation, now time.Time) (Change, error) {
	if life.Instance == "" || len(life.Instance) > maximumNameLength {
		return Change{}, ErrInvalid.New("instance must have 1 to %d bytes", maximumNameLength)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.promise(Worker{Instance: life.Instance, StartedAt: life.StartedAt, State: StateGone}, now), nil
}

// Learn takes the promises that a former life of the node has given. It returns
// the registrations that changed by it.
func (r *Registry) Learn(former []Worker, now time.Time) []Worker {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var changed []Worker
	for _, worker := range former {
		if !worker.State.DrainCommitted() {
			continue
		}
		if change := r.promise(worker, now); change.Changed {
			changed = append(changed, change.Worker)
		}
	}
	return changed
}

// promise brings a registration to a promised state. A promise of a former life says nothing
// of the one that is known. The mutex is held.
func (r *Registry) promise(worker Worker, now time.Time) Change {
	held, known := r.workers[worker.Instance]
	switch {
	case known && worker.Incarnation().Before(held.Incarnation()):
		return Change{Worker: held.Worker}
	case known && held.Incarnation().Before(worker.Incarnation()):
		delete(r.workers, worker.Instance)
		known = false
	}
	if !known {
		r.makeRoom()
		r.workers[worker.Instance] = &registration{Worker: worker, heard: now, first: now}
		return Change{Worker: worker, Changed: true}
	}
	held.heard = now
	held.Sequence = max(held.Sequence, worker.Sequence)
	held.StartedAt = max(held.StartedAt, worker.StartedAt)
	if held.State == StateGone || held.State == worker.State {
		return Change{Worker: held.Worker}
	}
	held.State = worker.State
	return Change{Worker: held.Worker, Changed: true}
}

// Expire marks workers that were not heard from as silent and forgets promises
// that no late heartbeat can break any more. It returns what changed.
func (r *Registry) Expire(now time.Time) []Worker {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var changed []Worker
	for instance, held := range r.workers {
		quiet := now.Sub(held.heard)
		switch {
		case quiet > promiseLife:
			delete(r.workers, instance)
			changed = append(changed, held.Worker)
		case held.State == StateReady && quiet > r.silence:
			held.State = StateUnresponsive
			changed = append(changed, held.Worker)
		}
	}
	return changed
}

// makeRoom forgets the registration that was heard from least lately when there
// are too many. The mutex is held.
func (r *Registry) makeRoom() {
	if len(r.workers) < maximumWorkers {
		return
	}
	oldest := ""
	for instance, held := range r.workers {
		if oldest == "" || held.heard.Before(r.workers[oldest].heard) {
			oldest = instance
		}
	}
	delete(r.workers, oldest)
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
// ready ones the one that came last. An empty service takes any.
func (r *Registry) Ready(service string) (Worker, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var best *registration
	for _, held := range r.workers {
		if held.State != StateReady || service != "" && held.Service != service {
			continue
		}
		if best == nil || held.first.After(best.first) {
			best = held
		}
	}
	if best == nil {
		return Worker{}, false
	}
	return best.Worker, true
}

// Service returns the service of the worker that registered last, also when it
// is leaving; empty when none did.
func (r *Registry) Service() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var last *registration
	for _, held := range r.workers {
		if held.Service != "" && (last == nil || held.first.After(last.first)) {
			last = held
		}
	}
	if last == nil {
		return ""
	}
	return last.Service
}
