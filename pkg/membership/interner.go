package membership

import (
	"sync"
	"weak"
)

// minimumSweepSize is the number of records below which an Interner does not
// sweep unused records.
const minimumSweepSize = 1024

// Interner makes tables share equal records. It holds them by weak pointers: a record
// that no table refers to any more is freed. It is safe for concurrent use.
type Interner struct {
	mutex   sync.Mutex
	records map[Record]weak.Pointer[Record]
	sweepAt int
}

// NewInterner returns an empty interner.
func NewInterner() *Interner {
	return &Interner{
		records: make(map[Record]weak.Pointer[Record]),
		sweepAt: minimumSweepSize,
	}
}

func (i *Interner) intern(record Record) *Record {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if held := i.records[record].Value(); held != nil {
		return held
	}
	own := &record
	i.records[record] = weak.Make(own)
	if len(i.records) >= i.sweepAt {
		i.sweep()
	}
	return own
}

func (i *Interner) sweep() {
	for key, pointer := range i.records {
		if pointer.Value() == nil {
			delete(i.records, key)
		}
	}
	i.sweepAt = max(minimumSweepSize, 2*len(i.records))
}
