package quota

import (
	"cmp"
	"slices"
	"time"
)

// This file holds what a hub knows of the nodes that have leased it their shares or were lent tokens.

// borrower is what a hub knows of a node.
type borrower struct {
	incarnation, number uint64
	share               float64
	until               time.Duration
	heardAt             time.Duration
	// firstHeardAt is when the hub first heard of this incarnation of the node.
	firstHeardAt time.Duration
	// confirms reports that the node, when last heard of, held no share leased by other nodes
	// and no token granted by a previous incarnation of this hub or by another hub.
	confirms bool
}

// advance ends the leases whose time is over.
func (p *pool) advance(now time.Duration) {
	if p.firstExpiry == 0 || now < p.firstExpiry {
		return
	}
	var ended []*borrower
	p.firstExpiry = 0
	for _, b := range p.borrowers {
		switch {
		case b.share == 0:
		case now >= b.until:
			ended = append(ended, b)
		default:
			p.noteLeaseEnd(b.until)
		}
	}
	slices.SortFunc(ended, func(a, b *borrower) int { return cmp.Compare(a.until, b.until) })
	for _, b := range ended {
		b.share = 0
		p.shareChanged(b.until)
	}
}

func (p *pool) noteLeaseEnd(at time.Duration) {
	if p.firstExpiry == 0 || at < p.firstExpiry {
		p.firstExpiry = at
	}
}

// recordMessage records the sender of a message. It reports whether the message is newer than
// all previous ones: a late or repeated message must not change what a newer one has reported.
func (p *pool) recordMessage(now time.Duration, r Request) (*borrower, bool) {
	sender, known := p.borrowers[r.Node]
	if !known {
		sender = &borrower{}
		p.borrowers[r.Node] = sender
	}
	if r.Incarnation < sender.incarnation || r.Incarnation == sender.incarnation && r.Number <= sender.number {
		return sender, false
	}
	if r.Incarnation != sender.incarnation {
		sender.firstHeardAt = now
	}
	sender.incarnation, sender.number, sender.heardAt = r.Incarnation, r.Number, now
	// A node that returns a stamp of this incarnation has dropped the tokens that the
	// previous one granted.
	sender.confirms = !r.HoldsLeasedShares && r.Stamp.Incarnation == p.incarnation
	return sender, true
}

// zoneConfirmed reports whether all other nodes of the zone have confirmed since the given
// time, when the current incarnation of a node was first heard of. Then no node holds a share
// leased by a previous incarnation of that node, or tokens granted by one.
func (p *pool) zoneConfirmed(node string, firstHeardAt time.Duration) bool {
	for _, id := range p.zone {
		if sender, known := p.borrowers[id]; id != node && (!known || !sender.confirmedSince(firstHeardAt)) {
			return false
		}
	}
	return true
}

func (b *borrower) confirmedSince(since time.Duration) bool {
	return b.confirms && b.heardAt >= since
}

// lease accepts the share that a node leases to this one, until leaseUseTerm after the stamp
// in the message. The node counts its own term from when it made the message, which is later.
func (p *pool) lease(now time.Duration, sender *borrower, r Request) {
	share, until := min(max(r.Share, 0), 1), r.Stamp.At+leaseUseTerm
	if r.Stamp.Incarnation != p.incarnation || now >= until || now < p.acceptsLeasesFrom {
		share = 0
	}
	if share > 0 {
		sender.until = until
		p.noteLeaseEnd(until)
	}
	if share != sender.share {
		sender.share = share
		p.shareChanged(now)
	}
}

// noteLoan records that a node holds tokens of this pool.
func (p *pool) noteLoan(now time.Duration, tokens float64) {
	if tokens > 0 {
		p.lastLoan, p.hasLent = now, true
	}
}

// loansEndAt returns the time from which no token that this pool has lent so far can be spent.
func (p *pool) loansEndAt(now time.Duration) time.Duration {
	if !p.hasLent || now >= p.lastLoan+loanTerm {
		return now
	}
	return now + loanTerm
}
