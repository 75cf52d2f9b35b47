package membership

// State is the known state of one incarnation of a node.
type State uint8

// The states, in the order in which a later one replaces an earlier one of the
// same incarnation and attachment.
const (
	// StateLive: the node accepts calls and control work.
	StateLive State = iota
	// StateLeaving: the node finishes its work and accepts nothing new.
	StateLeaving
	// StateLost: the node did not report within the time limit.
	StateLost
)

// Record describes one node as known to its peers. Records are immutable.
type Record struct {
	ID string
	// Incarnation rises with each start of the node's process.
	Incarnation uint64
	// Attachment rises each time this incarnation attaches to a new parent, which
	// refutes a loss reported by the previous parent.
	Attachment uint64
	State      State
	Region     string
	Zone       string
	// Service is the name of the service that the worker beside the node
	// serves; empty for a node without a worker.
	Service string
	// ControlAddress and CallAddress are IP:port of the node's listeners for
	// control messages and for calls from other nodes.
	ControlAddress string
	CallAddress    string
	// Reader is set if the node reads the platform's store. A node whose
	// Reader changes attaches again with a higher attachment number.
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
