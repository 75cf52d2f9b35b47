package admission

import "time"

// Priority orders requests in the queue. The lowest is refused first.
type Priority uint8

// The priorities. A request that states none should be admitted with
// PriorityNormal.
const (
	PriorityLow Priority = iota
	PriorityNormal
	PriorityHigh

	priorityCount = 3
)

// Default values of Options.
const (
	// DefaultSlots is the number of slots of a worker that does not state one.
	DefaultSlots = 6
	// DefaultConnections is the number of connections of a worker that does not
	// state one.
	DefaultConnections = 130
	// DefaultQueuePerSlot is the length of the queue for each slot.
	DefaultQueuePerSlot = 2
	// DefaultQueueWait is the longest wait in the queue.
	DefaultQueueWait = 250 * time.Millisecond
	// NoQueue as Options.Queue refuses a request at once when no slot is free.
	NoQueue = -1
)

// Options configure a Gate. A zero field takes its default.
type Options struct {
	// Slots is the number of requests that the worker runs at once.
	Slots int
	// Connections is the number of connections that the worker accepts. Each
	// request in flight holds one, so it is an upper bound of the usable slots.
	Connections int
	// Queue is the number of requests that may wait for a slot; NoQueue for none.
	Queue int
	// QueueWait is the longest wait in the queue, whatever the caller's deadline.
	QueueWait time.Duration
	// SlowStart is the time in which the slots of a worker that has just started
	// grow to their full number. Zero gives them at once.
	SlowStart time.Duration
	// FixedLimit switches the adaptive limit off.
	FixedLimit bool
	// Now is the clock; time.Now when nil.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	if o.Slots <= 0 {
		o.Slots = DefaultSlots
	}
	if o.Connections <= 0 {
		o.Connections = DefaultConnections
	}
	if o.Queue == 0 {
		o.Queue = o.Slots * DefaultQueuePerSlot
	}
	o.Queue = max(o.Queue, 0)
	if o.QueueWait <= 0 {
		o.QueueWait = DefaultQueueWait
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Result is the observed outcome of an admitted request.
type Result struct {
	// Latency is the time from the request's first byte to the worker to the first
	// byte of its answer; zero when there was no answer. It must not include the
	// time that a slow caller takes to send or receive a body.
	Latency time.Duration
	// Refused reports that the worker itself refused before running the request.
	Refused bool
}
