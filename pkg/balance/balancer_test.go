package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/balance"
)

const draws = 20_000

func sameZone(count int) []balance.Endpoint {
	endpoints := make([]balance.Endpoint, count)
	for i := range endpoints {
		endpoints[i] = balance.Endpoint{ID: fmt.Sprintf("n%d", i), Zone: "a", Region: "west", Incarnation: 1}
	}
	return endpoints
}

func newBalancer(c *clock) *balance.Balancer {
	return balance.New(balance.Options{Zone: "a", Region: "west", Now: c.Now, Random: rand.NewPCG(7, 9)})
}

func mustPick(t *testing.T, b *balance.Balancer, exclude ...string) balance.Pick {
	t.Helper()
	pick, err := b.Pick(exclude...)
	if err != nil {
		t.Fatal(err)
	}
	return pick
}

// shares measures how often each endpoint is picked when every answer comes at
// once.
func shares(t *testing.T, b *balance.Balancer, load float64) map[string]float64 {
	t.Helper()
	counts := make(map[string]float64)
	for range draws {
		pick := mustPick(t, b)
		counts[pick.Endpoint.ID] += 1.0 / draws
		pick.Done(balance.Result{Outcome: balance.Answered, Load: load, LoadKnown: true})
	}
	return counts
}

func failUntilEjected(t *testing.T, b *balance.Balancer, id string) {
	t.Helper()
	for range 1000 {
		pick := mustPick(t, b)
		outcome := balance.Answered
		if pick.Endpoint.ID == id {
			outcome = balance.Failed
		}
		pick.Done(balance.Result{Outcome: outcome})
		if ejected(b, id) {
			return
		}
	}
	t.Fatalf("%s was not ejected", id)
}

func ejected(b *balance.Balancer, id string) bool {
	for _, s := range b.Statuses() {
		if s.Endpoint.ID == id {
			return s.Ejected
		}
	}
	return false
}

func TestNewIncarnationStartsSlowly(t *testing.T) {
	c := newClock()
	b := newBalancer(c)
	endpoints := sameZone(5)
	b.Update(endpoints)
	endpoints[0].Incarnation = 2
	b.Update(endpoints)

	// A pick draws two of the five endpoints; each draw is accepted with the weight as its probability.
	for _, step := range []struct{ weight, most float64 }{{0.1, 0.05}, {0.55, 0.25}, {1, 0.45}} {
		share := shares(t, b, 0)["n0"]
		if share == 0 || share > step.most {
			t.Errorf("weight %.2f: share %.3f, want above 0 and at most %.3f", step.weight, share, step.most)
		}
		c.Advance(balance.DefaultSlowStart / 2)
	}
}

func TestOwnZoneFirstThenSpillOver(t *testing.T) {
	endpoints := append(sameZone(2),
		balance.Endpoint{ID: "region", Zone: "b", Region: "west"},
		balance.Endpoint{ID: "far", Zone: "c", Region: "east"})
	c := newClock()
	b := newBalancer(c)
	b.Update(endpoints)

	idle := shares(t, b, 0.2)
	if got := idle["n0"] + idle["n1"]; got < 0.999 {
		t.Errorf("idle own zone got %.3f of the requests", got)
	}
	for range 100 {
		pick := mustPick(t, b, "region", "far")
		pick.Done(balance.Result{Outcome: balance.Shed, Load: 1, LoadKnown: true})
	}
	c.Advance(10 * time.Millisecond)
	if pick := mustPick(t, b); pick.Endpoint.ID != "region" {
		t.Errorf("overloaded own zone: picked %s, want region", pick.Endpoint.ID)
	}
	if pick := mustPick(t, b, "n0", "n1", "region"); pick.Endpoint.ID != "far" {
		t.Errorf("nearer ones excluded: picked %s, want far", pick.Endpoint.ID)
	}
	c.Advance(10 * balance.DefaultLoadHalfLife)
	aged := shares(t, b, 0)
	if got := aged["n0"] + aged["n1"]; got < 0.999 {
		t.Errorf("own zone got %.3f of the requests after its load had aged", got)
	}
}

