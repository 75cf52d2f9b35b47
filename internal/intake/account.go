package intake

import (
	"container/list"
	"context"
	"time"
)

// Account is what one client holds. The zero of *Account, nil, is that of a client without bounds:
// all methods can be called on it.
type Account struct {
	ledger *Ledger
	evict  func()

	// The mutex of the ledger protects what follows.

	// place is nil once the account is closed.
	place  *list.Element
	memory int64
	// waits counts the operations of the node that wait for the client.
	waits int
	// active is when the client last did something of note, progress what it did since, in bytes.
	active   time.Time
	progress int
	// evicted is when the client was last told to end.
	evicted time.Time
}

// Await is called before the node waits for the client: for a request, for a part of a body, or for
// the client to read. Resume is called afterwards.
func (a *Account) Await() {
	if a == nil {
		return
	}
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	a.waits++
}

// Resume ends a wait.
func (a *Account) Resume() {
	if a == nil {
		return
	}
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	a.waits--
}

// Progress ends a wait in which the client has sent or read a number of bytes.
func (a *Account) Progress(bytes int) {
	if a == nil {
		return
	}
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	a.waits--
	a.progress += bytes
	if a.progress >= creditBytes {
		a.renew()
	}
}

// Renew is called when the client begins or has completed a request.
func (a *Account) Renew() {
	if a == nil {
		return
	}
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	a.renew()
}

// renew makes the client the one that was active last. The mutex is held.
func (a *Account) renew() {
	a.progress, a.active = 0, time.Now()
	if a.place != nil {
		a.ledger.accounts.MoveToBack(a.place)
	}
}

// Close gives back the connection. What its requests hold is given back by their holds.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	if a.place != nil {
		a.ledger.accounts.Remove(a.place)
		a.place = nil
		a.ledger.wake()
	}
}

// NewHold returns the hold of one request. Close it when the request is over.
func (a *Account) NewHold() *Hold {
	if a == nil {
		return nil
	}
	return &Hold{account: a}
}

// Hold is the memory that one request holds. The zero of *Hold, nil, has no bounds.
type Hold struct {
	account *Account
	// bytes is protected by the mutex of the ledger.
	bytes int64
}

// Reserve takes memory before it is used, and waits for it. An error is an ErrFull.
func (h *Hold) Reserve(ctx context.Context, bytes int64) error {
	if h == nil {
		return nil
	}
	if !h.account.ledger.reserve(ctx, h.account, bytes) {
		return ErrFull.New("no memory is free for %d bytes", bytes)
	}
	h.add(bytes)
	return nil
}

// TryReserve takes memory if it is free.
func (h *Hold) TryReserve(bytes int64) bool {
	if h == nil {
		return true
	}
	l := h.account.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.take(h.account, bytes) {
		return false
	}
	h.bytes += bytes
	return true
}

// Take takes memory that cannot be done without, also beyond the bound.
func (h *Hold) Take(bytes int64) {
	if h == nil {
		return
	}
	l := h.account.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	l.memory += bytes
	h.account.memory += bytes
	h.bytes += bytes
}

func (h *Hold) add(bytes int64) {
	h.account.ledger.mu.Lock()
	defer h.account.ledger.mu.Unlock()
	h.bytes += bytes
}

// Release gives back some of the memory.
func (h *Hold) Release(bytes int64) {
	if h == nil {
		return
	}
	h.account.ledger.mu.Lock()
	defer h.account.ledger.mu.Unlock()
	h.bytes -= bytes
	h.account.ledger.give(h.account, bytes)
}

// Close gives back all that is left.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	h.account.ledger.mu.Lock()
	defer h.account.ledger.mu.Unlock()
	if h.bytes != 0 {
		h.account.ledger.give(h.account, h.bytes)
		h.bytes = 0
	}
}

type holdKey struct{}

// NewContext returns a context that carries the hold of a request.
func NewContext(ctx context.Context, h *Hold) context.Context {
	return context.WithValue(ctx, holdKey{}, h)
}

// FromContext returns the hold of a request; nil where it has none.
func FromContext(ctx context.Context) *Hold {
	h, _ := ctx.Value(holdKey{}).(*Hold)
	return h
}
