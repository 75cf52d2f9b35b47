package baseline

import (
	"time"

	"github.com/levertide/levertide/internal/lab/fabric"
	"github.com/levertide/levertide/pkg/model"
)

// Node is one node that is to have the configuration.
type Node struct {
	ID   string
	Zone fabric.ZoneNumber
	Host uint8
}

// Source makes the changes, the same for every baseline and for the product.
type Source interface {
	// Next makes the next change and returns the whole configuration and what
	// has changed in it.
	Next() (whole, changed []model.Resource)
}

// Options describes one run of a baseline.
type Options struct {
	Nodes []Node
	Links *fabric.Links
	// Source gives the base configuration first and then the changes.
	Source Source
	// Changes is how many changes are measured, Interval the time between two.
	Changes  int
	Interval time.Duration
	// Address is the IP:port for the store or the hub to listen on.
	Address string
}

// Result is what a baseline measured.
type Result struct {
	// Convergence holds, for each change, how long it took until the last node
	// had it, in milliseconds.
	Convergence []float64
	// Rates holds the control bytes of each node per second, both directions,
	// averaged over the run. The hub's own is among them.
	Rates []float64
	// ServerRate is the same for the store or the hub.
	ServerRate float64
	// Requests is how many requests reached the store per second; zero for the hub.
	Requests float64
	// Missing is how many times a node did not get a change in time.
	Missing int
}
