package hostedstore

import (
	"context"
	"strconv"
	"time"

	"github.com/levertide/levertide/internal/hosted"
)

// Client is the connection of one node to a Store.
type Client struct {
	store *Store
	node  string
	eras  hosted.EraTracker
}

var (
	_ hosted.Source    = (*Client)(nil)
	_ hosted.Directory = (*Client)(nil)
)

// Client returns the client of a node.
func (s *Store) Client(node string) *Client { return &Client{store: s, node: node} }

// begin counts a call and injects the faults that apply before it is executed.
func (c *Client) begin(ctx context.Context, kind Call) (Faults, error) {
	c.store.mutex.Lock()
	c.store.calls[kind]++
	c.store.mutex.Unlock()
	faults := c.faultsInForce()
	if faults.Silent {
		<-ctx.Done()
		return faults, hosted.ErrUnanswered.New("the store is unresponsive")
	}
	if faults.Refuse || faults.RefuseRenewals && kind == CallRenew {
		return faults, hosted.ErrRefused.New("the store refuses calls")
	}
	select {
	case <-time.After(faults.Delay):
	case <-ctx.Done():
		return faults, hosted.ErrUnanswered.New("the call ended before the delayed store executed it")
	}
	return faults, nil
}

// faultsInForce returns the faults that apply to the client now.
func (c *Client) faultsInForce() Faults {
	c.store.mutex.Lock()
	defer c.store.mutex.Unlock()
	if faults, own := c.store.faults[c.node]; own {
		return faults
	}
	return c.store.faults[allNodes]
}

func (f Faults) loseAnswer(ctx context.Context) error {
	if !f.LoseAnswers {
		return nil
	}
	<-ctx.Done()
	return hosted.ErrUnanswered.New("the answer was lost after the call was executed")
}

// Era implements hosted.Source.
func (c *Client) Era() hosted.Era { return c.eras.Era() }

// position returns the era and revision of the store as an answer under the faults
// reports them, and has the client observe them. The mutex of the store is held.
func (c *Client) position(faults Faults) hosted.Position {
	p := hosted.Position{Era: c.store.era, Revision: c.store.revision}
	if faults.HideEra {
		p.Era = 0
	}
	c.eras.Observe(p)
	return p
}

// observePosition calls position for a caller that does not hold the mutex.
func (c *Client) observePosition(faults Faults) {
	c.store.mutex.Lock()
	defer c.store.mutex.Unlock()
	c.position(faults)
}

// Read implements hosted.Source.
func (c *Client) Read(ctx context.Context) (hosted.Document, hosted.Position, error) {
	faults, err := c.begin(ctx, CallRead)
	if err != nil {
		return hosted.Document{}, hosted.Position{}, err
	}
	c.store.mutex.Lock()
	document, at := c.store.document, c.position(faults)
	c.store.mutex.Unlock()
	select {
	case <-time.After(faults.Late):
	case <-ctx.Done():
		return hosted.Document{}, hosted.Position{}, hosted.ErrUnanswered.New("the read ended before its delayed answer arrived")
	}
	if document == nil {
		return hosted.Document{}, hosted.Position{}, hosted.ErrNoDocument.New("the store holds no document")
	}
	return *document, at, nil
}

// Watch implements hosted.Source.
func (c *Client) Watch(ctx context.Context, after hosted.Position, wait time.Duration) (hosted.Watched, error) {
	faults, err := c.begin(ctx, CallWatch)
	if err != nil {
		return hosted.Watched{}, err
	}
	bound := time.NewTimer(wait)
	defer bound.Stop()
	silenced := c.store.silencedWatches()
	for {
		if c.faultsInForce().Silent || c.store.silencedWatches() != silenced {
			// A watch that began before the fault gets no answer either.
			<-ctx.Done()
			return hosted.Watched{}, hosted.ErrUnanswered.New("the store is unresponsive")
		}
		c.store.mutex.Lock()
		document, history, changed := c.store.document, c.store.history, c.store.changed
		at := c.position(faults)
		c.store.mutex.Unlock()
		if at.Era == 0 {
			at.Era = after.Era
		}
		if after.Revision < history || after.Revision > at.Revision || after.Era != 0 && at.Era != after.Era {
			return hosted.Watched{}, hosted.ErrHistoryGone.New("the store does not hold the history since this position")
		}
		orders := c.store.ordersAfter(after.Revision)
		if document != nil && document.Revision <= after.Revision {
			document = nil
		}
		if document != nil || len(orders) > 0 {
			return hosted.Watched{Document: document, Orders: orders, Next: at}, nil
		}
		select {
		case <-changed:
		case <-bound.C:
			return hosted.Watched{Next: at}, nil
		case <-ctx.Done():
			return hosted.Watched{}, hosted.ErrUnanswered.New("the watch ended before a change")
		}
	}
}

