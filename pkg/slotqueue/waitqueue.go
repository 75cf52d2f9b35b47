package slotqueue

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// waitQueue orders the waiting requests: by rank; within a rank, those whose answer can
// still be in time before those whose answer cannot; among the timely ones by turns of the
// tenants, so that one tenant's burst does not delay another's requests; and of one tenant
// by the latest start that lets the answer be in time. It does no I/O, takes the current
// time as a parameter, and is not safe for concurrent use.
type waitQueue struct {
	// ranks are the ranks that have waiting requests, the lowest rank first.
	ranks []*rankQueue
	count int
	// overdue are the requests that were found to have become late. The user of the queue
	// empties it.
	overdue []*entry
}

// entry is a request that waits or runs.
type entry struct {
	Request
	// hold is how long the request is expected to hold its slot here.
	hold time.Duration
	// sequence is the order of arrival in the queue; it decides between requests that are
	// equal otherwise.
	sequence uint64

	// concluded is closed once a waiting request has a slot, or is refused with the error
	// in refusal.
	concluded chan struct{}
	refusal   error
	flow      *flow
	late      bool
	// index is the position of the request in the heap of its flow, in the heap of late
	// requests, or among the running requests.
	index int

	// startedAt is when the request got its slot.
	startedAt time.Time
}

// latestTimelyStart returns the latest start that lets the answer be in time.
func (w *entry) latestTimelyStart() time.Time {
	if w.Due.IsZero() {
		return w.LatestStart
	}
	return w.Due.Add(-w.hold)
}

// rankQueue holds the waiting requests of one rank.
type rankQueue struct {
	rank int
	// flows are those of the tenants that had requests since the rank was last empty; active
	// holds the flows with waiting requests whose answer can be in time.
	flows  map[string]*flow
	active flowHeap
	late   entryHeap
	// virtualTime is that of start-time fair queueing, in slot time: the virtual start of
	// the flow that was served last.
	virtualTime time.Duration
	// timelySlotTime and lateSlotTime are the slot time that the waiting requests are
	// expected to need: those in the flows, and the late ones.
	timelySlotTime, lateSlotTime time.Duration
	count                        int
}

// flow holds the timely waiting requests of one tenant in a rank.
type flow struct {
	waiting entryHeap
	// hold is the slot time that they are expected to need together.
	hold time.Duration
	// virtualStart is the virtual time at which the flow's next request starts; sequence
	// orders flows of equal virtual start.
	virtualStart time.Duration
	sequence     uint64
	// index is the position of the flow in the heap of active flows; notInHeap when none of
	// its requests waits.
	index int
}

// notInHeap is the index of a flow that is in no heap.
const notInHeap = -1

// find returns the queue of a rank, and its index or the index at which it would be
// inserted. The queue is nil when no request of the rank waits.
func (l *waitQueue) find(rank int) (int, *rankQueue) {
	i, found := slices.BinarySearchFunc(l.ranks, rank, func(r *rankQueue, rank int) int { return cmp.Compare(r.rank, rank) })
	if !found {
		return i, nil
	}
	return i, l.ranks[i]
}

// add queues a request.
func (l *waitQueue) add(w *entry, now time.Time) {
	i, r := l.find(w.Rank)
	if r == nil {
		r = &rankQueue{rank: w.Rank, flows: map[string]*flow{}}
		l.ranks = slices.Insert(l.ranks, i, r)
	}
	l.count++
	r.count++
	if now.After(w.latestTimelyStart()) {
		r.addLate(w)
		return
	}
	r.add(w)
}

func (r *rankQueue) add(w *entry) {
	f := r.flows[w.Tenant]
	if f == nil {
		f = &flow{index: notInHeap}
		r.flows[w.Tenant] = f
	}
	w.flow = f
	heap.Push(&f.waiting, w)
	f.hold += w.hold
	r.timelySlotTime += w.hold
	if f.index == notInHeap {
		f.virtualStart = max(f.virtualStart, r.virtualTime)
		f.sequence = w.sequence
		heap.Push(&r.active, f)
	}
}

func (r *rankQueue) addLate(w *entry) {
	w.late = true
	heap.Push(&r.late, w)
	r.lateSlotTime += w.hold
}

// remove removes a request that stops waiting before its turn.
func (l *waitQueue) remove(w *entry) {
	_, r := l.find(w.Rank)
	if w.late {
		heap.Remove(&r.late, w.index)
		r.lateSlotTime -= w.hold
	} else {
		r.removeTimely(w)
	}
	l.countRemoval(r)
}

