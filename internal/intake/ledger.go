package intake

import (
	"container/list"
	"context"
	"sync"
	"time"
)

const (
	// patience is for how long a client may keep the node waiting before it can be closed in favor
	// of others.
	patience = 250 * time.Millisecond
	// longestReserve bounds the wait for memory.
	longestReserve = time.Second
	// creditBytes is how much a client has to send or to read for the wait for it to begin anew:
	// less would have a client that sends a byte now and then pass for an active one.
	creditBytes = 4 << 10
	// searchInterval is the shortest time between two searches for clients that hold memory, which
	// close as many as hold what is needed, or one of searchParts parts of all.
	searchInterval = 10 * time.Millisecond
	searchParts    = 32
)

// Bound names a bound of a ledger.
type Bound string

// The bounds of a ledger.
const (
	Connections Bound = "connections"
	Memory      Bound = "memory"
)

// Limits are the bounds of a ledger. Zero sets no bound.
type Limits struct {
	Connections int
	// Memory is in bytes.
	Memory int64
}

// Ledger counts what the clients of one listener hold. It is safe for concurrent use. Use New.
type Ledger struct {
	pool   string
	limits Limits

	mu sync.Mutex
	// accounts are ordered by when the client last did something, the longest ago first.
	accounts *list.List
	memory   int64
	// freed is closed when something was given back; nil while nobody waits for that.
	freed chan struct{}
	// searched is when clients that hold memory were last looked for.
	searched time.Time
	reading  Reading
	onBound  func(pool string, bound Bound)
}

// Reading is the state of a ledger, and what it has done so far.
type Reading struct {
	Pool        string
	Limits      Limits
	Connections int
	Memory      int64
	// Closed counts the clients that were closed in favor of others, Refused the requests for which
	// there was no room in time, both by the bound that was reached.
	Closed, Refused map[Bound]uint64
}

// New returns a ledger with the name of what it counts. onBound, which may be nil, is called whenever
// a client is closed or refused; it must not block.
func New(pool string, limits Limits, onBound func(pool string, bound Bound)) *Ledger {
	if onBound == nil {
		onBound = func(string, Bound) {}
	}
	return &Ledger{
		pool: pool, limits: limits, accounts: list.New(), onBound: onBound,
		reading: Reading{Closed: map[Bound]uint64{}, Refused: map[Bound]uint64{}},
	}
}

// Read returns the state of the ledger.
func (l *Ledger) Read() Reading {
	l.mu.Lock()
	defer l.mu.Unlock()
	read := Reading{Pool: l.pool, Limits: l.limits, Connections: l.accounts.Len(), Memory: l.memory, Closed: map[Bound]uint64{}, Refused: map[Bound]uint64{}}
	for _, bound := range []Bound{Connections, Memory} {
		read.Closed[bound], read.Refused[bound] = l.reading.Closed[bound], l.reading.Refused[bound]
	}
	return read
}

// Open returns the account of a new connection once there is room for it, or nil when the context
// ends before. evict is called, on a goroutine of its own, when the client is to be closed; it may be
// called again when the client is still there after that.
func (l *Ledger) Open(ctx context.Context, evict func()) *Account {
	a := &Account{ledger: l, evict: evict}
	for {
		freed, next, opened := l.tryOpen(a)
		if opened {
			return a
		}
		if !await(ctx, freed, next) {
			return nil
		}
	}
}

// tryOpen adds an account if there is room for it. Otherwise it makes room, and returns a channel that
// is closed when something was given back, and after which time to look again.
func (l *Ledger) tryOpen(a *Account) (freed <-chan struct{}, next time.Duration, opened bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits.Connections <= 0 || l.accounts.Len() < l.limits.Connections {
		a.place = l.accounts.PushBack(a)
		a.active = time.Now()
		return nil, 0, true
	}
	next = l.closeLongestWaiting()
	return l.wait(), next, false
}

