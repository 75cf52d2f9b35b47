package quota

import (
	"fmt"
	"testing"
	"time"
)

// hotPlay is what became of requests of a tenant that sends many times its usual, and of
// those of the others, in requests a second, and how much of the mesh they took.
type hotPlay struct {
	hotAdmitted, hotOwed       float64
	othersAdmitted, othersSent float64
	// messages a node and second, of all nodes.
	messages float64
}

// playHotTenant has a fifth of all traffic of 68 nodes in four zones come from one tenant, which
// sends a multiple of its usual for six seconds. Each tenant's limit is 1.6 times its usual.
func playHotTenant(times float64, make func(*testMesh, Limit, string) func(t *testNode, done func(bool))) hotPlay {
	const (
		traffic = 1800.0
		others  = 40
		length  = 6 * time.Second
	)
	m := newTestMesh(3, 68, 4)
	var p hotPlay
	anywhere := m.pickers()[1]
	m.run(4 * time.Second)
	start := m.now
	arrive := func(tenant string, usual, times float64, owed, admitted, sent *float64) {
		l := Limit{Rate: usual * 1.6, Burst: usual * 1.6}
		m.limits[tenant] = l
		request := make(m, l, tenant)
		reference := bucket{limit: l, level: l.Burst, at: m.now}
		var next func()
		next = func() {
			if m.now > start+length {
				return
			}
			reference.settle(m.now, part{share: 1})
			if reference.level >= 1 {
				reference.level--
				*owed++
			}
			*sent++
			request(anywhere(), func(ok bool) {
				if ok {
					*admitted++
				}
			})
			m.after(time.Duration(m.rng.ExpFloat64()/(usual*times)*float64(time.Second)), next)
		}
		next()
	}
	var unused float64
	m.messages = 0
	arrive("hot", traffic/5, times, &p.hotOwed, &p.hotAdmitted, &unused)
	for i := range others {
		// Some tenants are large and most are small.
		usual := traffic * 0.8 / others * 40 / float64(i+4) / 10
		arrive(fmt.Sprint("other-", i), usual, 1, &unused, &p.othersAdmitted, &p.othersSent)
	}
	m.run(start + length + WaitLimit)
	p.messages = float64(m.messages) / length.Seconds() / float64(len(m.nodes))
	return p
}

// TestHotTenant replays a tenant that sends five and eight times its usual: it gets what its
// limit allows, and not more, and the others get what they send. Without a limit it takes as
// much more; with fixed parts tenants with few requests lose theirs.
func TestHotTenant(t *testing.T) {
	borrowed := func(_ *testMesh, _ Limit, tenant string) func(*testNode, func(bool)) {
		return func(n *testNode, done func(bool)) { n.request(tenant, 0, done) }
	}
	fixed := func(m *testMesh, l Limit, _ string) func(*testNode, func(bool)) { return newFixedParts(m, l).request }
	for _, times := range []float64{5, 8} {
		p := playHotTenant(times, borrowed)
		f := playHotTenant(times, fixed)
		t.Logf("%.0f times: hot %.0f of %.0f owed, others %.4f, %.1f messages a node; fixed parts: hot %.0f of %.0f, others %.4f",
			times, p.hotAdmitted, p.hotOwed, p.othersAdmitted/p.othersSent, p.messages, f.hotAdmitted, f.hotOwed, f.othersAdmitted/f.othersSent)
		if p.hotAdmitted < 0.98*p.hotOwed || p.hotAdmitted > 1.1*p.hotOwed+20 {
			t.Errorf("%.0f times: the hot tenant gets %.0f, its limit allows %.0f", times, p.hotAdmitted, p.hotOwed)
		}
		if p.othersAdmitted < 0.98*p.othersSent {
			t.Errorf("%.0f times: the others get %.0f of %.0f", times, p.othersAdmitted, p.othersSent)
		}
	}
}
