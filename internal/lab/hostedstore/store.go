package hostedstore

import (
	"maps"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/hosted"
)

// Faults are the faults of a Store that apply to one client or all.
type Faults struct {
	// Refuse answers each call with hosted.ErrRefused.
	Refuse bool
	// RefuseRenewals answers renewals of leases with hosted.ErrRefused.
	RefuseRenewals bool
	// Silent makes the store unresponsive: no call gets an answer.
	Silent bool
	// LoseAnswers executes calls and loses their answers.
	LoseAnswers bool
	// Delay is added to each call before it is executed.
	Delay time.Duration
	// Late delays the answer to a read after its content is determined, so that the
	// answer may be out of date when it arrives.
	Late time.Duration
	// HideEra omits the era from the answers.
	HideEra bool
}

// Call is a kind of call to a Store.
type Call string

// The kinds of calls. A stale list and a renewal cost a tenth of the others.
const (
	CallRead      Call = "read"
	CallWatch     Call = "watch"
	CallGrant     Call = "grant"
	CallReplace   Call = "replace"
	CallRenew     Call = "renew"
	CallWithdraw  Call = "withdraw"
	CallRemove    Call = "remove"
	CallEntry     Call = "entry"
	CallList      Call = "list"
	CallStaleList Call = "stale list"
	CallOrders    Call = "orders"
	CallStatus    Call = "status"
)

// costOf returns the cost of a kind of call, in calls of full cost.
func costOf(kind Call) float64 {
	if kind == CallRenew || kind == CallStaleList {
		return 0.1
	}
	return 1
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	mutex    sync.Mutex
	revision uint64
	document *hosted.Document
	// history is the lowest revision that watches can start from.
	history uint64
	entries map[string]entry
	changed chan struct{}
	faults  map[string]Faults
	calls   map[Call]int
	// written counts the calls that grant a lease or write an entry.
	written int
	leases  uint64
	// orders and statuses are those of roll-outs, by service.
	orders   map[string]hosted.Order
	statuses map[string]hosted.RolloutStatus
	granted  map[hosted.Lease]grant
	// era counts the restores from a copy, starting at one.
	era uint64
	// silenced counts the calls of SilenceWatches.
	silenced int
	// latest is the operator's newest document; it survives a restore.
	latest hosted.Document
}

type entry struct {
	hosted.Entry
	lease hosted.Lease
}

// allNodes is the key of the faults that apply to every client without faults of its own.
const allNodes = ""

// New returns a store without a document.
func New() *Store {
	return &Store{
		entries: map[string]entry{},
		granted: map[hosted.Lease]grant{},
		calls:   map[Call]int{},
		changed: make(chan struct{}),
		faults:  map[string]Faults{},

		orders:   map[string]hosted.Order{},
		statuses: map[string]hosted.RolloutStatus{},
		era:      1,
	}
}

// Put accepts a document as the operator's next version and returns its revision.
func (s *Store) Put(content []byte) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.latest = hosted.Document{Version: s.latest.Version + 1, Content: content}
	return s.write(s.latest)
}

// write accepts a document and returns its revision. The mutex is held.
func (s *Store) write(document hosted.Document) uint64 {
	s.revision++
	document.Revision = s.revision
	s.document = &document
	s.wake()
	return s.revision
}

// wake makes all watches check for changes again. The mutex is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Forget drops the history up to now, so that watches from an earlier revision fail.
func (s *Store) Forget() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.history = s.revision
}

// SilenceWatches makes the watches in progress hear nothing any more, and get no answer either, as
// on connections that are lost without a reset.
func (s *Store) SilenceWatches() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silenced++
	s.wake()
}

// silencedWatches returns how often watches were silenced.
func (s *Store) silencedWatches() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.silenced
}

// EndLeases ends all leases and removes their entries.
func (s *Store) EndLeases() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	maps.DeleteFunc(s.entries, func(_ string, e entry) bool { return e.lease != "" })
	s.granted = map[hosted.Lease]grant{}
}

// SetFaults sets the faults for the client of one node, or for all when the name is empty.
func (s *Store) SetFaults(node string, faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults[node] = faults
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	calls := 0
	for _, n := range s.calls {
		calls += n
	}
	return calls
}

// CallsByKind returns how many calls of each kind were made.
func (s *Store) CallsByKind() map[Call]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.calls)
}

// Cost returns the cost, in calls of full cost, of the calls made since the counts
// in before were taken.
func (s *Store) Cost(before map[Call]int) float64 {
	cost := 0.0
	for kind, n := range s.CallsByKind() {
		cost += costOf(kind) * float64(n-before[kind])
	}
	return cost
}

// Written returns the number of calls that grant a lease or write an entry.
func (s *Store) Written() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.written
}

// Entries returns how many nodes have an entry.
func (s *Store) Entries() int {
	s.lockCurrent()
	defer s.mutex.Unlock()
	return len(s.entries)
}

// Entry returns the entry of a node; nil when there is none.
func (s *Store) Entry(id string) []byte {
	s.lockCurrent()
	defer s.mutex.Unlock()
	return s.entries[id].Content
}

func (s *Store) replace(e hosted.Entry, lease hosted.Lease) (hosted.Entry, bool, error) {
	s.lockCurrent()
	defer s.mutex.Unlock()
	s.written++
	if lease != "" && !s.isGranted(lease) {
		return hosted.Entry{}, false, hosted.ErrLeaseEnded.New("the lease has ended or was never granted")
	}
	if held := s.entries[e.ID]; held.Revision != e.Revision {
		return held.Entry, false, nil
	}
	s.revision++
	written := hosted.Entry{ID: e.ID, Content: e.Content, Revision: s.revision}
	s.entries[e.ID] = entry{Entry: written, lease: lease}
	return written, true, nil
}
