package hosted

import (
	"context"

	"github.com/levertide/levertide/pkg/fleet"
)

// join finds other nodes. It reads entries that may be a little old, which costs a tenth:
// those that matter mostly are. When there are none, or too few while the whole mesh
// starts, it reads what the store holds now.
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
	if listed.own != nil {
		a.contact(ctx, listed)
		a.adopt(*listed.own, before)
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
	a.contact(ctx, listed)
	return nil
}

// mayBeIncomplete reports whether a list that may be old shows so few nodes that a newer one may
// show more.
func (a *Announcer) mayBeIncomplete(listed listing) bool {
	return listed.others() == 0 || a.firstStart && listed.others() < directorySize
}

// contact hands the nodes on, and does not wait until they have answered: that is
// bounded by itself.
func (a *Announcer) contact(ctx context.Context, listed listing) {
	contacted := make(chan struct{})
	a.contacted = contacted
	go func() {
		defer close(contacted)
		a.onListed(context.WithoutCancel(ctx), listed.nodes, listed.own != nil)
	}()
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
		n, ok := decodeEntry(entry)
		switch {
		case entry.ID == own:
			listed.own = &entry
		case ok:
			listed.nodes = append(listed.nodes, n)
		default:
			a.onRejected(entry.ID)
		}
	}
	return listed, nil
}

func (a *Announcer) checkDirectory(ctx context.Context) error {
	listed, err := a.list(ctx, true)
	if err != nil {
		return err
	}
	var unknown []fleet.Node
	for _, n := range listed.nodes {
		if _, known := a.table.View().Node(n.ID); !known {
			unknown = append(unknown, n)
		}
	}
	if len(unknown) > 0 {
		a.contact(ctx, listing{nodes: unknown})
	}
	if listed.others() < directorySize {
		a.writeSoon()
	}
	return nil
}