// TestBurstSpillsOverBeforeItsFirstReport sends many requests at once, so that no
// answer can have reported yet that the own zone is full.
func TestBurstSpillsOverBeforeItsFirstReport(t *testing.T) {
	const slots, slotsFull = 6, 0.75
	endpoints := append(sameZone(2), balance.Endpoint{ID: "region", Zone: "b", Region: "west"})
	c := newClock()
	b := newBalancer(c)
	b.Update(endpoints)
	for range 100 {
		pick := mustPick(t, b, "region")
		pick.Done(balance.Result{Load: slotsFull / slots, LoadKnown: true})
	}
	counts := make(map[string]int)
	for range 10 * slots {
		c.Advance(5 * time.Millisecond)
		counts[mustPick(t, b).Endpoint.ID]++
	}
	if own := counts["n0"] + counts["n1"]; own < slots || own > 2*slots {
		t.Errorf("%d of %d requests went to an own zone of %d slots", own, 10*slots, 2*slots)
	}
}

func TestEjectionTimeDoublesAndEnds(t *testing.T) {
	c := newClock()
	b := newBalancer(c)
	b.Update(sameZone(4))
	for _, length := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
		failUntilEjected(t, b, "n0")
		c.Advance(length - time.Millisecond)
		if !ejected(b, "n0") {
			t.Fatalf("ejection ended before %v", length)
		}
		if share := shares(t, b, 0)["n0"]; share != 0 {
			t.Fatalf("ejected endpoint got %.3f of the requests", share)
		}
		c.Advance(time.Millisecond)
		if ejected(b, "n0") {
			t.Fatalf("still ejected after %v", length)
		}
	}
}

func TestDrainMarkEndsPicks(t *testing.T) {
	c := newClock()
	b := newBalancer(c)
	b.Update(sameZone(2))
	pick := mustPick(t, b, "n1")
	pick.Done(balance.Result{Outcome: balance.Shed, Draining: true})
	if share := shares(t, b, 0)["n0"]; share != 0 {
		t.Errorf("draining endpoint got %.3f of the requests", share)
	}
	if _, err := b.Pick("n1"); !balance.IsNoEndpoint(err) {
		t.Errorf("error %v, want no endpoint", err)
	}
	c.Advance(balance.DefaultDrainHold)
	if share := shares(t, b, 0)["n0"]; share == 0 {
		t.Error("endpoint got no requests after the drain mark had lapsed")
	}
}

func TestPanicModeUsesEjectedOnes(t *testing.T) {
	c := newClock()
	b := newBalancer(c)
	endpoints := sameZone(8)
	b.Update(endpoints)
	for _, id := range []string{"n0", "n1", "n2", "n3"} {
		failUntilEjected(t, b, id)
	}
	for i := 4; i < 7; i++ {
		pick := mustPick(t, b, idsExcept(endpoints, i)...)
		pick.Done(balance.Result{Outcome: balance.Shed, Draining: true})
	}
	c.Advance(10 * time.Millisecond)
	if got := shares(t, b, 0); got["n0"] == 0 || got["n5"] != 0 {
		t.Errorf("shares %v: want ejected ones used and draining ones not", got)
	}
}

func idsExcept(endpoints []balance.Endpoint, but int) []string {
	var ids []string
	for i, endpoint := range endpoints {
		if i != but {
			ids = append(ids, endpoint.ID)
		}
	}
	return ids
}

func TestNoEndpoints(t *testing.T) {
	b := balance.New(balance.Options{})
	if _, err := b.Pick(); !balance.IsNoEndpoint(err) {
		t.Errorf("error %v, want no endpoint", err)
	}
}

func TestPickDoesNotAllocate(t *testing.T) {
	b := balance.New(balance.Options{Zone: "a", Region: "west"})
	b.Update(sameZone(7))
	allocations := testing.AllocsPerRun(1000, func() {
		pick, err := b.Pick("n1", "n2")
		if err != nil {
			t.Fatal(err)
		}
		pick.Done(balance.Result{Outcome: balance.Answered})
	})
	if allocations != 0 {
		t.Errorf("%v allocations for a pick", allocations)
	}
}
