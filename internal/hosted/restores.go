package hosted

import (
	"slices"
	"sync/atomic"

	"github.com/levertide/levertide/pkg/fleet"
)

// StoreRestores counts what this node has had to do with a store that came back from copies,
// and with other writers.
type StoreRestores struct {
	// Era is the highest era of the store that the node has heard of; zero for none.
	Era uint64
	// Restores are the returns that it has heard of since it started.
	Restores uint64
	// PassedOver are the documents of the store that were older than the one held.
	PassedOver uint64
	// Rejected are the calls for workers, and the entries, that could not be used.
	Rejected uint64
}

// restoreCounters are the counters behind StoreReturns.
type restoreCounters struct{ era, restores, passedOver, rejected atomic.Uint64 }

func (c *restoreCounters) read() StoreRestores {
	return StoreRestores{Era: c.era.Load(), Restores: c.restores.Load(), PassedOver: c.passedOver.Load(), Rejected: c.rejected.Load()}
}

// StoreRestores returns what has been counted since the node started.
func (a *Agent) StoreRestores() StoreRestores { return a.documents.restores.read() }

// followEras finds out that the store came back from a copy, by the answers to this node or
// the records of others, and has what this node keeps there written again. Few nodes call the
// store, and whoever sees a new era first tells the others: that may be one that has just
// started, and has seen no other era.
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

// recordEra takes an era into the own record, unless another node's tells it. It reports whether
// that is news.
func (a *Agent) recordEra(era uint64) bool {
	known := slices.ContainsFunc(a.config.Table.View().Nodes(), func(n *fleet.Node) bool { return n.StoreEra >= era })
	if !known {
		a.config.Table.Update(func(own *fleet.Node) { own.StoreEra = era })
	}
	return !known
}
