package forwarding

import (
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// rememberedRefusals bounds the refused callers that a node remembers, at some 50
	// bytes each: a machine with 0.16 of a core refuses no more than that in the second
	// or two in which callers come back.
	rememberedRefusals = 512
	// returnTolerance is by how much the end of a caller's time may differ from that of
	// the call that was refused: the time on the way, there and back, and of a new connection.
	returnTolerance = 60 * time.Millisecond
)

// refusals remembers callers that were refused and told to come back. One that does sends
// the same request, and has what is left of the same time. Timeouts alone tell that only where
// most callers give the same: in a mesh whose callers gave any between 1,030 and 1,200 ms
// none was known again.
type refusals struct {
	mu sync.Mutex
	// ends is until when each refused caller has time, by what it asked for.
	ends map[uint64]time.Time
	// order holds the keys of ends; when it is full, the oldest is at next.
	order []uint64
	next  int
}

// keyOf tells requests apart by what they ask for.
func keyOf(r *http.Request) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{r.Method, r.Host, r.URL.Path, r.URL.RawQuery} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64()
}

// remember notes a refused request of a caller that has time until the given end.
func (r *refusals) remember(request *http.Request, end time.Time) {
	key := keyOf(request)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ends == nil {
		r.ends = map[uint64]time.Time{}
	}
	if _, known := r.ends[key]; !known {
		r.place(key)
	}
	r.ends[key] = end
}

// place keeps the key of a new refusal in the order, in place of the oldest one if need be.
// The mutex is held.
func (r *refusals) place(key uint64) {
	if len(r.order) < rememberedRefusals {
		r.order = append(r.order, key)
		return
	}
	delete(r.ends, r.order[r.next])
	r.order[r.next] = key
	r.next = (r.next + 1) % rememberedRefusals
}

// isRetry reports whether a request is one that was refused before, of a caller that has
// time until the given end.
func (r *refusals) isRetry(request *http.Request, end time.Time) bool {
	r.mu.Lock()
	none := len(r.ends) == 0
	r.mu.Unlock()
	if none {
		return false
	}
	key := keyOf(request)
	r.mu.Lock()
	defer r.mu.Unlock()
	previous, known := r.ends[key]
	return known && end.Sub(previous).Abs() <= returnTolerance
}
