package hosted

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/fleet"
)

const (
	// entryLife is the life of this node's key in the store, and renewInterval how
	// often it is lengthened.
	entryLife     = 2 * time.Minute
	renewInterval = 40 * time.Second
	// callBound bounds one call to the store.
	callBound = 1500 * time.Millisecond
)

// Announcer keeps this node's key in the store, and finds the first other nodes
// there. It is a suture service.
type Announcer struct {
	directory Directory
	table     *fleet.Table
	// found is called once with the nodes that the store names.
	found func(ctx context.Context, nodes []fleet.Node)
	lease Lease
}

// String names the part in events.
func (a *Announcer) String() string { return "announcer" }

// Serve keeps the key until the context ends.
func (a *Announcer) Serve(ctx context.Context) error {
	a.until(ctx, a.announce)
	a.until(ctx, a.list)
	for ctx.Err() == nil {
		sleep(ctx, jittered(renewInterval))
		a.renew(ctx)
	}
	return ctx.Err()
}

// until makes a call until it succeeds, with growing pauses.
func (a *Announcer) until(ctx context.Context, call func(ctx context.Context) error) {
	const longest = 4 * time.Second
	pause := 100 * time.Millisecond
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(ctx, callBound)
		err := call(bounded)
		cancel()
		if err == nil {
			return
		}
		sleep(ctx, jittered(pause))
		pause = min(2*pause, longest)
	}
}

func (a *Announcer) announce(ctx context.Context) error {
	own := a.table.View().Self()
	lease, err := a.directory.Announce(ctx, own.ID, encodeEntry(own), entryLife)
	if err == nil {
		a.lease = lease
	}
	return err
}

func (a *Announcer) list(ctx context.Context) error {
	entries, err := a.directory.List(ctx)
	if err != nil {
		return err
	}
	var nodes []fleet.Node
	own := a.table.View().Self().ID
	for _, entry := range entries {
		if node, ok := decodeEntry(entry); ok && node.ID != own {
			nodes = append(nodes, node)
		}
	}
	a.found(ctx, nodes)
	return nil
}

func (a *Announcer) renew(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, callBound)
	err := a.directory.Renew(bounded, a.lease)
	cancel()
	if errorx.IsOfType(err, ErrLeaseEnded) {
		a.until(ctx, a.announce)
	}
}

// withdraw takes the key away, at a planned stop.
func (a *Announcer) withdraw(ctx context.Context) {
	if a.lease == "" {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	_ = a.directory.Withdraw(bounded, a.lease)
}
