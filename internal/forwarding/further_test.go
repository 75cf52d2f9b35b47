package forwarding

import (
	"testing"
	"time"
)

// TestAdditionalOffersEndUnderOverload lets all further offers be refused: they come down
// to a share of what is answered, and go on freely where they are answered.
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
		t.Errorf("%d further offers for %d answers, at most %d", made, calls, most)
	}
	for i := range calls {
		if !answered.Spend(now) {
			t.Fatalf("the further offer of call %d was not allowed, though all were answered", i)
		}
		answered.Earn()
		answered.Succeed()
	}
}
