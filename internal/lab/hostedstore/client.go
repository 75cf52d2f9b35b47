package hostedstore

import (
	"context"
	"strconv"
	"time"

	"github.com/levertide/levertide/internal/hosted"
)

// Client is the way of one node to a Store.
type Client struct {
	store *Store
	node  string
	eras  hosted.EraTracker
}

var (
	_ hosted.Source    = (*Client)(nil)
	_ hosted.Directory = (*Client)(nil)
)

// Client returns the way of a node.
func (s *Store) Client(node string) *Client { return &Client{store: s, node: node} }

// begin counts a call and lets faults strike it.
func (c *Client) begin(ctx context.Context, kind Call) (Faults, error) {
	c.store.mutex.Lock()
	c.store.calls[kind]++
	c.store.mutex.Unlock()
	faults := c.struck()
	if faults.Silent {
		<-ctx.Done()
		return faults, hosted.ErrUnanswered.New("silent")
	}
	if faults.Refuse {
		return faults, hosted.ErrRefused.New("refused")
	}
	select {
	case <-time.After(faults.Delay):
	case <-ctx.Done():
		return faults, hosted.ErrUnanswered.New("slow")
	}
	return faults, nil
}

// struck returns the faults that strike the client now.
func (c *Client) struck() Faults {
	c.store.mutex.Lock()
	defer c.store.mutex.Unlock()
	if faults, own := c.store.faults[c.node]; own {
		return faults
	}
	return c.store.faults[everybody]
}

func (f Faults) lost(ctx context.Context) error {
	if !f.LoseAnswers {
		return nil
	}
	<-ctx.Done()
	return hosted.ErrUnanswered.New("answer lost")
}

// Era implements hosted.Source.
func (c *Client) Era() hosted.Era { return c.eras.Era() }

// position returns where the store stands, as an answer under the faults tells it, and
// has the client see it. The mutex of the store is held.
func (c *Client) position(faults Faults) hosted.Position {
	p := hosted.Position{Era: c.store.era, Revision: c.store.revision}
	if faults.HideEra {
		p.Era = 0
	}
	c.eras.Observe(p)
	return p
}

// see is position for a caller that does not hold the mutex.
func (c *Client) see(faults Faults) {
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
		return hosted.Document{}, hosted.Position{}, hosted.ErrUnanswered.New("late")
	}
	if document == nil {
		return hosted.Document{}, hosted.Position{}, hosted.ErrNoDocument.New("none")
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
	for {
		if c.struck().Silent {
			// The answer to a watch that began before does not come through either.
			<-ctx.Done()
			return hosted.Watched{}, hosted.ErrUnanswered.New("silent")
		}
		c.store.mutex.Lock()
		document, history, changed := c.store.document, c.store.history, c.store.changed
		at := c.position(faults)
		c.store.mutex.Unlock()
		if at.Era == 0 {
			at.Era = after.Era
		}
		if after.Revision < history || after.Revision > at.Revision || after.Era != 0 && at.Era != after.Era {
			return hosted.Watched{}, hosted.ErrHistoryGone.New("forgotten")
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
			return hosted.Watched{}, hosted.ErrUnanswered.New("given up")
		}
	}
}

// Grant implements hosted.Directory.
func (c *Client) Grant(ctx context.Context, _ time.Duration) (hosted.Lease, error) {
	faults, err := c.begin(ctx, CallGrant)
	if err != nil {
		return "", err
	}
	c.store.mutex.Lock()
	c.position(faults)
	c.store.leases++
	c.store.written++
	lease := hosted.Lease(strconv.FormatUint(c.store.leases, 10))
	c.store.granted[lease] = true
	c.store.mutex.Unlock()
	return lease, faults.lost(ctx)
}

// Replace implements hosted.Directory.
func (c *Client) Replace(ctx context.Context, e hosted.Entry, lease hosted.Lease) (hosted.Entry, bool, error) {
	faults, err := c.begin(ctx, CallReplace)
	if err != nil {
		return hosted.Entry{}, false, err
	}
	held, replaced, err := c.store.replace(e, lease)
	c.see(faults)
	if err != nil {
		return hosted.Entry{}, false, err
	}
	return held, replaced, faults.lost(ctx)
}

// Renew implements hosted.Directory.
func (c *Client) Renew(ctx context.Context, lease hosted.Lease) error {
	faults, err := c.begin(ctx, CallRenew)
	if err != nil {
		return err
	}
	c.store.mutex.Lock()
	defer c.store.mutex.Unlock()
	c.position(faults)
	if !c.store.granted[lease] {
		return hosted.ErrLeaseEnded.New("ended")
	}
	return nil
}

// Withdraw implements hosted.Directory.
func (c *Client) Withdraw(ctx context.Context, lease hosted.Lease) error {
	if _, err := c.begin(ctx, CallWithdraw); err != nil {
		return err
	}
	c.store.mutex.Lock()
	defer c.store.mutex.Unlock()
	if !c.store.granted[lease] {
		return hosted.ErrLeaseEnded.New("ended")
	}
	delete(c.store.granted, lease)
	for id, held := range c.store.entries {
		if held.lease == lease {
			delete(c.store.entries, id)
		}
	}
	return nil
}

// Entry implements hosted.Directory.
func (c *Client) Entry(ctx context.Context, id string) (hosted.Entry, error) {
	faults, err := c.begin(ctx, CallEntry)
	if err != nil {
		return hosted.Entry{}, err
	}
	c.store.mutex.Lock()
	defer c.store.mutex.Unlock()
	c.position(faults)
	return c.store.entries[id].Entry, nil
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
	c.store.mutex.Lock()
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
