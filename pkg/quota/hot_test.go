package quota

import (
	"fmt"
	"testing"
	"time"
)

// hotTenantResult counts the requests of a tenant that sends many times its usual rate, those
// of the other tenants, and the messages that the mesh needed for them.
type hotTenantResult struct {
	hotAdmitted, hotOwed       float64
	othersAdmitted, othersSent float64
	// messages is the number of messages a node and second, averaged over all nodes.
	messages float64
}

// simulateHotTenant runs 68 nodes in four zones. One tenant, which usually sends a fifth of
// all traffic, sends a multiple of its usual rate for six seconds. Each tenant's limit is 1.6
// times its usual rate.
func simulateHotTenant(times float64, make func(*testMesh, Limit, string) func(t *testNode, done func(bool))) hotTenantResult {
	const (
		traffic = 1800.0
		others  = 40
		length  = 6 * time.Second
	)
	m := newTestMesh(3, 68, 4)
	var p hotTenantResult
	anywhere := m.pickers()[1]
	m.run(4 * time.Second)
	start := m.now
	arrive := func(tenant string, usual, times float64, owed, admitted, sent *float64) {
		l := Limit{Rate: usual * 1.6, Burst: usual * 1.6}
		m.limits[tenant] = l
		request := make(m, l, tenant)
		reference := bucket{limit: l, level: l.Burst, mintedUntil: m.now}
		var next func()
		next = func() {
			if m.now > start+length {
				return
			}
			reference.mint(m.now, part{share: 1})
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

// TestHotTenant simulates a tenant that sends five and eight times its usual rate: it gets
// what its limit allows and no more, and the other tenants get what they send. Without a limit
// the hot tenant would take that multiple; with fixed parts, requests of small tenants are
// refused.
func TestHotTenant(t *testing.T) {
	borrowed := func(_ *testMesh, _ Limit, tenant string) func(*testNode, func(bool)) {
		return func(n *testNode, done func(bool)) { n.request(tenant, 0, done) }
	}
	fixed := func(m *testMesh, l Limit, _ string) func(*testNode, func(bool)) { return newFixedParts(m, l).request }
	for _, times := range []float64{5, 8} {
		p := simulateHotTenant(times, borrowed)
		f := simulateHotTenant(times, fixed)
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
