package fleet

import (
	"maps"
	"slices"
)

// An address may go from a node that has ended to another one. Whoever then asks at that
// address gets an answer, and would take the ended node to be there for as long as the
// address is in use. The node that listens at the address knows better: it names those
// that were there before in its own record, and all tables drop them.

// Replacement names a node that has ended, up to an incarnation.
type Replacement struct {
	ID          string
	Incarnation uint64
}

// Replaced is a node that was dropped from a table, and the node that has its address.
type Replaced struct{ ID, By string }

// maximumReplacements bounds the nodes that one record names, the latest ones. The
// earlier ones were dropped everywhere long before that many nodes have used one address.
const maximumReplacements = 4

// endedNode is a node that another one has replaced.
type endedNode struct {
	// incarnation is the last one that has ended.
	incarnation uint64
	// record is the last one of the node, which tells its drain commitments; nil when
	// none was held.
	record *Node
}

// hasEnded reports whether the incarnation of a record has ended. The caller holds mu.
func (t *Table) hasEnded(n Node) bool {
	ended, known := t.ended[n.ID]
	return known && n.Incarnation <= ended.incarnation
}

// keepEnded keeps the newest record of an incarnation that has ended. The caller holds mu.
func (t *Table) keepEnded(n Node) {
	ended := t.ended[n.ID]
	ended.record = &n
	t.ended[n.ID] = ended
}

// applyReplacements drops the nodes that the accepted records name, and names in the own
// record those that were at its address. The caller holds mu.
func (t *Table) applyReplacements(accepted []*Node, merged *Merged) {
	own, _ := t.held(t.self)
	for _, n := range accepted {
		for _, r := range n.Replaced {
			switch {
			case r.ID != t.self:
				t.replace(r, n.ID, merged)
			case n.ControlAddress != own.ControlAddress:
				// This node has moved to another address. Its clock may have been set back.
				merged.SelfChanged = t.outrank(r.Incarnation) || merged.SelfChanged
			}
		}
		if own.ControlAddress != "" && n.ControlAddress == own.ControlAddress && n.State != StateLeft {
			r := Replacement{ID: n.ID, Incarnation: n.Incarnation}
			t.nameReplaced(r)
			t.replace(r, t.self, merged)
			merged.SelfChanged = true
		}
	}
}

// replace drops a node, unless a later incarnation of it is known. The caller holds mu.
func (t *Table) replace(r Replacement, by string, merged *Merged) {
	i, known := t.find(r.ID)
	if known && t.nodes[i].Incarnation > r.Incarnation {
		return
	}
	ended := t.ended[r.ID]
	ended.incarnation = max(ended.incarnation, r.Incarnation)
	if known {
		ended.record = t.nodes[i]
		t.drop(i)
		merged.Replaced = append(merged.Replaced, Replaced{ID: r.ID, By: by})
	}
	t.ended[r.ID] = ended
}

// nameReplaced adds a node to those that the own record names. The caller holds mu.
func (t *Table) nameReplaced(r Replacement) {
	t.updateSelf(func(own *Node) {
		others := slices.DeleteFunc(slices.Clone(own.Replaced), func(held Replacement) bool { return held.ID == r.ID })
		named := append(others, r)
		own.Replaced = named[max(len(named)-maximumReplacements, 0):]
	})
}

// outrank gives the own record a higher incarnation than the given one. It reports whether it had
// a lower or equal one. The caller holds mu.
func (t *Table) outrank(incarnation uint64) bool {
	own, _ := t.held(t.self)
	if own.Incarnation > incarnation {
		return false
	}
	t.updateSelf(func(own *Node) { own.Incarnation = incarnation + 1 })
	return true
}

// endedIDs returns the identifiers of the nodes that others have replaced, ordered. The caller
// holds mu.
func (t *Table) endedIDs() []string {
	if len(t.ended) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(t.ended))
}
