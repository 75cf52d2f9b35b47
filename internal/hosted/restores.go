package hosted

import (
	"slices"
	"sync/atomic"

	"github.com/levertide/levertide/pkg/fleet"
)

// StoreRestores counts the effects on this node of restores of the store from a copy, and of other
// writers.
type StoreRestores struct {
	// Era is the highest era of the store that the node knows of; zero for none.
	Era uint64
	// Restores are the restores that it has learned of since it started.
	Restores uint64
	// PassedOver are the store's documents that were older than the one held.
	PassedOver uint64
	// Rejected are the calls for workers, and the entries, that were invalid.
	Rejected uint64
}

// restoreCounters are the counters behind StoreRestores.
type restoreCounters struct{ era, restores, passedOver, rejected atomic.Uint64 }

func (c *restoreCounters) read() StoreRestores {
	return StoreRestores{Era: c.era.Load(), Restores: c.restores.Load(), PassedOver: c.passedOver.Load(), Rejected: c.rejected.Load()}
}

// StoreRestores returns the counts since the node started.
func (a *Agent) StoreRestores() StoreRestores { return a.documents.restores.read() }

// followEras detects that the store was restored from a copy, from the answers to this node or from
// the records of others, and has this node's entry written again. Few nodes call the store, so
// whichever node sees a new era first reports it to the others: that may be one that has just
// started and has seen no other era.
func (a *Agent) followEras() {
	seen := a.config.Source.Era()
	newest := seen.Number
	for _, n := range a.config.Table.View().Nodes() {
		newest = max(newest, n.StoreEra)
	}
	if seen.Number > 0 && a.recordEra(seen.Number) {
		a.background(a.spreadRecord)
	}
	if newest <= a.storeEra {
		return
	}
	if a.storeEra != 0 {
		a.documents.restores.restores.Add(1)
		a.config.Events.StoreRestored(newest, seen)
	}
	a.storeEra = newest
	a.documents.restores.era.Store(newest)
	a.announcer.StoreRestored(newest)
}

// recordEra puts an era into this node's record, unless the record of some node has it already. It
// reports whether the era was unknown.
func (a *Agent) recordEra(era uint64) bool {
	known := slices.ContainsFunc(a.config.Table.View().Nodes(), func(n *fleet.Node) bool { return n.StoreEra >= era })
	if !known {
		a.config.Table.Update(func(own *fleet.Node) { own.StoreEra = era })
	}
	return !known
}
