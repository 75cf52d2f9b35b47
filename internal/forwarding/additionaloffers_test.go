package forwarding

import (
	"testing"
	"time"
)

// TestAdditionalOffersEndUnderOverload refuses all additional offers: they decrease to a share of
// the answered calls, and continue without limit where they are answered.
func TestAdditionalOffersEndUnderOverload(t *testing.T) {
	const calls = 1000
	now := time.Now()
	refused, answered := newAdditionalOffers(), newAdditionalOffers()
	made := 0
	for range calls {
		if refused.Spend(now) {
			made++
		}
		refused.Earn()
	}
	if most := additionalOfferBurst + int(additionalOfferShare*calls) + 1; made > most {
		t.Errorf("%d additional offers for %d answers, at most %d", made, calls, most)
	}
	for i := range calls {
		if !answered.Spend(now) {
			t.Fatalf("the additional offer of call %d was not allowed, though all were answered", i)
		}
		answered.Earn()
		answered.Succeed()
	}
}
