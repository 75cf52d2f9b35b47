package forwarding

import (
	"time"

	"github.com/levertide/levertide/pkg/slotqueue"
)

// claim is what decides for a call wherever calls compete: for a slot, for a turn on a
// link, for a worker. It is made where the call begins and goes with it to the worker's
// node.
type claim struct {
	// tenant names the tenant whose call it is; empty where there are no tenants.
	tenant string
	// rank orders calls: the lowest goes first.
	rank int
	// work is how long the call is expected to hold a slot of a worker of usual speed.
	work time.Duration
	// due is until when the answer is worth most to the caller.
	due time.Time
	// latestStart is until when a start is useful.
	latestStart time.Time
}

// byArrival returns the claim without work and due time: only rank and arrival order it.
func (c claim) byArrival() claim {
	c.work, c.due = 0, time.Time{}
	return c
}

// request returns what the claim asks of a queue.
func (c claim) request() slotqueue.Request {
	return slotqueue.Request{
		Tenant: c.tenant, Rank: c.rank, Work: c.work, Due: c.due, LatestStart: c.latestStart,
	}
}

// afterTransfer returns the claim of a call whose long body has afterTransfer. What has afterTransfer is lost
// when it gets no slot, so it may wait for one for as long as its answer can be due.
func (c claim) afterTransfer() claim {
	if c.due.IsZero() {
		return c
	}
	if latest := c.due.Add(-c.work); latest.After(c.latestStart) {
		c.latestStart = latest
	}
	return c
}

// forTransfer returns the claim of a call to the turn of its long body on a link: the body has to
// be there by when the work must begin, and how long it crosses is not how long it works.
func (c claim) forTransfer() claim {
	if !c.due.IsZero() {
		c.due = c.due.Add(-c.work)
	}
	c.work = 0
	return c
}
