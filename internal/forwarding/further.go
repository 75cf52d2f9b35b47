package forwarding

import (
	"sync"
	"time"
)

const (
	// furtherShare is how many further offers one answered call pays for, and
	// furtherMost how many may be saved up: in calm times a call that is refused is
	// always offered again, and under overload, when nearly all are refused, offers
	// grow by no more than this share of what is served.
	furtherShare = 0.1
	furtherMost  = 10
	// furtherReward is how many a further offer pays for that was answered: they go on
	// for as long as one of three finds a free slot.
	furtherReward = 3
	// quickCrossing is within which time an offer must have gone there and back for a
	// further one to be free. Messages between zones take 1 to 3 ms where links are not
	// filled, and 40 to 200 where they are. With a sixteenth of the call's patience, 10 to
	// 30 ms on such links, offers filled them again (0.02 of a day).
	quickCrossing = 3 * time.Millisecond
)

// furtherOffers bounds how often calls that one node has refused for want of a slot are
// offered to another one. Under lasting overload each further offer finds the next full
// node, and the messages fill narrow links that the calls which are served need: the worth
// of a day beyond capacity was 0.07 with up to four offers a call, and 0.36 with one.
// Where the last one crossed quickly, a further offer is free. Use newFurtherOffers.
type furtherOffers struct {
	mu   sync.Mutex
	left float64
}

func newFurtherOffers() *furtherOffers { return &furtherOffers{left: furtherMost} }

// earn counts a call that was answered, after the given number of further offers.
func (f *furtherOffers) earn(made int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.left += furtherShare
	if made > 0 {
		f.left += furtherReward
	}
	f.left = min(f.left, furtherMost)
}

// any reports whether a further offer may be made now.
func (f *furtherOffers) any() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.left >= 1
}

// spend reports whether a further offer may be made, and counts it.
func (f *furtherOffers) spend() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.left < 1 {
		return false
	}
	f.left--
	return true
}
