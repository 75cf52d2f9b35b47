package forwarding

import (
	"time"

	"github.com/levertide/levertide/pkg/retry"
)

const (
	// additionalOfferShare is how many additional offers one answered call earns, and
	// additionalOfferBurst how many can be saved up: at low load a refused call is always offered
	// again, and under overload, when nearly all calls are refused, the number of offers grows by
	// no more than this share of the served calls.
	additionalOfferShare = 0.1
	additionalOfferBurst = 10
	// additionalOfferReward is how many further ones an additional offer earns when it is
	// answered: they continue as long as at least one of three finds a free slot.
	additionalOfferReward = 3
	// additionalOffersPerSecond is how many additional offers per second are allowed however few
	// calls are served: hardly any.
	additionalOffersPerSecond = 0.01
	// shortRoundTrip is the round-trip time of an offer below which an additional one is free.
	// Messages between zones take 1 to 3 ms where links are not full, and 40 to 200 ms where they
	// are. A bound of a sixteenth of the call's wait limit (10 to 30 ms) let offers fill such
	// links again, at a loss of 0.02 of a day's value.
	shortRoundTrip = 3 * time.Millisecond
)

// newAdditionalOffers returns the budget of additional offers to one service: how often calls
// that one node has refused for want of a slot are offered to another one. Under lasting overload
// each additional offer finds the next full node, and the messages fill narrow links that the
// served calls need: the value of a day beyond capacity was 0.07 with up to four offers a call,
// and 0.36 with one. If the last offer had a short round trip, an additional one is free.
func newAdditionalOffers() *retry.Budget {
	return retry.NewBudget(retry.BudgetOptions{
		Ratio: additionalOfferShare, MinimumPerSecond: additionalOffersPerSecond, Burst: additionalOfferBurst, Reward: additionalOfferReward,
	})
}
