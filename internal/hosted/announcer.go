package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/fleet"
)

const (
	// entryLife is the life of this node's entry in the store, and renewInterval
	// how often it is lengthened.
	entryLife     = 2 * time.Minute
	renewInterval = 40 * time.Second
	// callBound bounds one call to the store.
	callBound = 1500 * time.Millisecond
	// writeTries bounds how often an entry is written again at once because
	// another one was found, or its lease had ended.
	writeTries = 3
	// firstWritePause and longestWritePause bound the pauses between calls that
	// the store does not answer.
	firstWritePause   = 100 * time.Millisecond
	longestWritePause = 4 * time.Second
)

// Announcer keeps this node's entry in the store, and finds the first other nodes
// there. The entry holds what the node has promised of its workers: when all nodes
// die at once, nobody else remembers. It is a suture service.
type Announcer struct {
	directory Directory
	table     *fleet.Table
	// found is called once with the nodes that the store names.
	found func(ctx context.Context, nodes []fleet.Node)
	// former is called with entries of this node that others have written: its
	// former lives.
	former func(n fleet.Node)

	// mu is held while the entry is written, so that a newer one never meets an
	// older one on its way.
	mu       sync.Mutex
	lease    Lease
	revision uint64
	// stale is signalled when the entry could not be written.
	stale chan struct{}
}

func newAnnouncer(directory Directory, table *fleet.Table) *Announcer {
	return &Announcer{directory: directory, table: table, stale: make(chan struct{}, 1)}
}

// String names the part in events.
func (a *Announcer) String() string { return "announcer" }

// Serve keeps the entry until the context ends.
func (a *Announcer) Serve(ctx context.Context) error {
	a.until(ctx, a.write)
	a.until(ctx, a.list)
	for ctx.Err() == nil {
		a.wait(ctx)
	}
	return ctx.Err()
}

// wait lengthens the lease when it is time, and writes the entry again when an
// earlier try has failed.
func (a *Announcer) wait(ctx context.Context) {
	t := time.NewTimer(jittered(renewInterval))
	defer t.Stop()
	select {
	case <-t.C:
		a.renew(ctx)
	case <-a.stale:
		sleep(ctx, jittered(firstWritePause))
		a.until(ctx, a.write)
	case <-ctx.Done():
	}
}

// until makes a call until it succeeds, with growing pauses.
func (a *Announcer) until(ctx context.Context, call func(ctx context.Context) error) {
	pause := firstWritePause
	for ctx.Err() == nil {
		if bounded(ctx, call) == nil {
			return
		}
		sleep(ctx, jittered(pause))
		pause = min(2*pause, longestWritePause)
	}
}

// bounded makes one call to the store.
func bounded(ctx context.Context, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	return call(ctx)
}

// Keep writes the entry as the node's record stands now. When that fails, it is
// tried again later.
func (a *Announcer) Keep(ctx context.Context) error {
	err := bounded(ctx, a.write)
	if err != nil {
		select {
		case a.stale <- struct{}{}:
		default:
		}
	}
	return err
}

// write puts the record into the store. An entry that somebody else has written is
// of a former life, or a write of this one that arrived late; what it promises is
// taken over before it is replaced.
func (a *Announcer) write(ctx context.Context) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	var err error
	for range writeTries {
		var done bool
		if done, err = a.tryWrite(ctx); done {
			return nil
		}
		if err != nil && !errorx.IsOfType(err, ErrLeaseEnded) {
			return err
		}
	}
	if err == nil {
		err = ErrRefused.New("the entry was written by others %d times", writeTries)
	}
	return err
}

// tryWrite makes one try; false without an error means that another entry was found.
func (a *Announcer) tryWrite(ctx context.Context) (bool, error) {
	if a.lease == "" {
		lease, err := a.directory.Grant(ctx, entryLife)
		if err != nil {
			return false, err
		}
		a.lease = lease
	}
	own := a.table.View().Self()
	held, replaced, err := a.directory.Replace(ctx, own.ID, Entry{Content: encodeEntry(own), Revision: a.revision}, a.lease)
	switch {
	case errorx.IsOfType(err, ErrLeaseEnded):
		a.lease = ""
		return false, err
	case err != nil:
		return false, err
	}
	a.revision = held.Revision
	if n, ok := decodeEntry(held.Content); ok && !replaced {
		a.former(n)
	}
	return replaced, nil
}

func (a *Announcer) list(ctx context.Context) error {
	entries, err := a.directory.List(ctx)
	if err != nil {
		return err
	}
	var nodes []fleet.Node
	own := a.table.View().Self().ID
	for _, entry := range entries {
		if n, ok := decodeEntry(entry); ok && n.ID != own {
			nodes = append(nodes, n)
		}
	}
	a.found(ctx, nodes)
	return nil
}

// renew lengthens the lease. When it has ended, the entry is written anew.
func (a *Announcer) renew(ctx context.Context) {
	err := bounded(ctx, func(ctx context.Context) error { return a.directory.Renew(ctx, a.currentLease()) })
	if errorx.IsOfType(err, ErrLeaseEnded) {
		a.until(ctx, a.write)
	}
}

func (a *Announcer) currentLease() Lease {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lease
}

// withdraw takes the entry away, at a planned stop. One that holds promises stays
// for the next life, until its lease ends.
func (a *Announcer) withdraw(ctx context.Context) {
	lease := a.currentLease()
	if lease == "" || len(promisedOnly(a.table.View().Self().Workers)) > 0 {
		return
	}
	_ = bounded(ctx, func(ctx context.Context) error { return a.directory.Withdraw(ctx, lease) })
}
