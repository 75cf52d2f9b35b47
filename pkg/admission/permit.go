package admission

// Permit is one admitted request. The zero Permit stands for none.
type Permit struct {
	gate       *Gate
	index      int
	generation uint64
}

// Release frees the slot and reports the result to the gate. Only the first call
// for an admitted request has an effect, also when the Permit was copied.
func (p Permit) Release(result Result) {
	if p.gate == nil {
		return
	}
	p.gate.release(p, result)
}

// permitTable issues permits by index. The generation of an index changes when its
// permit is released, so that old copies of the permit become invalid.
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

// release invalidates the permit; it returns false when that was done before.
func (t *permitTable) release(p Permit) bool {
	if t.generations[p.index] != p.generation {
		return false
	}
	t.generations[p.index]++
	t.free = append(t.free, p.index)
	return true
}