// removeTimely takes a request out of its flow.
func (r *rankQueue) removeTimely(w *entry) {
	f := w.flow
	heap.Remove(&f.waiting, w.index)
	f.hold -= w.hold
	r.timelySlotTime -= w.hold
	if len(f.waiting) == 0 {
		heap.Remove(&r.active, f.index)
	}
}

// countRemoval decrements the number of waiting requests of a rank, and deletes the rank
// when none is left.
func (l *waitQueue) countRemoval(r *rankQueue) {
	l.count--
	r.count--
	if r.count == 0 {
		i, _ := l.find(r.rank)
		l.ranks = slices.Delete(l.ranks, i, i+1)
	}
}

// lowestRank returns the lowest rank of which a request waits; false when none waits.
func (l *waitQueue) lowestRank() (rank int, waits bool) {
	if len(l.ranks) == 0 {
		return 0, false
	}
	return l.ranks[0].rank, true
}

// peek returns the request whose turn it is. The queue must not be empty.
func (l *waitQueue) peek(now time.Time) *entry {
	r := l.ranks[0]
	l.demoteLate(r, now)
	if len(r.active) == 0 {
		return r.late[0]
	}
	return r.active[0].waiting[0]
}

// next removes and returns the request whose turn it is. The queue must not be empty.
func (l *waitQueue) next(now time.Time) *entry {
	r := l.ranks[0]
	l.demoteLate(r, now)
	w := r.next()
	l.countRemoval(r)
	return w
}

// next removes and returns the request of the rank whose turn it is.
func (r *rankQueue) next() *entry {
	if len(r.active) == 0 {
		w := heap.Pop(&r.late).(*entry)
		r.lateSlotTime -= w.hold
		return w
	}
	f := r.active[0]
	w := f.waiting[0]
	r.virtualTime = f.virtualStart
	f.virtualStart += w.hold
	r.removeTimely(w)
	if f.index != notInHeap {
		heap.Fix(&r.active, f.index)
	}
	return w
}

// demoteLate moves requests of a rank that have become late behind the timely ones, until
// the request whose turn it is is timely.
func (l *waitQueue) demoteLate(r *rankQueue, now time.Time) {
	for len(r.active) > 0 {
		w := r.active[0].waiting[0]
		if !now.After(w.latestTimelyStart()) {
			return
		}
		r.removeTimely(w)
		r.addLate(w)
		l.overdue = append(l.overdue, w)
	}
}

// countUpTo returns how many requests wait in a rank and in the ranks that go before it.
func (l *waitQueue) countUpTo(rank int) int {
	var n int
	for _, r := range l.ranks {
		if r.rank <= rank {
			n += r.count
		}
	}
	return n
}

// slotTimeAhead returns the slot time that would be served before a request that arrives
// now.
func (l *waitQueue) slotTimeAhead(request *entry, now time.Time) time.Duration {
	var sum time.Duration
	for _, r := range l.ranks {
		if r.rank > request.Rank {
			break
		}
		if r.rank == request.Rank {
			return sum + r.slotTimeAhead(request, now)
		}
		sum += r.timelySlotTime + r.lateSlotTime
	}
	return sum
}

// slotTimeAhead returns the slot time of the rank that would be served before a request
// that arrives now: what its own tenant has waiting, and as much of each other tenant,
// because tenants take turns.
func (r *rankQueue) slotTimeAhead(request *entry, now time.Time) time.Duration {
	if now.After(request.latestTimelyStart()) {
		return r.timelySlotTime + r.lateSlotTime
	}
	var own time.Duration
	others := len(r.active)
	if f := r.flows[request.Tenant]; f != nil && f.index != notInHeap {
		own = f.hold
		others--
	}
	return min(r.timelySlotTime, own+time.Duration(others)*(own+request.hold))
}

// entryHeap orders requests by the latest start that lets the answer be in time. Requests
// without a due time go first, by arrival.
type entryHeap []*entry

func (h entryHeap) Len() int { return len(h) }

func (h entryHeap) Less(i, j int) bool {
	unknown := h[i].Due.IsZero()
	if unknown != h[j].Due.IsZero() {
		return unknown
	}
	a, b := h[i].latestTimelyStart(), h[j].latestTimelyStart()
	if unknown || a.Equal(b) {
		return h[i].sequence < h[j].sequence
	}
	return a.Before(b)
}

func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *entryHeap) Push(x any) {
	w := x.(*entry)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *entryHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return w
}

// flowHeap orders the tenants' flows by turn.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].virtualStart == h[j].virtualStart {
		return h[i].sequence < h[j].sequence
	}
	return h[i].virtualStart < h[j].virtualStart
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.index = notInHeap
	return f
}
