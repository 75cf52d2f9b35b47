package quota

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// longestWindow is the length of the windows in which a limit is checked.
const longestWindow = 10 * time.Second

// knownSeeds is how many fixed seeds are run.
const knownSeeds = 150

// worstExcess returns by how many requests the worst window up to longestWindow exceeds what
// is allowed in it. The parameter allowed returns what a limit and the tolerance allow between
// two times.
func worstExcess(admitted []time.Duration, allowed func(from, to time.Duration) float64) float64 {
	worst := math.Inf(-1)
	for i, from := range admitted {
		for j := i; j < len(admitted) && admitted[j]-from <= longestWindow; j++ {
			worst = max(worst, float64(j-i+1)-allowed(from, admitted[j]))
		}
	}
	return worst
}

// allowedBy returns a function for worstExcess: what a constant limit allows with the
// tolerance.
func allowedBy(l Limit, tol Tolerance) func(from, to time.Duration) float64 {
	return func(from, to time.Duration) float64 {
		return (l.Rate*(to-from).Seconds()+l.Burst)*(1+tol.Overage) + tol.Slack
	}
}

// pickers returns ways to choose the node for each request of a tenant: one fixed node, any
// node, another node each second, any node of one zone.
func (m *testMesh) pickers() []func() *testNode {
	one := m.nodes[m.rng.IntN(len(m.nodes))]
	zone := m.rng.IntN(m.zones())
	return []func() *testNode{
		func() *testNode { return one },
		func() *testNode { return m.nodes[m.rng.IntN(len(m.nodes))] },
		func() *testNode { return m.nodes[int(m.now/time.Second)%len(m.nodes)] },
		func() *testNode {
			for {
				if t := m.nodes[m.rng.IntN(len(m.nodes))]; t.zone == zone {
					return t
				}
			}
		},
	}
}

// drawing draws a number from 0 up to n, n excluded, for a named parameter.
type drawing func(name string, n int) int

// drawn returns one of the values, chosen by a drawing.
func drawn[T any](draw drawing, name string, values ...T) T { return values[draw(name, len(values))] }

// simulateFailures runs a mesh under drawn failures, and returns by how many requests the
// worst window exceeds the limit.
func simulateFailures(draw drawing) (over float64, limit Limit, admitted int) {
	m := newTestMesh(uint64(draw("seed", 1<<30)), drawn(draw, "nodes", 2, 3, 5, 8, 12), drawn(draw, "zones", 1, 2, 3))
	m.loss = drawn(draw, "loss", 0, 0.02, 0.2)
	m.late = drawn(draw, "late", 0, 0.02, 0.2)
	m.repeated = drawn(draw, "twice", 0, 0.1, 0.5)
	m.blind = drawn(draw, "blind", 0, 0.5)
	m.resets = draw("resets", 2) == 1
	rate := drawn(draw, "rate", 2.0, 6, 20, 60)
	limit = Limit{Rate: rate, Burst: rate * drawn(draw, "burst seconds", 0, 0.3, 1, 2, 10)}
	m.limits["a"] = limit
	const end = 20 * time.Second
	m.injectFailures(drawn(draw, "troubles", 0, 3, 6, 12), end)
	load := drawn(draw, "load", 0.7, 1.5, 4)
	pick := m.pickers()[draw("place", 4)]
	returns := drawn(draw, "returns", 0, 0.1, 0.5)
	for at := 3 * time.Second; at < end; {
		// Callers pause, so that as many tokens as possible are saved, and then all send at once.
		from, until := at+m.upTo(2*time.Second), at+2*time.Second+m.upTo(4*time.Second)
		m.after(from, func() {
			m.arrivals("a", rate*load, until, returns, pick, nil)
			for range int(limit.Burst) {
				m.after(m.upTo(300*time.Millisecond), func() { pick().request("a", returns, nil) })
			}
		})
		at = until
	}
	m.run(end)
	return worstExcess(m.admitted["a"], allowedBy(limit, m.tol)), limit, len(m.admitted["a"])
}

// TestLimitHoldsWhateverFails cuts, restarts and suspends nodes, and loses, delays and repeats
// messages: in every window all nodes together stay within the limit and its tolerance.
func TestLimitHoldsWhateverFails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		over, limit, admitted := simulateFailures(func(name string, n int) int { return rapid.IntRange(0, n-1).Draw(t, name) })
		if over > 0 {
			t.Fatalf("a window exceeds %+v by %.1f of %d", limit, over, admitted)
		}
	})
}

// TestLimitHoldsForKnownSeeds runs the same with fixed seeds. Each of the broken variants in
// tests/mutants is found by some of them.
func TestLimitHoldsForKnownSeeds(t *testing.T) {
	for seed := range uint64(knownSeeds) {
		rng := rand.New(rand.NewPCG(seed, 0))
		over, limit, admitted := simulateFailures(func(_ string, n int) int { return rng.IntN(n) })
		if over > 0 {
			t.Errorf("seed %d: a window exceeds %+v by %.1f of %d", seed, limit, over, admitted)
		}
	}
}

