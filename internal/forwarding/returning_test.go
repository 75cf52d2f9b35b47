package forwarding

import "testing"

func TestCallersThatComeBackHaveRareTimeouts(t *testing.T) {
	var c commonTimeouts
	for range 2 * commonCount {
		c.observe(3000)
	}
	for _, item := range []struct {
		milliseconds int64
		back         bool
	}{{3000, false}, {2850, true}, {2711, true}, {3000, false}, {3500, false}} {
		if got := c.observe(item.milliseconds); got != item.back {
			t.Errorf("%d ms: %v", item.milliseconds, got)
		}
	}
}

func TestSecondCommonTimeoutIsNotTakenForAReturn(t *testing.T) {
	var c commonTimeouts
	wrong := 0
	for i := range 200 {
		if c.observe(5000) {
			t.Fatal("the longest timeout was taken for a return")
		}
		if i%3 == 0 && c.observe(2000) {
			wrong++
		}
	}
	if wrong > commonCount {
		t.Errorf("%d callers with a common timeout were taken for returning ones", wrong)
	}
}

func TestCommonTimeoutOutlivesManyReturns(t *testing.T) {
	var c commonTimeouts
	for range 50 {
		c.observe(3000)
	}
	for i := range int64(100) {
		c.observe(3000)
		c.observe(2900 - i)
		c.observe(2000 - i)
	}
	if c.observe(3000) || !c.observe(1500) {
		t.Error("the common timeout was forgotten")
	}
}