// closeLongestWaiting closes the client that has kept the node waiting for longest. It returns after
// which time to look again, unless something is given back before. The mutex is held.
func (l *Ledger) closeLongestWaiting() time.Duration {
	now := time.Now()
	for place := l.accounts.Front(); place != nil; place = place.Next() {
		a := place.Value.(*Account)
		if a.waits == 0 || now.Sub(a.evicted) < patience {
			continue
		}
		if idle := now.Sub(a.active); idle < patience {
			return patience - idle
		}
		l.closeAccount(a, Connections, now)
		break
	}
	return patience
}

// closeHolders closes the clients that have kept the node waiting for longest, of those that hold
// memory, until enough of it will be given back. It reports whether the given one is among them. The
// mutex is held.
func (l *Ledger) closeHolders(bytes int64, of *Account) bool {
	now := time.Now()
	if now.Sub(l.searched) < searchInterval {
		return false
	}
	l.searched = now
	bytes = max(bytes, l.limits.Memory/searchParts)
	for place := l.accounts.Front(); place != nil && bytes > 0; place = place.Next() {
		a := place.Value.(*Account)
		if now.Sub(a.active) < patience {
			break
		}
		if a.memory == 0 || a.waits == 0 {
			continue
		}
		bytes -= a.memory
		if now.Sub(a.evicted) < patience {
			continue
		}
		if a == of {
			return true
		}
		l.closeAccount(a, Memory, now)
	}
	return false
}

// closeAccount tells a client to end. The mutex is held.
func (l *Ledger) closeAccount(a *Account, bound Bound, now time.Time) {
	a.evicted = now
	l.reading.Closed[bound]++
	l.onBound(l.pool, bound)
	go a.evict()
}

// await waits for a channel or some time; it reports false when the context ends before.
func await(ctx context.Context, freed <-chan struct{}, longest time.Duration) bool {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-freed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// take takes memory for an account, if it is free. The mutex is held.
func (l *Ledger) take(a *Account, bytes int64) bool {
	if l.limits.Memory > 0 && l.memory+bytes > l.limits.Memory {
		return false
	}
	l.memory += bytes
	a.memory += bytes
	return true
}

// reserve takes memory for an account, and waits for it. It reports false when there is none in time.
func (l *Ledger) reserve(ctx context.Context, a *Account, bytes int64) bool {
	if l.tryReserve(a, bytes) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, longestReserve)
	defer cancel()
	// A client that needs more than there is may have to make room for the others.
	a.Await()
	defer a.Resume()
	for bytes <= l.limits.Memory {
		freed, itself, taken := l.reserveOrMakeRoom(a, bytes)
		if taken {
			return true
		}
		if itself || !await(ctx, freed, searchInterval) {
			break
		}
	}
	l.refuse()
	return false
}

// tryReserve takes memory for an account if it is free.
func (l *Ledger) tryReserve(a *Account, bytes int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.take(a, bytes)
}

// reserveOrMakeRoom takes memory for an account if it is free. Otherwise it closes clients that hold
// some, and returns a channel that is closed when something was given back, and whether the account
// itself is one to close.
func (l *Ledger) reserveOrMakeRoom(a *Account, bytes int64) (freed <-chan struct{}, itself, taken bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.take(a, bytes) {
		return nil, false, true
	}
	itself = l.closeHolders(bytes, a)
	return l.wait(), itself, false
}

func (l *Ledger) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reading.Refused[Memory]++
	l.onBound(l.pool, Memory)
}

// give gives memory back. The mutex is held.
func (l *Ledger) give(a *Account, bytes int64) {
	l.memory -= bytes
	a.memory -= bytes
	l.wake()
}

// wait returns a channel that is closed when something is given back. The mutex is held.
func (l *Ledger) wait() <-chan struct{} {
	if l.freed == nil {
		l.freed = make(chan struct{})
	}
	return l.freed
}

// wake notifies those that wait for room. The mutex is held.
func (l *Ledger) wake() {
	if l.freed != nil {
		close(l.freed)
		l.freed = nil
	}
}
