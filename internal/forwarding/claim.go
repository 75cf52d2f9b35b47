package forwarding

import (
	"time"

	"github.com/levertide/levertide/pkg/slotqueue"
)

// claim holds what decides the order of a call wherever calls compete: for a slot, for a turn on
// a link, for a worker. It is made where the call begins and is sent with it to the worker's
// node.
type claim struct {
	// tenant is the tenant of the call; empty where there are no tenants.
	tenant string
	// rank orders calls: the lowest goes first.
	rank int
	// work is how long the call is expected to hold a slot of a worker of usual speed.
	work time.Duration
	// due is until when the answer has its full value for the caller.
	due time.Time
	// latestStart is the latest time at which starting the call is useful.
	latestStart time.Time
}

// byArrival returns the claim without work and due time, so that only rank and arrival order it.
func (c claim) byArrival() claim {
	c.work, c.due = 0, time.Time{}
	return c
}

// request returns the queue request for the claim.
func (c claim) request() slotqueue.Request {
	return slotqueue.Request{
		Tenant: c.tenant, Rank: c.rank, Work: c.work, Due: c.due, LatestStart: c.latestStart,
	}
}

// afterTransfer returns the claim of a call whose long body has been transferred. The transfer is
// wasted when the call gets no slot, so the call may wait for one for as long as its answer can
// be in time.
func (c claim) afterTransfer() claim {
	if c.due.IsZero() {
		return c
	}
	if latest := c.due.Add(-c.work); latest.After(c.latestStart) {
		c.latestStart = latest
	}
	return c
}

// forTransfer returns the claim for transferring the call's long body over a link: the body has
// to be there by the time the work must begin, and how long the transfer takes does not depend on
// how long the work takes.
func (c claim) forTransfer() claim {
	if !c.due.IsZero() {
		c.due = c.due.Add(-c.work)
	}
	c.work = 0
	return c
}
