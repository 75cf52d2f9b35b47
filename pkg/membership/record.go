package membership

// State is what is known of one incarnation of a node.
type State uint8

// The states, in the order in which a later one replaces an earlier one of the
// same incarnation and attachment.
const (
	// StateLive takes calls and control work.
	StateLive State = iota
	// StateLeaving finishes what it has and takes nothing new.
	StateLeaving
	// StateLost was not heard from within the bound.
	StateLost
)

// Record is one node as its peers know it. Records are immutable.
type Record struct {
	ID string
	// Incarnation rises with each start of the node's process.
	Incarnation uint64
	// Attachment rises each time this incarnation takes a new parent, which
	// refutes a loss reported by the former parent.
	Attachment uint64
	State      State
	Region     string
	Zone       string
	// Service is the name of the service that the worker beside the node
	// answers for; empty for a node without a worker.
	Service string
	// ControlAddress and CallAddress are IP:port of the node's listeners for
	// control messages and for calls from other nodes.
	ControlAddress string
	CallAddress    string
	// Reader tells that the node reads the platform's store. A node whose
	// Reader changes attaches again under a higher attachment number.
	Reader bool
}

// Supersedes reports whether r replaces other, a record of the same node.
func (r Record) Supersedes(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	if r.Attachment != other.Attachment {
		return r.Attachment > other.Attachment
	}
	return r.State > other.State
}