// Grant implements hosted.Directory.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (hosted.Lease, error) {
	arrived := time.Now()
	faults, err := c.begin(ctx, CallGrant)
	if err != nil {
		return "", err
	}
	c.store.mutex.Lock()
	c.position(faults)
	c.store.leases++
	c.store.written++
	lease := hosted.Lease(strconv.FormatUint(c.store.leases, 10))
	c.store.granted[lease] = grant{ttl: ttl, renewed: arrived}
	c.store.mutex.Unlock()
	return lease, faults.loseAnswer(ctx)
}

// Replace implements hosted.Directory.
func (c *Client) Replace(ctx context.Context, e hosted.Entry, lease hosted.Lease) (hosted.Entry, bool, error) {
	faults, err := c.begin(ctx, CallReplace)
	if err != nil {
		return hosted.Entry{}, false, err
	}
	held, replaced, err := c.store.replace(e, lease)
	c.observePosition(faults)
	if err != nil {
		return hosted.Entry{}, false, err
	}
	return held, replaced, faults.loseAnswer(ctx)
}

// Renew implements hosted.Directory.
func (c *Client) Renew(ctx context.Context, lease hosted.Lease) error {
	arrived := time.Now()
	faults, err := c.begin(ctx, CallRenew)
	if err != nil {
		return err
	}
	c.store.lockCurrent()
	defer c.store.mutex.Unlock()
	c.position(faults)
	g, granted := c.store.granted[lease]
	if !granted {
		return hosted.ErrLeaseEnded.New("the lease has ended or was never granted")
	}
	g.renewed = arrived
	c.store.granted[lease] = g
	return nil
}

// Withdraw implements hosted.Directory.
func (c *Client) Withdraw(ctx context.Context, lease hosted.Lease) error {
	if _, err := c.begin(ctx, CallWithdraw); err != nil {
		return err
	}
	c.store.lockCurrent()
	defer c.store.mutex.Unlock()
	if !c.store.isGranted(lease) {
		return hosted.ErrLeaseEnded.New("the lease has ended or was never granted")
	}
	delete(c.store.granted, lease)
	for id, held := range c.store.entries {
		if held.lease == lease {
			delete(c.store.entries, id)
		}
	}
	return nil
}

// Remove implements hosted.Directory.
func (c *Client) Remove(ctx context.Context, id string, revision uint64) error {
	faults, err := c.begin(ctx, CallRemove)
	if err != nil {
		return err
	}
	c.store.lockCurrent()
	if held, exists := c.store.entries[id]; exists && held.Revision == revision {
		c.store.revision++
		delete(c.store.entries, id)
	}
	c.store.mutex.Unlock()
	c.observePosition(faults)
	return faults.loseAnswer(ctx)
}

// Entry implements hosted.Directory.
func (c *Client) Entry(ctx context.Context, id string) (hosted.Entry, error) {
	faults, err := c.begin(ctx, CallEntry)
	if err != nil {
		return hosted.Entry{}, err
	}
	c.store.lockCurrent()
	defer c.store.mutex.Unlock()
	c.position(faults)
	held := c.store.entries[id]
	held.Lease = held.lease
	return held.Entry, nil
}

// ListAll implements hosted.Directory.
func (c *Client) ListAll(ctx context.Context) ([]hosted.Entry, error) { return c.List(ctx, false) }

// List implements hosted.Directory.
func (c *Client) List(ctx context.Context, stale bool) ([]hosted.Entry, error) {
	kind := CallList
	if stale {
		kind = CallStaleList
	}
	faults, err := c.begin(ctx, kind)
	if err != nil {
		return nil, err
	}
	c.store.lockCurrent()
	defer c.store.mutex.Unlock()
	c.position(faults)
	listed := make([]hosted.Entry, 0, len(c.store.entries))
	for _, held := range c.store.entries {
		e := held.Entry
		e.Lease = held.lease
		listed = append(listed, e)
	}
	return listed, nil
}
