package hosted

import "github.com/levertide/levertide/pkg/contain"

// EraTracker tracks the eras in the store's answers. It is safe for concurrent use; the zero value
// has seen none.
type EraTracker struct {
	mu  contain.Mutex
	era Era
	// highest is the highest revision seen in the era.
	highest uint64
}

// Observe records the position in an answer. An answer of an earlier era is late and is ignored,
// and so is one without an era.
func (t *EraTracker) Observe(p Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case p.Era == 0 || p.Era < t.era.Number:
		return
	case p.Era > t.era.Number:
		t.era = Era{Number: p.Era, SawPrevious: t.era.Number > 0, PreviousHighest: t.highest}
		t.highest = 0
	}
	if t.era.First == 0 {
		t.era.First = p.Revision
	}
	t.highest = max(t.highest, p.Revision)
}

// Era returns the highest era that was seen.
func (t *EraTracker) Era() Era {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}
