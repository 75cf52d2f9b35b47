package workers

import "time"

// This file tells of two instances at one address. An address has one process: each of the two may be a
// former one whose heartbeats are late, or one that another writer has made up.

// Rival is the ready worker of another instance at the address of a heartbeat.
type Rival struct {
	Worker Worker
	// Confirmed is set when the process at the address has said, or shown by a served call, that it is this instance.
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

// Confirm records that the process at the address of an incarnation is this incarnation. It has no effect on another
// incarnation of the instance.
func (r *Registry) Confirm(incarnation Incarnation) { r.setConfirmed(incarnation, true) }

// Unconfirm records that the process at the address of an incarnation denies that it is this incarnation, which takes
// back what Confirm has recorded. It has no effect on another incarnation of the instance.
func (r *Registry) Unconfirm(incarnation Incarnation) { r.setConfirmed(incarnation, false) }

func (r *Registry) setConfirmed(incarnation Incarnation, confirmed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if held, known := r.workers[incarnation.Instance]; known && held.Incarnation().Same(incarnation) {
		held.confirmed = confirmed
	}
}
