package hosted

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/fleet"
)

const (
	// directorySize is how many nodes have an entry in the store at least. Others
	// find the mesh by these: a herd of any size then writes no more than that.
	directorySize = 24
	// startSpread is the time over which the nodes of a whole mesh that starts
	// come to an empty store, so that most of them find entries there.
	startSpread = 300 * time.Millisecond
	// rejoinSpread is the time over which nodes look after entries that former lives
	// of them have left. These were renewed 60 s before at most, which leaves time.
	rejoinSpread = 20 * time.Second
	// entryLife is the life of this node's entry in the store, and renewInterval
	// how often it is lengthened, or looked whether there are too few.
	entryLife     = 2 * time.Minute
	renewInterval = 40 * time.Second
	// returnSpread is the time over which nodes look after their entries when the
	// store is back. Entries that lapsed are there again within two seconds.
	returnSpread = 500 * time.Millisecond
	// recallPause is how long nodes that were met have before the store is asked
	// for the former lives of this one.
	recallPause = 100 * time.Millisecond
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

// Announcer finds the first other nodes in the store, and keeps this node's entry
// there if too few others have one, or if the node has promised something of its
// workers: when all nodes die at once, nobody else remembers. It is a suture
// service.
type Announcer struct {
	directory Directory
	table     *fleet.Table
	// firstStart tells that the whole mesh starts, so that nobody has former lives.
	firstStart bool
	// found is called with nodes that the store names. It returns when some of
	// them have been asked.
	found func(ctx context.Context, nodes []fleet.Node)
	// former is called with entries of this node that others have written: its
	// former lives.
	former func(n fleet.Node)
	// recalled reports whether the node knows its former lives already, and
	// settled is called when the store knows nothing more of them.
	recalled func() bool
	settled  func()

	// met is closed when the nodes that were met last have answered, or have not in
	// time. It belongs to the announcer's own goroutine.
	met <-chan struct{}
	// turn is held while the entry is written, so that a newer one never meets an
	// older one on its way.
	turn chan struct{}
	// stale is signalled when the entry is to be written, returned when the store
	// answers again after an outage.
	stale    chan struct{}
	returned chan struct{}

	mu sync.Mutex
	// lease is the one that the entry is under; empty while this life has none.
	lease    Lease
	revision uint64
}

func newAnnouncer(directory Directory, table *fleet.Table) *Announcer {
	return &Announcer{
		directory: directory,
		table:     table,
		turn:      make(chan struct{}, 1),
		stale:     make(chan struct{}, 1),
		returned:  make(chan struct{}, 1),
	}
}

// String names the part in events.
func (a *Announcer) String() string { return "announcer" }

// Serve finds the others, and keeps the entry until the context ends.
func (a *Announcer) Serve(ctx context.Context) error {
	if a.firstStart {
		sleep(ctx, rand.N(startSpread))
	}
	a.until(ctx, a.join)
	a.settle(ctx)
	for ctx.Err() == nil {
		a.wait(ctx)
	}
	return ctx.Err()
}

// settle finds out what former lives have promised. Neither the nodes that were met
// nor the store is enough alone: the nodes may all have started just now, and the
// store may not have been reached when the promise was made.
func (a *Announcer) settle(ctx context.Context) {
	within(ctx, a.met, recallPause)
	a.until(ctx, a.recall)
	within(ctx, a.met, formerBound)
	if ctx.Err() == nil {
		a.settled()
	}
}

// within waits for an end, for at most the given time.
func within(ctx context.Context, end <-chan struct{}, bound time.Duration) {
	t := time.NewTimer(bound)
	defer t.Stop()
	select {
	case <-end:
	case <-t.C:
	case <-ctx.Done():
	}
}

// wait renews the entry, or looks whether there are too few, when it is time, and
// writes the entry when that is asked for.
func (a *Announcer) wait(ctx context.Context) {
	t := time.NewTimer(jittered(renewInterval))
	defer t.Stop()
	select {
	case <-t.C:
		a.renew(ctx)
	case <-a.returned:
		a.confirm(ctx)
	case <-a.stale:
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
		a.pause(ctx, jittered(pause))
		pause = min(2*pause, longestWritePause)
	}
}

// pause waits before a call is made again, until the store answers others.
func (a *Announcer) pause(ctx context.Context, pause time.Duration) {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-a.returned:
	case <-ctx.Done():
	}
}

// StoreReturned tells that the store answers again after an outage, in which the
// entry may have lapsed. The entry is looked after within returnSpread.
func (a *Announcer) StoreReturned() {
	time.AfterFunc(rand.N(returnSpread), a.check)
}

// check has the announcer's own goroutine make sure that the entry is there.
func (a *Announcer) check() {
	select {
	case a.returned <- struct{}{}:
	default:
	}
}

// bounded makes one call to the store.
func bounded(ctx context.Context, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	return call(ctx)
}

// join finds other nodes. A node that comes alone reads entries that may be a
// little old: those that matter are. When there are none, or the whole mesh
// starts, it reads what the store holds now.
func (a *Announcer) join(ctx context.Context) error {
	listed, err := a.list(ctx, !a.firstStart)
	if err == nil && listed.others() == 0 && !a.firstStart {
		listed, err = a.list(ctx, false)
	}
	if err != nil {
		return err
	}
	if len(listed.nodes) >= directorySize && listed.own == nil {
		a.meet(ctx, listed)
		return nil
	}
	if listed.own != nil {
		a.meet(ctx, listed)
		a.adopt(*listed.own)
		return nil
	}
	// Of two nodes that come at the same time, at least one must see the other:
	// each writes before it reads.
	if err := a.write(ctx); err != nil {
		return err
	}
	if listed, err = a.list(ctx, false); err != nil {
		return err
	}
	a.meet(ctx, listed)
	return nil
}

