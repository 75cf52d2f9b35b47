//go:build !race

// With the race detector, Go 1.26.8 crashes in a synctest bubble when a timer is already due
// as its channel is selected; scripts/go-test.sh runs these tests without it.

package hosted_test

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/quarantine"
)

// contactBound is the time after which all nodes that reach each other must know of a request that
// crashes workers.
const contactBound = 3 * time.Second

// slots is how many requests a worker is running when it ends.
const slots = 13

func fingerprintOf(target string) quarantine.Fingerprint {
	return quarantine.Request{Target: target}.Fingerprint()
}

// crash has the worker beside a node end while it runs the crashing request and others.
func (n *testNode) crash(crashing quarantine.Fingerprint, incarnation int) {
	instance := fmt.Sprintf("%s-%d", n.table.View().Self().ID, incarnation)
	var reports []quarantine.Report
	for i := range slots {
		f := crashing
		if i > 0 {
			f = fingerprintOf(fmt.Sprintf("/innocent-%s-%d", instance, i))
		}
		level, _ := n.quarantine.Level(f, time.Now())
		report, _ := n.quarantine.Crashed(f, instance, level, time.Now())
		reports = append(reports, report)
	}
	n.agent.ReportEvidence(reports)
}

func (n *testNode) quarantines(f quarantine.Fingerprint) bool {
	_, found := n.quarantine.Level(f, time.Now())
	return found
}

func (m *simulated) allQuarantine(f quarantine.Fingerprint) bool {
	for _, n := range m.nodes {
		if !n.quarantines(f) {
			return false
		}
	}
	return true
}

// quarantine has three workers crash on a request, and waits until all nodes know.
func (m *simulated) quarantine(t *testing.T, request quarantine.Fingerprint) {
	t.Helper()
	for i := range 3 {
		m.nodes[i].crash(request, i)
		time.Sleep(500 * time.Millisecond)
	}
	m.within(t, contactBound, "all nodes know", func() bool { return m.allQuarantine(request) })
}

func (m *simulated) messages() (sum, most uint64) {
	for _, n := range m.nodes {
		sent := n.agent.Messages().Broadcasts
		sum += sent
		most = max(most, sent)
	}
	return sum, most
}

// TestAllNodesHearOfACrashingRequest crashes three workers one after the other in meshes of several
// sizes. It counts the messages and measures the time until all nodes agree.
func TestAllNodesHearOfACrashingRequest(t *testing.T) {
	for _, size := range []int{12, 83, 295} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				m := startSimulated(t, size)
				time.Sleep(10 * time.Second)
				crashing := fingerprintOf("/guilty")
				before, _ := m.messages()
				for i := range 3 {
					m.nodes[i*size/3].crash(crashing, i)
					time.Sleep(time.Second)
				}
				took := m.within(t, contactBound-time.Second, "all nodes know", func() bool { return m.allQuarantine(crashing) })
				time.Sleep(contactBound)
				sum, _ := m.messages()
				perNode := float64(sum-before) / float64(size)
				// Three crashes, and a few records and entries of the nodes that saw them.
				if most := 6 * math.Log2(float64(size)); perNode > most {
					t.Errorf("%.1f messages a node, over %.1f", perNode, most)
				}
				t.Logf("%d nodes: %d messages, %.2f a node, for three crashes with %d running requests each; all know %v after a second", size, sum-before, perNode, slots, took)
			})
		})
	}
}

// TestDecisionOutlastsAllNodes quarantines a request, kills all nodes at the same moment, and
// starts them again: all must learn the decision from the entries in the store of the nodes that
// saw the crashes.
func TestDecisionOutlastsAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 12
		m := startSimulated(t, size)
		time.Sleep(30 * time.Second)
		crashing := fingerprintOf("/guilty")
		for i := range 3 {
			m.nodes[4*i].crash(crashing, i)
			time.Sleep(500 * time.Millisecond)
		}
		for _, n := range m.nodes {
			n.kill()
		}
		for n := range m.nodes {
			m.nodes[n] = m.start(t, n, false)
		}
		took := m.within(t, contactBound, "all nodes know after the loss of all", func() bool { return m.allQuarantine(crashing) })
		t.Logf("all know after %v", took)
	})
}

// TestDecisionReachesNodesThatWereAway cuts off a node that sees a crash, restarts a node, and
// starts one that was never there before: all learn of the quarantine by anti-entropy exchanges.
func TestDecisionReachesNodesThatWereAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 12
		m := startSimulated(t, size)
		time.Sleep(time.Second)
		crashing := fingerprintOf("/guilty")
		m.nodes[0].crash(crashing, 0)
		m.nodes[1].crash(crashing, 0)
		time.Sleep(time.Second)
		away, _ := simulatedAddress(2)
		for n := range size {
			if other, _ := simulatedAddress(n); n != 2 {
				m.network.Cut(away, other)
			}
		}
		m.nodes[2].crash(crashing, 0)
		time.Sleep(time.Second)
		if m.nodes[3].quarantines(crashing) {
			t.Fatal("a node knows what only one that is cut off has seen")
		}
		m.nodes[3].crash(crashing, 0)
		m.network.Heal()
		m.within(t, contactBound, "all nodes know", func() bool { return m.allQuarantine(crashing) })
		m.nodes[0].kill()
		m.nodes[0] = m.start(t, 0, false)
		m.nodes = append(m.nodes, m.start(t, size, false))
		m.within(t, contactBound, "nodes that have just started know", func() bool { return m.allQuarantine(crashing) })
	})
}

// TestAnswerEndsAQuarantineEverywhere has a worker answer a request that was running when it
// was quarantined.
func TestAnswerEndsAQuarantineEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startSimulated(t, 12)
		request := fingerprintOf("/slow")
		m.quarantine(t, request)
		report, changed := m.nodes[7].quarantine.Answered(request, time.Now())
		if !changed {
			t.Fatal("the answer has changed nothing")
		}
		m.nodes[7].agent.ReportEvidence([]quarantine.Report{report})
		m.within(t, contactBound, "no node holds to it", func() bool { return m.noneQuarantines(request) })
		time.Sleep(time.Minute)
		if !m.noneQuarantines(request) {
			t.Error("a node has taken the quarantine up again")
		}
	})
}

// TestOperatorLiftsAQuarantine lifts a quarantine at one node.
func TestOperatorLiftsAQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startSimulated(t, 12)
		request := fingerprintOf("/mended")
		m.quarantine(t, request)
		m.nodes[9].agent.Lift([]quarantine.Fingerprint{request, fingerprintOf("/unknown")})
		m.within(t, contactBound, "no node holds to it", func() bool { return m.noneQuarantines(request) })
		time.Sleep(time.Minute)
		if !m.noneQuarantines(request) {
			t.Error("a node has taken the quarantine up again")
		}
		m.within(t, time.Second, "no record has it", func() bool { return m.noRecordQuarantines() })
	})
}

func (m *simulated) noneQuarantines(f quarantine.Fingerprint) bool {
	for _, n := range m.nodes {
		if n.quarantines(f) {
			return false
		}
	}
	return true
}

func (m *simulated) noRecordQuarantines() bool {
	for _, n := range m.nodes {
		for _, record := range n.table.View().Nodes() {
			if record.State == fleet.StateLive && len(record.Quarantined) > 0 {
				return false
			}
		}
	}
	return true
}
