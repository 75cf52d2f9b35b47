package fleet

import "math"

// An address may go from a node that has ended to another one. Whoever then asks at that
// address gets an answer, and would take the ended node to be there for as long as the
// address is in use. The node that listens at the address knows better: it writes the
// last record of the one before, with which all tables drop it.

// replacedSequence is the sequence of the last record of an incarnation whose address
// another node has: no record of that incarnation is newer.
const replacedSequence = math.MaxUint64

// Replaced reports whether the record says that the node has ended and that another one
// has its address.
func (n Node) Replaced() bool { return n.State == StateLeft && n.Sequence == replacedSequence }

// asReplaced returns the last record of a node whose address another one has. It keeps
// what the node has told of its workers, roll-outs and requests.
func (n Node) asReplaced() *Node {
	n.State, n.Sequence = StateLeft, replacedSequence
	return &n
}

// ends reports whether the record is the last one of the incarnation that has written the other
// record, by the node that has its address now. One that names another address is not: whoever has
// that can tell nothing of this node.
func (n Node) ends(other Node) bool {
	return n.Replaced() && n.Incarnation == other.Incarnation && n.ControlAddress == other.ControlAddress
}

// hasAddressOf reports whether only one of two nodes can be there, since both have the
// same address. An address without a host or port is that of no node in particular.
func (n Node) hasAddressOf(other Node) bool {
	address := n.ControlAddress
	return address == other.ControlAddress && address.IsValid() && address.Port() != 0 && !address.Addr().IsUnspecified()
}
