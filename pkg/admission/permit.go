package admission

// Permit is one admitted request. The zero Permit stands for none.
type Permit struct {
	gate       *Gate
	index      int
	generation uint64
}

// Release gives the slot back and tells the gate what was seen. Only the first
// call for an admitted request counts, also when the Permit was copied.
func (p Permit) Release(result Result) {
	if p.gate == nil {
		return
	}
	p.gate.release(p, result)
}

// permitTable hands out permits by index. The generation of an index changes
// when it is given back, so that an old permit no longer fits.
type permitTable struct {
	generations []uint64
	free        []int
}

func (t *permitTable) take(g *Gate) Permit {
	if len(t.free) == 0 {
		t.free = append(t.free, len(t.generations))
		t.generations = append(t.generations, 0)
	}
	index := t.free[len(t.free)-1]
	t.free = t.free[:len(t.free)-1]
	return Permit{gate: g, index: index, generation: t.generations[index]}
}

// give takes the permit back; false when it was given back before.
func (t *permitTable) give(p Permit) bool {
	if t.generations[p.index] != p.generation {
		return false
	}
	t.generations[p.index]++
	t.free = append(t.free, p.index)
	return true
}