// adopt takes over the entry that a former life has left: others find this node by
// it, and it is enough to keep its lease alive. One that cannot be kept, or names
// another address, is written anew.
func (a *Announcer) adopt(e Entry) {
	a.mu.Lock()
	a.lease, a.revision = e.Lease, e.Revision
	a.mu.Unlock()
	former, _ := decodeEntry(e.Content)
	again := a.soon
	if self := a.table.View().Self(); e.Lease != "" && former.ControlAddress == self.ControlAddress && former.CallAddress == self.CallAddress {
		again = a.check
	}
	time.AfterFunc(rand.N(rejoinSpread), again)
}

// meet hands the nodes on, and does not wait until they have answered: that is
// bounded by itself.
func (a *Announcer) meet(ctx context.Context, listed listing) {
	met := make(chan struct{})
	a.met = met
	go func() {
		defer close(met)
		a.found(context.WithoutCancel(ctx), listed.nodes)
	}()
}

// recall reads what former lives of this node have promised, unless other nodes
// have told.
func (a *Announcer) recall(ctx context.Context) error {
	own := a.table.View().Self().ID
	if a.recalled() || a.firstStart {
		return nil
	}
	e, err := a.directory.Entry(ctx, own)
	if err != nil {
		return err
	}
	a.take(e)
	return nil
}

// take keeps the revision of the entry held, and tells of a former life.
func (a *Announcer) take(held Entry) {
	a.mu.Lock()
	a.revision = held.Revision
	a.mu.Unlock()
	if n, ok := decodeEntry(held.Content); ok {
		a.former(n)
	}
}

// Keep writes the entry as the node's record stands now. When that fails, it is
// tried again later.
func (a *Announcer) Keep(ctx context.Context) error {
	err := bounded(ctx, a.write)
	if err != nil {
		time.AfterFunc(jittered(firstWritePause), a.soon)
	}
	return err
}

// soon has the entry written by the announcer's own goroutine.
func (a *Announcer) soon() {
	select {
	case a.stale <- struct{}{}:
	default:
	}
}

// write puts the record into the store. An entry that somebody else has written is
// of a former life, or a write of this one that arrived late; what it promises is
// taken over before it is replaced.
func (a *Announcer) write(ctx context.Context) error {
	select {
	case a.turn <- struct{}{}:
		defer func() { <-a.turn }()
	case <-ctx.Done():
		return ErrUnanswered.Wrap(ctx.Err(), "an earlier write is under way")
	}
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
	lease, revision := a.held()
	if lease == "" {
		granted, err := a.directory.Grant(ctx, entryLife)
		if err != nil {
			return false, err
		}
		a.setLease(granted)
		lease = granted
	}
	own := a.table.View().Self()
	held, replaced, err := a.directory.Replace(ctx, Entry{ID: own.ID, Content: encodeEntry(own), Revision: revision}, lease)
	switch {
	case errorx.IsOfType(err, ErrLeaseEnded):
		a.setLease("")
		return false, err
	case err != nil:
		return false, err
	case !replaced:
		a.take(held)
		return false, nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revision = held.Revision
	return true, nil
}

func (a *Announcer) held() (Lease, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lease, a.revision
}

func (a *Announcer) setLease(lease Lease) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lease = lease
}

// listing is what the store names.
type listing struct {
	nodes []fleet.Node
	// own is the entry of this node; nil when there is none.
	own *Entry
}

// others counts the other nodes.
func (l listing) others() int { return len(l.nodes) }

func (a *Announcer) list(ctx context.Context, stale bool) (listing, error) {
	entries, err := a.directory.List(ctx, stale)
	if err != nil {
		return listing{}, err
	}
	var listed listing
	own := a.table.View().Self().ID
	for _, entry := range entries {
		n, ok := decodeEntry(entry.Content)
		switch {
		case entry.ID == own:
			listed.own = &entry
		case ok:
			listed.nodes = append(listed.nodes, n)
		}
	}
	return listed, nil
}

// renew lengthens the lease of a node that has an entry, and writes the entry anew
// when the lease has ended. A node without one looks whether there are enough, and
// meets nodes that it does not know.
func (a *Announcer) renew(ctx context.Context) {
	lease, _ := a.held()
	if lease == "" {
		_ = bounded(ctx, a.look)
		return
	}
	err := bounded(ctx, func(ctx context.Context) error { return a.directory.Renew(ctx, lease) })
	if errorx.IsOfType(err, ErrLeaseEnded) {
		a.until(ctx, a.write)
	}
}

// confirm makes sure that the entry of this node, if it has one, has outlasted an
// outage of the store.
func (a *Announcer) confirm(ctx context.Context) {
	if lease, _ := a.held(); lease != "" {
		a.renew(ctx)
	}
}

func (a *Announcer) look(ctx context.Context) error {
	listed, err := a.list(ctx, true)
	if err != nil {
		return err
	}
	var strangers []fleet.Node
	for _, n := range listed.nodes {
		if _, known := a.table.View().Node(n.ID); !known {
			strangers = append(strangers, n)
		}
	}
	if len(strangers) > 0 {
		a.meet(ctx, listing{nodes: strangers})
	}
	if listed.others() < directorySize {
		a.soon()
	}
	return nil
}

// withdraw takes the entry away, at a planned stop. One that holds promises stays
// for the next life, until its lease ends.
func (a *Announcer) withdraw(ctx context.Context) {
	lease, _ := a.held()
	if lease == "" || len(promisedOnly(a.table.View().Self().Workers)) > 0 {
		return
	}
	_ = bounded(ctx, func(ctx context.Context) error { return a.directory.Withdraw(ctx, lease) })
}
