package quota

import "time"

// Stamp identifies a moment at a hub. The next message returns it, which proves to the hub
// that the message was made after that moment.
type Stamp struct {
	// Incarnation distinguishes the runs of the hub's process. It is zero only in the
	// empty stamp.
	Incarnation uint64
	At          time.Duration
}

// Request is what a node sends to the hub of its zone.
type Request struct {
	Node string
	// Incarnation rises with each start of the node's process, Number with each message
	// of an incarnation.
	Incarnation, Number uint64
	// Stamp is that of the last answer of this hub; empty if the hub has been unresponsive
	// since.
	Stamp Stamp
	// Share is the fraction of each limit that the node leases to the hub; zero ends the
	// lease.
	Share float64
	// HoldsLeasedShares reports that other nodes, which take this node for the hub, have
	// leased it their shares.
	HoldsLeasedShares bool
	Demands           []Demand
}

// Demand is what a node needs for one tenant.
type Demand struct {
	Tenant string
	Limit  Limit
	// Held is how many of the tokens granted by the hub the node keeps, Returned how many
	// it gives back.
	Held, Returned float64
	// Requested is how many more tokens the node expects to spend soon. Waiting is how many
	// of these are for requests that wait: they are spent as soon as they arrive, or given
	// back.
	Requested, Waiting float64
}

// Answer is the answer of the hub to a Request.
type Answer struct {
	Stamp Stamp
	// Confirmed reports that no node of the zone holds a share leased by a previous
	// incarnation of the requesting node.
	Confirmed bool
	Grants    []Grant
}

// Grant holds the tokens granted for one tenant.
type Grant struct {
	Tenant string
	Tokens float64
	// Next is the time after which another token is likely available. It is set when fewer
	// tokens were granted than requested.
	Next time.Duration
}
