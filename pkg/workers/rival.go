package workers

import "time"

// This file tells of two instances at one address. An address has one process: each of the two may be a
// former one whose heartbeats are late, or one that another writer has made up.

// Rival is the ready worker of another instance at the address of a heartbeat.
type Rival struct {
	Worker Worker
	// Confirmed is set when the process at the address has said that it is this instance.
	Confirmed bool
	// Silent is set when heartbeats of this instance are missing.
	Silent bool
}

// Rival returns the worker that loses its place when the instance of a heartbeat becomes ready.
func (r *Registry) Rival(heartbeat Heartbeat, now time.Time) (Rival, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for instance, held := range r.workers {
		if instance == heartbeat.Instance || held.State != StateReady || held.Address != heartbeat.Address {
			continue
		}
		return Rival{Worker: held.Worker, Confirmed: held.confirmed, Silent: now.Sub(held.lastHeard) >= r.heartbeatTimeout/proofShare}, true
	}
	return Rival{}, false
}

// Confirm records that the process at the address of an instance has said that it is this instance.
func (r *Registry) Confirm(instance string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if held, known := r.workers[instance]; known {
		held.confirmed = true
	}
}
