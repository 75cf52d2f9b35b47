package hosted

import "sync"

// EraTracker follows the eras that answers of the store tell. It is safe for concurrent
// use; the zero value has seen none.
type EraTracker struct {
	mu  sync.Mutex
	era Era
	// highest is the highest revision seen in the era.
	highest uint64
}

// Observe takes the position that an answer tells. An answer of an earlier era comes late and
// says nothing; one without an era says nothing of it.
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
