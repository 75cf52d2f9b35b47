package forwarding

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/pkg/contain"
)

const (
	// rememberedRefusals bounds the refused callers that a node remembers, at about 50 bytes
	// each: a machine with 0.16 of a core refuses no more than that in the second or two within
	// which callers retry.
	rememberedRefusals = 512
	// returnTolerance is by how much the deadline of a retried call may differ from that of the
	// refused one: the network time in both directions and the opening of a new connection.
	returnTolerance = 60 * time.Millisecond
)

// refusals remembers callers that were refused with a time to retry after. A caller that retries
// sends the same request, and has what is left of the same time. Timeouts alone identify retries
// only where most callers use the same timeout: in a mesh whose callers used any timeout between
// 1,030 and 1,200 ms no retry was recognized.
type refusals struct {
	mu contain.Mutex
	// ends holds the deadline of each refused caller, by the key of its request.
	ends map[uint64]time.Time
	// order holds the keys of ends; when it is full, the oldest is at next.
	order []uint64
	next  int
}

// keyOf returns a key that is the same for requests with the same method, host, path and query, as
// they were sent.
func keyOf(r *http.Request) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{r.Method, r.Host, httpconn.PathAsSent(r), r.URL.RawQuery} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64()
}

// remember records a refused request of a caller with the given deadline.
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

// place adds the key of a new refusal to the order, replacing the oldest one when it is full. The
// mutex must be held.
func (r *refusals) place(key uint64) {
	if len(r.order) < rememberedRefusals {
		r.order = append(r.order, key)
		return
	}
	delete(r.ends, r.order[r.next])
	r.order[r.next] = key
	r.next = (r.next + 1) % rememberedRefusals
}

// isRetry reports whether the request was refused before, to a caller with the same deadline.
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
