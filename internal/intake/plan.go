package intake

import "syscall"

// Shares of the memory of a machine beyond what the process needs without clients. They add up to
// one.
const (
	// callersShare is for the heads, bodies and answers of callers, hopsShare for those of calls
	// from other nodes.
	callersShare = 0.26
	hopsShare    = 0.12
	// connectionsShare is for the connections of callers: goroutines, buffers, and a small request.
	connectionsShare = 0.10
	// kernelShare is for what the kernel holds of connections.
	kernelShare = 0.20
	// garbageShare is for memory that the collector has not yet freed, otherShare for the other
	// listeners and messages between nodes.
	garbageShare = 0.15
	otherShare   = 0.17
)

// Shares of the sockets of a process. They add up to one.
const (
	callerSocketsShare = 0.38
	// offerSocketsShare is for calls to other nodes, hopSocketsShare for calls from them, and
	// messageSocketsShare for messages from them.
	offerSocketsShare   = 0.20
	hopSocketsShare     = 0.20
	messageSocketsShare = 0.08
	// auxiliarySocketsShare is for the listeners for workers, readiness and metrics together,
	// ownSocketsShare for the store, the worker and messages to other nodes.
	auxiliarySocketsShare = 0.03
	ownSocketsShare       = 0.11
)

const (
	mebibyte = 1 << 20
	// processBytes is what a process holds without clients, leastBytes the least that is planned for
	// clients, and usualMemory the memory of a machine that does not say.
	processBytes = 24 * mebibyte
	leastBytes   = 16 * mebibyte
	usualMemory  = 512
	// connectionBytes is what a connection of a caller costs by itself.
	connectionBytes = 32 << 10
	// fileDescriptors is how many descriptors are not for sockets, or a quarter of all where there
	// are few.
	fileDescriptors      = 264
	fileDescriptorsShare = 0.25
	// usualDescriptors is the number of descriptors of a process that cannot tell.
	usualDescriptors = 1024
	// mostDescriptors bounds the plan where the process has no limit.
	mostDescriptors = 1 << 20
	// fullBuffersShare is the share of the connections that get receive buffers of the full size;
	// the others get small ones.
	fullBuffersShare = 0.25
	fullBuffer       = 128 << 10
	smallBuffer      = 16 << 10
	// backlogShare is how many connections may wait to be accepted, as a share of those that are open,
	// and backlogBuffer the receive buffer of each.
	backlogShare  = 0.25
	leastBacklog  = 8
	backlogBuffer = 64 << 10
	// auxiliaryListeners is how many listeners share auxiliarySocketsShare, leastAuxiliary the least
	// for each.
	auxiliaryListeners = 3
	leastAuxiliary     = 4
	// dialsPerOffer is how many connections one offer to another node may need for a moment: net/http
	// may open one more than it uses.
	dialsPerOffer = 2
)

// Plan says what clients may make a node hold.
type Plan struct {
	// Callers are the bounds for callers, Hops those of the connections for calls from other nodes,
	// HopBodies that of the memory for these calls, Messages those of the connections for messages, and
	// Auxiliary those of each other listener.
	Callers, Hops, HopBodies, Messages, Auxiliary Limits
	// Offers bounds the calls that are on their way to other nodes at a time.
	Offers int
	// Backlog is how many connections of callers may wait to be accepted.
	Backlog int
	// FullBuffers is how many connections of callers get receive buffers of the full size.
	FullBuffers int
	// Kernel is planned for what the kernel holds of the connections of callers, in bytes.
	Kernel int64
}

// NewPlan returns the plan for a machine with a memory in MiB and a number of descriptors. Zero stands
// for the usual memory, and for the limit of the process.
func NewPlan(memory, descriptors int) Plan { return newPlan(memory, descriptors, ownDescriptors()) }

// newPlan returns the plan for a process with its own limit of descriptors.
func newPlan(memory, descriptors, own int) Plan {
	if memory <= 0 {
		memory = usualMemory
	}
	room := float64(max(int64(memory)*mebibyte-processBytes, leastBytes))
	if descriptors <= 0 || descriptors > own {
		descriptors = own
	}
	sockets := float64(descriptors - min(fileDescriptors, int(fileDescriptorsShare*float64(descriptors))))
	connections := min(connectionsShare*room/connectionBytes, callerSocketsShare*sockets)
	return Plan{
		Callers:     Limits{Connections: int(connections), Memory: int64(callersShare * room)},
		Hops:        Limits{Connections: int(hopSocketsShare * sockets)},
		HopBodies:   Limits{Memory: int64(hopsShare * room)},
		Messages:    Limits{Connections: int(messageSocketsShare * sockets)},
		Auxiliary:   Limits{Connections: max(int(auxiliarySocketsShare*sockets/auxiliaryListeners), leastAuxiliary)},
		Offers:      max(int(offerSocketsShare*sockets/dialsPerOffer), 1),
		Backlog:     max(int(backlogShare*connections), leastBacklog),
		FullBuffers: int(fullBuffersShare * connections),
		Kernel:      int64(kernelShare * room),
	}
}

// ownDescriptors returns the limit of descriptors of the process.
func ownDescriptors() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur == 0 {
		return usualDescriptors
	}
	return int(min(limit.Cur, mostDescriptors))
}

// ReceiveBuffer returns the size of the receive buffer of a connection, in bytes, when a number of
// others is open.
func (p Plan) ReceiveBuffer(open int) int {
	if open < p.FullBuffers {
		return fullBuffer
	}
	return smallBuffer
}
