package quota

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"
)

// largeMeshes also runs the comparison of strategies with large meshes.
var largeMeshes = flag.Bool("whole", false, "compare the ways at up to 1,900 nodes")

// strategy is a way to enforce one limit over many nodes.
type strategy interface {
	// request decides on a request at a node at the current time of the mesh.
	request(t *testNode, done func(admitted bool))
}

// leased is the strategy of this package.
type leased struct{}

func (leased) request(t *testNode, done func(bool)) { t.request("a", 0, done) }

// fixedParts gives each node a bucket with an equal part of the limit.
type fixedParts struct {
	m       *testMesh
	limit   Limit
	buckets []bucket
}

func newFixedParts(m *testMesh, l Limit) strategy {
	f := &fixedParts{m: m, limit: m.tol.raise(l)}
	share := 1 / float64(len(m.nodes))
	for range m.nodes {
		f.buckets = append(f.buckets, bucket{limit: f.limit, level: f.limit.Burst * share, grantThreshold: 1 - m.rng.Float64()})
	}
	return f
}

func (f *fixedParts) request(t *testNode, done func(bool)) {
	b := &f.buckets[t.i]
	b.mint(f.m.now, part{share: 1 / float64(len(f.buckets))})
	done(b.takeWhole(f.m.now, 1, f.m.rng.Float64) == 1)
}

// reportedCounts gives each node a bucket for the whole limit. A node takes from it what it
// admits itself and, once a second, what the other nodes report that they have admitted.
type reportedCounts struct {
	m          *testMesh
	limit      Limit
	buckets    []bucket
	unreported []float64
}

func newReportedCounts(m *testMesh, l Limit) strategy {
	c := &reportedCounts{m: m, limit: m.tol.raise(l), unreported: make([]float64, len(m.nodes))}
	for i := range m.nodes {
		c.buckets = append(c.buckets, bucket{limit: c.limit, level: c.limit.Burst, grantThreshold: 1, drawnAt: time.Hour})
		m.after(m.upTo(time.Second), func() { c.report(i) })
	}
	return c
}

func (c *reportedCounts) report(i int) {
	for j := range c.buckets {
		if n := c.unreported[i]; n > 0 && j != i && !c.m.cut(c.m.nodes[i], c.m.nodes[j]) {
			c.buckets[j].mint(c.m.now, part{share: 1})
			c.buckets[j].level -= n
		}
	}
	c.unreported[i] = 0
	c.m.after(time.Second, func() { c.report(i) })
}

func (c *reportedCounts) request(t *testNode, done func(bool)) {
	b := &c.buckets[t.i]
	b.mint(c.m.now, part{share: 1})
	admitted := b.level >= 1
	if admitted {
		b.level--
		c.unreported[t.i]++
	}
	done(admitted)
}

// strategyResult is the result of one simulation of a strategy.
type strategyResult struct {
	// under is the fraction of the requests within the limit that was refused. over is the
	// fraction by which the worst five seconds exceed the limit.
	under, over float64
	messages    int
}

// simulateStrategy sends requests of one tenant, at a multiple of its rate, for ten seconds.
func simulateStrategy(nodes, zones int, l Limit, load float64, place int, halves bool, make func(*testMesh, Limit) strategy) strategyResult {
	m := newTestMesh(7, nodes, zones)
	m.limits["a"] = l
	m.run(4 * time.Second)
	if halves {
		m.cutOff(func(t *testNode) bool { return t.i%zones*2 < zones }, time.Hour)
		m.run(8 * time.Second)
	}
	w := make(m, l)
	start := m.now
	reference := bucket{limit: l, level: l.Burst, mintedUntil: start}
	var owed, passed float64
	var admitted []time.Duration
	var next func()
	pick := m.pickers()[place]
	next = func() {
		reference.mint(m.now, part{share: 1})
		if reference.level >= 1 {
			reference.level--
			owed++
		}
		w.request(pick(), func(ok bool) {
			if ok {
				passed++
				admitted = append(admitted, m.now)
			}
		})
		if wait := time.Duration(m.rng.ExpFloat64() / (load * l.Rate) * float64(time.Second)); m.now+wait < start+10*time.Second {
			m.after(wait, next)
		}
	}
	m.messages = 0
	next()
	m.run(start + 10*time.Second + WaitLimit)
	return strategyResult{
		under:    math.Max(0, 1-passed/owed),
		over:     worstWindow(admitted, 5*time.Second)/(l.Rate*5+l.Burst) - 1,
		messages: m.messages,
	}
}

// worstWindow returns the largest number of requests in any window of the given length.
func worstWindow(admitted []time.Duration, length time.Duration) float64 {
	worst, first := 0, 0
	for i, at := range admitted {
		for at-admitted[first] > length {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return float64(worst)
}

// TestWaysToKeepOneLimit compares strategies to enforce a limit. It checks which fraction they
// refuse of a load of nine tenths of the limit, with callers at one node, at all nodes, or at
// another node each second. It also checks by how much a load of four times the limit exceeds
// the limit while half of the nodes are cut off from the others.
func TestWaysToKeepOneLimit(t *testing.T) {
	sizes := []struct{ nodes, zones int }{{2, 2}, {12, 3}, {68, 4}}
	if *largeMeshes {
		sizes = append(sizes, struct{ nodes, zones int }{300, 6}, struct{ nodes, zones int }{1900, 22})
	}
	ways := []struct {
		name string
		make func(*testMesh, Limit) strategy
	}{
		{"fixed parts", newFixedParts},
		{"counts told", newReportedCounts},
		{"leases", func(*testMesh, Limit) strategy { return leased{} }},
	}
	for _, size := range sizes {
		for _, rate := range []float64{10, 1000} {
			for _, w := range ways {
				l := Limit{Rate: rate, Burst: rate}
				one := simulateStrategy(size.nodes, size.zones, l, 0.9, 0, false, w.make)
				even := simulateStrategy(size.nodes, size.zones, l, 0.9, 1, false, w.make)
				moving := simulateStrategy(size.nodes, size.zones, l, 0.9, 2, false, w.make)
				halves := simulateStrategy(size.nodes, size.zones, l, 4, 1, true, w.make)
				t.Logf("| %d | %.0f | %s | %s | %s | %s | %+.2f | %d |", size.nodes, rate, w.name,
					share(one.under), share(even.under), share(moving.under), halves.over, even.messages/10/size.nodes)
				if w.name != "leases" {
					continue
				}
				for _, o := range []strategyResult{one, even, moving} {
					// Where a zone's part of the burst is less than a token, simultaneous requests
					// are refused.
					if l.Burst >= float64(size.zones) && o.under > 0.02 {
						t.Errorf("%d nodes, rate %.0f: %.3f of what is within the limit refused", size.nodes, rate, o.under)
					}
				}
				if allowed := 0.1 + 20/(l.Rate*5+l.Burst); halves.over > allowed {
					t.Errorf("%d nodes, rate %.0f: the limit is exceeded by %.2f, allowed %.2f", size.nodes, rate, halves.over, allowed)
				}
			}
		}
	}
}

func share(x float64) string { return fmt.Sprintf("%.3f", x) }
