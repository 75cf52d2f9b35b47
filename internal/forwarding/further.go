package forwarding

import (
	"time"

	"github.com/levertide/levertide/pkg/retry"
)

const (
	// additionalOfferShare is how many further offers one answered call pays for, and
	// furtherMost how many may be saved up: in calm times a call that is refused is
	// always offered again, and under overload, when nearly all are refused, offers
	// grow by no more than this share of what is served.
	additionalOfferShare = 0.1
	additionalOfferBurst = 10
	// additionalOfferReward is how many a further offer pays for that was answered: they go on
	// for as long as one of three finds a free slot.
	additionalOfferReward = 3
	// additionalOffersPerSecond is how many a second are allowed whatever is served: next to none.
	additionalOffersPerSecond = 0.01
	// shortRoundTrip is within which time an offer must have gone there and back for a
	// further one to be free. Messages between zones take 1 to 3 ms where links are not
	// filled, and 40 to 200 where they are. With a sixteenth of the call's patience, 10 to
	// 30 ms on such links, offers filled them again (0.02 of a day).
	shortRoundTrip = 3 * time.Millisecond
)

// newAdditionalOffers returns the budget of further offers to one service: how often calls
// that one node has refused for want of a slot are offered to another one. Under lasting
// overload each further offer finds the next full node, and the messages fill narrow
// links that the calls which are served need: the worth of a day beyond capacity was 0.07
// with up to four offers a call, and 0.36 with one. Where the last offer crossed quickly,
// a further one is free.
func newAdditionalOffers() *retry.Budget {
	return retry.NewBudget(retry.BudgetOptions{
		Ratio: additionalOfferShare, MinimumPerSecond: additionalOffersPerSecond, Burst: additionalOfferBurst, Reward: additionalOfferReward,
	})
}
