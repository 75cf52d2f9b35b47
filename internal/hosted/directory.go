package hosted

import (
	"context"
	"slices"

	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/fleet"
)

// join finds other nodes. It reads a list that may be slightly stale, which costs a tenth of a
// current one; the entries that matter are mostly old enough to be in it. When the list has no other
// node, or too few while the whole mesh starts, it reads the current list.
func (a *Announcer) join(ctx context.Context) error {
	before := a.newestEra()
	listed, err := a.list(ctx, true)
	if err == nil && a.mayBeIncomplete(listed) {
		listed, err = a.list(ctx, false)
	}
	if err != nil {
		return err
	}
	if len(listed.nodes) >= directorySize && listed.own == nil {
		a.contact(ctx, listed)
		return nil
	}
	if listed.own != nil && a.adopt(*listed.own, before) {
		a.contact(ctx, listed)
		return nil
	}
	// Of two nodes that start at the same time, at least one must see the other: each writes before
	// it reads.
	if err := a.write(ctx); err != nil {
		return err
	}
	if listed, err = a.list(ctx, false); err != nil {
		return err
	}
	a.contact(ctx, listed)
	return nil
}

// mayBeIncomplete reports whether a possibly stale list has so few nodes that a current one may
// have more.
func (a *Announcer) mayBeIncomplete(listed listing) bool {
	return listed.others() == 0 || a.firstStart && listed.others() < directorySize
}

// contact passes the nodes to onListed without waiting for it, since onListed has a time limit of
// its own.
func (a *Announcer) contact(ctx context.Context, listed listing) {
	contacted := make(chan struct{})
	a.contacted = contacted
	go contain.Run(contain.Task, a.String(), a.panicked, func() {
		defer close(contacted)
		a.onListed(context.WithoutCancel(ctx), listed.nodes, listed.own != nil)
	})
}

// listing is the content of the directory.
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
	a.unreached.Store(slices.ContainsFunc(entries, func(e Entry) bool { return e.ID != own && !a.isReached(e.ID) }))
	for _, entry := range entries {
		n, err := a.decode(entry)
		switch {
		case entry.ID == own:
			listed.own = &entry
		case err == nil:
			listed.nodes = append(listed.nodes, n.AsListed())
		default:
			a.onRejected(entry.ID, err)
		}
	}
	return listed, nil
}

// checkDirectory contacts the listed nodes that this one does not know, or knows where they cannot be
// reached, and writes the entry of this node if it was displaced, or is needed.
func (a *Announcer) checkDirectory(ctx context.Context) error {
	listed, err := a.list(ctx, true)
	if err != nil {
		return err
	}
	if listed.own != nil && a.displaced(*listed.own) {
		a.take(*listed.own)
		if err := a.write(ctx); err != nil {
			a.writeSoon()
			return err
		}
		// Entries of others may have been displaced, too, and be back by now.
		if listed, err = a.list(ctx, false); err != nil {
			return err
		}
	}
	var news []fleet.Node
	for _, n := range listed.nodes {
		held, known := a.table.View().Node(n.ID)
		if !known || !a.isReached(n.ID) && (n.NewerThan(held) || n.ControlAddress != held.ControlAddress) {
			news = append(news, n)
		}
	}
	if len(news) > 0 {
		a.contact(ctx, listing{nodes: news})
	}
	if lease, _ := a.held(); lease == "" && (listed.others() < directorySize || a.isAlone()) {
		a.writeSoon()
	}
	return nil
}

// isReached reports whether a node is known, has not left, and is not taken to be lost.
func (a *Announcer) isReached(id string) bool {
	held, known := a.table.View().Node(id)
	return known && held.State != fleet.StateLeft && !a.isLost(id)
}
