package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/levertide/levertide/pkg/balance"
)

// clock is a time source that tests advance explicitly.
type clock struct{ now time.Time }

func newClock() *clock                    { return &clock{now: time.Unix(1_000_000, 0)} }
func (c *clock) Now() time.Time           { return c.now }
func (c *clock) Advance(by time.Duration) { c.now = c.now.Add(by) }

// machine drives a Balancer by random steps.
type machine struct {
	clock     *clock
	balancer  *balance.Balancer
	options   balance.Options
	endpoints []balance.Endpoint
	open      []balance.Pick
}

func newMachine() *machine {
	c := newClock()
	options := balance.Options{
		Zone: "z0", Region: "r0",
		EjectedFraction: 0.5, PanicFraction: 0.3,
		Now: c.Now, Random: rand.NewPCG(1, 2),
	}
	return &machine{clock: c, options: options, balancer: balance.New(options)}
}

func (m *machine) update(t *rapid.T) {
	count := rapid.IntRange(0, 9).Draw(t, "count")
	m.endpoints = m.endpoints[:0]
	for i := range count {
		m.endpoints = append(m.endpoints, balance.Endpoint{
			ID:          fmt.Sprintf("n%d", i),
			Zone:        fmt.Sprintf("z%d", i%3),
			Region:      fmt.Sprintf("r%d", i%2),
			Leaving:     rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
			Incarnation: rapid.Uint64Range(0, 1).Draw(t, "incarnation"),
		})
	}
	m.balancer.Update(m.endpoints)
}

func (m *machine) pick(t *rapid.T) {
	var exclude []string
	for i := range 9 {
		if rapid.IntRange(0, 3).Draw(t, "exclude") == 0 {
			exclude = append(exclude, fmt.Sprintf("n%d", i))
		}
	}
	statuses := m.balancer.Statuses()
	pick, err := m.balancer.Pick(exclude...)
	usable := slices.DeleteFunc(slices.Clone(statuses), func(s balance.Status) bool {
		return s.Draining || slices.Contains(exclude, s.Endpoint.ID)
	})
	if err != nil {
		if !balance.IsNoEndpoint(err) || len(usable) > 0 {
			t.Fatalf("error %v with %d usable endpoints", err, len(usable))
		}
		return
	}
	m.checkPick(t, pick, statuses, usable)
	m.open = append(m.open, pick)
}

func (m *machine) checkPick(t *rapid.T, pick balance.Pick, all, usable []balance.Status) {
	index := slices.IndexFunc(usable, func(s balance.Status) bool { return s.Endpoint.ID == pick.Endpoint.ID })
	if index < 0 {
		t.Fatalf("picked %s, which is leaving, draining or excluded", pick.Endpoint.ID)
	}
	if !usable[index].Ejected {
		return
	}
	others := slices.ContainsFunc(usable, func(s balance.Status) bool { return !s.Ejected })
	left := 0
	for _, s := range all {
		if !s.Ejected && !s.Draining {
			left++
		}
	}
	if others && float64(left) >= m.options.PanicFraction*float64(len(all)) {
		t.Fatalf("picked the ejected %s while others were usable", pick.Endpoint.ID)
	}
}

func (m *machine) done(t *rapid.T) {
	if len(m.open) == 0 {
		t.Skip("nothing open")
	}
	index := rapid.IntRange(0, len(m.open)-1).Draw(t, "open")
	pick := m.open[index]
	m.open = slices.Delete(m.open, index, index+1)
	result := balance.Result{
		Outcome:   balance.Outcome(rapid.IntRange(0, 3).Draw(t, "outcome")),
		Load:      rapid.Float64Range(0, 1).Draw(t, "load"),
		LoadKnown: rapid.Bool().Draw(t, "loadKnown"),
		Draining:  rapid.IntRange(0, 9).Draw(t, "draining") == 0,
	}
	pick.Done(result)
	pick.Done(result)
}

func (m *machine) failMany(t *rapid.T) {
	for range 20 {
		pick, err := m.balancer.Pick()
		if err != nil {
			return
		}
		pick.Done(balance.Result{Outcome: balance.Failed})
		m.check(t)
	}
}

func (m *machine) advance(t *rapid.T) {
	m.clock.Advance(time.Duration(rapid.IntRange(10, 5000).Draw(t, "milliseconds")) * time.Millisecond)
}

// check runs after each step: no more endpoints are ejected than the cap, and no
// endpoint has more requests outstanding than are open.
func (m *machine) check(t *rapid.T) {
	statuses := m.balancer.Statuses()
	ejected := 0
	for _, s := range statuses {
		if s.Ejected {
			ejected++
		}
		if s.Outstanding < 0 || s.Outstanding > len(m.open) {
			t.Fatalf("%s has %d outstanding of %d", s.Endpoint.ID, s.Outstanding, len(m.open))
		}
	}
	limit := 0
	if len(statuses) >= 2 {
		limit = max(len(statuses)/2, 1)
	}
	if ejected > limit {
		t.Fatalf("%d of %d ejected, at most %d may be", ejected, len(statuses), limit)
	}
}

func TestBalancerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"update":   m.update,
			"pick":     m.pick,
			"done":     m.done,
			"failMany": m.failMany,
			"advance":  m.advance,
			"":         m.check,
		})
	})
}