// simulateFallenLimit lowers the limit while all nodes are connected. Each node learns of it
// with its next request. It returns by how many requests the worst window afterwards exceeds
// the lower limit.
func simulateFallenLimit(draw drawing) (over float64, low Limit) {
	m := newTestMesh(uint64(draw("seed", 1<<30)), 2+draw("nodes", 11), 1+draw("zones", 3))
	low = Limit{Rate: drawn(draw, "rate", 2.0, 10, 30), Burst: drawn(draw, "burst", 0.0, 2, 30)}
	m.limits["a"] = Limit{Rate: 100, Burst: 100}
	const fallen = 8 * time.Second
	m.after(fallen, func() { m.limits["a"] = low })
	pick := m.pickers()[draw("place", 4)]
	m.arrivals("a", drawn(draw, "demand", 20.0, 90, 300), 20*time.Second, 0, pick, nil)
	m.run(20 * time.Second)
	after := slices.DeleteFunc(m.admitted["a"], func(at time.Duration) bool { return at < fallen })
	return worstExcess(after, allowedBy(low, m.tol)), low
}

// TestFallenLimitIsFollowed lowers the limit while all nodes are connected.
func TestFallenLimitIsFollowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		over, low := simulateFallenLimit(func(name string, n int) int { return rapid.IntRange(0, n-1).Draw(t, name) })
		if over > 0 {
			t.Fatalf("after it fell to %+v a window exceeds the limit by %.1f", low, over)
		}
	})
}

// injectFailures schedules n failures at random times.
func (m *testMesh) injectFailures(n int, end time.Duration) {
	for range n {
		at := 2*time.Second + m.upTo(end-2*time.Second)
		t := m.nodes[m.rng.IntN(len(m.nodes))]
		if m.rng.IntN(2) == 0 {
			t = m.nodes[t.zone]
		}
		length := m.upTo(4 * time.Second)
		switch m.rng.IntN(6) {
		case 0:
			m.restart(t, at, length)
		case 5:
			for _, n := range m.nodes {
				m.restart(n, at, m.upTo(time.Second))
			}
		case 1:
			m.after(at, func() { t.suspendedUntil = m.now + length })
		case 2:
			m.after(at, func() { m.cutOff(func(n *testNode) bool { return n == t }, length) })
		case 3:
			m.after(at, func() { m.cutOff(func(n *testNode) bool { return n.zone == t.zone }, length) })
		case 4:
			share := m.rng.Float64()
			m.after(at, func() { m.cutOff(func(n *testNode) bool { return float64(n.i)/float64(len(m.nodes)) < share }, length) })
		}
	}
}

// restart ends the process of a node, and starts it again after the time down.
func (m *testMesh) restart(t *testNode, at, down time.Duration) {
	m.after(at, t.crash)
	m.after(at+down, func() { t.start(); t.updateView() })
}

// cutOff cuts the links between the nodes on one side and the other nodes for a time.
func (m *testMesh) cutOff(side func(t *testNode) bool, length time.Duration) {
	former := m.cut
	until := m.now + length
	m.cut = func(a, b *testNode) bool {
		return m.now < until && side(a) != side(b) || former(a, b)
	}
}

// TestWhatIsWithinTheLimitPasses has all nodes connected, with callers at one node, at all, at
// another one each second or in one zone: at least 0.98 of the requests that a single shared
// bucket would admit are admitted.
func TestWhatIsWithinTheLimitPasses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTestMesh(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 12).Draw(t, "nodes"), rapid.IntRange(1, 3).Draw(t, "zones"))
		rate := rapid.Float64Range(2, 200).Draw(t, "rate")
		limit := Limit{Rate: rate, Burst: rate}
		m.limits["a"] = limit
		pick := m.pickers()[rapid.IntRange(0, 3).Draw(t, "place")]
		// The reference bucket enforces the limit as a single process would.
		reference := bucket{limit: limit, level: limit.Burst, grantThreshold: 1, drawnAt: time.Hour}
		owed, passed := 0, 0
		load := rate * rapid.Float64Range(0.3, 3).Draw(t, "load")
		counted := func() *testNode {
			reference.mint(m.now, part{share: 1})
			if reference.level >= 1 {
				reference.level--
				owed++
			}
			return pick()
		}
		m.run(5 * time.Second)
		m.arrivals("a", load, 25*time.Second, 0, counted, func(admitted bool) {
			if admitted {
				passed++
			}
		})
		m.run(26 * time.Second)
		if float64(passed) < 0.98*float64(owed)-1 {
			t.Fatalf("%d passed of %d that are within %+v, load %.1f, %d messages", passed, owed, limit, load, m.messages)
		}
		if over := worstExcess(m.admitted["a"], allowedBy(limit, m.tol)); over > 0 {
			t.Fatalf("a window exceeds %+v by %.1f", limit, over)
		}
	})
}
