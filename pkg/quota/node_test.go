package quota

import (
	"fmt"
	"testing"
	"time"
)

var testLimit = Limit{Rate: 100, Burst: 100}

func newTestNode(id string, incarnation uint64, start time.Duration) *Node {
	return NewNode(Options{ID: id, Incarnation: incarnation, Start: start, Draw: func() float64 { return 0.5 }})
}

// exchangeMessages delivers the next message of a node to its hub, and the answer back.
func exchangeMessages(now time.Duration, node, hub *Node) Answer {
	_, r := node.Request(now)
	answer, _ := hub.Serve(now, r)
	node.Answered(now, answer)
	return answer
}

// newLeasedPair returns a hub and the other node of its mesh, which has leased its share to it.
func newLeasedPair(start time.Duration) (hub, node *Node) {
	hub, node = newTestNode("a", 1, 0), newTestNode("b", 1, 0)
	hub.SetMesh(start, 2, nil, "a")
	node.SetMesh(start, 2, nil, "a")
	exchangeMessages(start, node, hub)
	exchangeMessages(start, node, hub)
	return hub, node
}

// takeAll takes at a node until it admits no more, and returns how many it admitted.
func takeAll(now time.Duration, n *Node) int {
	admitted := 0
	for n.Take(now, "a", testLimit).Admitted {
		admitted++
	}
	return admitted
}

func TestNodeThatHasJustStartedHasNothing(t *testing.T) {
	n := newTestNode("a", 1, 0)
	zone := []string{"silent"}
	n.SetMesh(0, 2, zone, "a")
	if got := takeAll(settleTime-1, n); got != 0 {
		t.Errorf("a new node admits %d before the lease of a previous incarnation is over", got)
	}
	n.SetMesh(settleTime, 2, zone, "a")
	if got := takeAll(settleTime, n); got != 0 {
		t.Errorf("a new node admits %d at the moment it owns its share", got)
	}
	if got := takeAll(settleTime+500*time.Millisecond, n); got != 25 {
		t.Errorf("%d admitted half a second later, want 25", got)
	}
}

// TestZoneConfirmsANewIncarnation has the hub and another node of the zone confirm that they
// hold no share of a previous incarnation: the new one need not wait for the end of a lease.
func TestZoneConfirmsANewIncarnation(t *testing.T) {
	start := 3 * time.Second
	hub, other, node := newTestNode("a", 1, 0), newTestNode("b", 1, 0), newTestNode("c", 2, start)
	hub.SetMesh(start, 3, []string{"b", "c"}, "a")
	node.SetMesh(start, 3, []string{"a", "b"}, "a")
	exchangeMessages(start, node, hub)
	if node.settledAt < start+settleTime {
		t.Error("the node uses its share although a node of the zone has not confirmed")
	}
	other.SetMesh(start, 3, []string{"a", "c"}, "a")
	exchangeMessages(start, other, hub)
	exchangeMessages(start, node, hub)
	if node.settledAt < start+settleTime {
		t.Error("the node uses its share although a node may hold tokens of a previous incarnation of the hub")
	}
	exchangeMessages(start, other, hub)
	exchangeMessages(start, node, hub)
	if node.settledAt != start+discoveryTime {
		t.Errorf("the node uses its share %v after the start, want discoveryTime", node.settledAt-start)
	}
}

func TestHolderOfSharesDoesNotConfirm(t *testing.T) {
	start := 3 * time.Second
	hub, former, leaser, node := newTestNode("a", 1, 0), newTestNode("b", 1, 0), newTestNode("d", 1, 0), newTestNode("c", 2, start)
	leaser.SetMesh(start, 4, nil, "b")
	exchangeMessages(start, leaser, former)
	exchangeMessages(start, leaser, former)
	hub.SetMesh(start, 4, []string{"b", "c"}, "a")
	node.SetMesh(start, 4, []string{"a", "b"}, "a")
	former.SetMesh(start, 4, []string{"a", "c"}, "a")
	exchangeMessages(start, former, hub)
	exchangeMessages(start, former, hub)
	exchangeMessages(start, node, hub)
	if node.settledAt < start+settleTime {
		t.Error("the node uses its share while a node of the zone holds shares that may include it")
	}
}

func TestNodeThatKnowsNobodyOwnsNothing(t *testing.T) {
	n := newTestNode("a", 1, 0)
	n.SetMesh(0, 0, nil, "a")
	if got := takeAll(time.Minute, n); got != 0 {
		t.Errorf("a node that does not know how many share a limit admits %d", got)
	}
}

func TestShareReturnsWhenTheHubIsUnresponsive(t *testing.T) {
	start := 3 * time.Second
	hub, node := newLeasedPair(start)
	if node.pool.part.share != 0 || hub.pool.part.share != 1 {
		t.Fatalf("the hub holds %v, the node %v", hub.pool.part.share, node.pool.part.share)
	}
	_, _ = node.Request(start + idleInterval)
	node.Failed(start + idleInterval + AnswerTimeout)
	node.SetMesh(start+time.Second, 2, nil, "b")
	sent := start + idleInterval
	node.SetMesh(sent+LeaseTerm-1, 2, nil, "b")
	if node.pool.part.share != 0 {
		t.Error("the node uses its share while the hub may")
	}
	hub.SetMesh(start+leaseUseTerm, 2, nil, "a")
	if hub.Shortage(start + leaseUseTerm); hub.pool.part.share != 0.5 {
		t.Errorf("the hub still uses %v after the term", hub.pool.part.share)
	}
	node.SetMesh(sent+LeaseTerm, 2, nil, "b")
	if node.pool.part.share != 0.5 {
		t.Errorf("the node uses %v of its share when the lease is over", node.pool.part.share)
	}
}

// TestHubThatStartsAgainHasTheShareBack restarts the hub: the previous incarnation can no
// longer use the share, and the new one gets it when the tokens that the previous one granted
// have expired.
func TestHubThatStartsAgainHasTheShareBack(t *testing.T) {
	start := 3 * time.Second
	hub, node := newTestNode("a", 1, 0), newTestNode("b", 1, 0)
	node.SetMesh(start, 2, nil, "a")
	exchangeMessages(start, node, hub)
	exchangeMessages(start, node, hub)
	again := newTestNode("a", 2, start)
	exchangeMessages(start, node, again)
	exchangeMessages(start, node, again)
	if again.pool.part.share != 0 {
		t.Error("the new incarnation uses a share while tokens of the previous one may be spent")
	}
	now := start + loanTerm
	exchangeMessages(now, node, again)
	if again.pool.part.share != 0.5 {
		t.Errorf("the new incarnation holds a share of %v once they have expired, want 0.5", again.pool.part.share)
	}
}

func TestRepeatedMessageChangesNothing(t *testing.T) {
	start := 3 * time.Second
	hub, node := newLeasedPair(start)
	now := start + time.Second
	node.Take(now, "a", testLimit)
	exchangeMessages(now, node, hub)
	if !node.Settle(now, "a", testLimit).Admitted {
		t.Fatal("the first request is refused")
	}
	for hub.Take(now, "a", testLimit).Admitted {
	}
	node.Return(now, "a")
	_, r := node.Request(now + 10*time.Millisecond)
	hub.Serve(now+10*time.Millisecond, r)
	level := hub.pool.buckets["a"].level
	hub.Serve(now+10*time.Millisecond, r)
	if again := hub.pool.buckets["a"].level; again != level {
		t.Errorf("a repeated message raised the tokens from %.1f to %.1f", level, again)
	}
}

func TestMessageOfAPreviousIncarnationIsIgnored(t *testing.T) {
	start := 3 * time.Second
	hub := newTestNode("a", 1, 0)
	hub.SetMesh(start, 2, nil, "a")
	node := newTestNode("b", 1, 0)
	node.SetMesh(start, 2, nil, "a")
	exchangeMessages(start, node, hub)
	_, late := node.Request(start)
	again := newTestNode("b", 2, start)
	again.SetMesh(start, 2, nil, "a")
	exchangeMessages(start, again, hub)
	hub.Serve(start, late)
	if hub.pool.part.share != 0.5 {
		t.Errorf("the hub holds a share of %v after a message of a previous incarnation, want 0.5", hub.pool.part.share)
	}
}

func TestHubThatStartsAgainTakesNoShareByAnOldStamp(t *testing.T) {
	start := 3 * time.Second
	hub, node := newTestNode("a", 1, 0), newTestNode("b", 1, 0)
	node.SetMesh(start, 2, nil, "a")
	exchangeMessages(start, node, hub)
	_, r := node.Request(start)
	again := newTestNode("a", 2, start)
	again.Serve(start+loanTerm, r)
	if again.pool.part.share != 0 {
		t.Errorf("the new incarnation of the hub holds a share of %v, want 0", again.pool.part.share)
	}
}

// TestLimitFallsWhileTheAnswerIsOnItsWay has the hub grant tokens under a limit that is no
// longer in force when they arrive.
func TestLimitFallsWhileTheAnswerIsOnItsWay(t *testing.T) {
	start := 3 * time.Second
	hub, node := newLeasedPair(start)
	now := start + 900*time.Millisecond
	for range 100 {
		node.Take(now, "a", testLimit)
	}
	_, r := node.Request(now)
	answer, _ := hub.Serve(now, r)
	low := Limit{Rate: 1, Burst: 2}
	node.Take(now, "a", low)
	node.Answered(now, answer)
	admitted := 0
	for range 100 {
		if node.Settle(now, "a", low).Admitted {
			admitted++
		}
	}
	if admitted > 2 {
		t.Errorf("%d admitted of a limit that has fallen to %+v", admitted, low)
	}
}

func TestSuspendedNodeHoldsNothing(t *testing.T) {
	start := 3 * time.Second
	hub, node := newLeasedPair(start)
	now := start + time.Second
	for range 50 {
		node.Take(now, "a", testLimit)
	}
	exchangeMessages(now, node, hub)
	if a := node.accounts["a"]; a.held+a.reserved == 0 {
		t.Fatal("the node holds nothing before")
	}
	// Its clock went on while it was suspended.
	if d := node.Settle(now+tokenLifetime, "a", testLimit); d.Admitted {
		t.Error("a token is spent after its lifetime")
	}
}

func TestPreviousHubIsInformedThatTheLeaseEnds(t *testing.T) {
	start := 3 * time.Second
	former, next, node := newTestNode("a", 1, 0), newTestNode("b", 1, 0), newTestNode("c", 1, 0)
	node.SetMesh(start, 3, nil, "a")
	exchangeMessages(start, node, former)
	exchangeMessages(start, node, former)
	now := start + 100*time.Millisecond
	node.SetMesh(now, 3, nil, "b")
	if to, r := node.Request(now); to != "a" || r.Share != 0 {
		t.Fatalf("message to %s with a share of %v", to, r.Share)
	} else {
		answer, _ := former.Serve(now, r)
		node.Answered(now, answer)
	}
	exchangeMessages(now, node, next)
	exchangeMessages(now, node, next)
	if next.pool.part.share != 0 || former.pool.part.share != 0 {
		t.Errorf("the next hub holds %v, the former one %v", next.pool.part.share, former.pool.part.share)
	}
	now += loanTerm + clockMargin
	exchangeMessages(now, node, next)
	if next.pool.part.share == 0 {
		t.Error("the next hub has no share after what the former one has granted is over")
	}
}

func TestRefusalsTellWhenTokensCome(t *testing.T) {
	n := newTestNode("a", 1, 0)
	n.SetMesh(0, 1, nil, "a")
	n.SetMesh(4*time.Second, 1, nil, "a")
	now := 6 * time.Second
	takeAll(now, n)
	var last time.Duration
	for i := range 20 {
		d := n.Settle(now, "a", testLimit)
		if d.Admitted || d.RetryAfter < last || d.RetryAfter > longestRetryAfter {
			t.Fatalf("refusal %d: %+v after %v", i, d, last)
		}
		last = d.RetryAfter
	}
	if last < 50*time.Millisecond {
		t.Errorf("the twentieth caller gets a retry time of %v, want at least 50 ms", last)
	}
}

// TestHubForgetsWhoIsGone has a hub answer nodes and tenants that send one message and then
// nothing more: the hub removes them.
func TestHubForgetsWhoIsGone(t *testing.T) {
	hub := newTestNode("hub", 1, 0)
	hub.SetMesh(0, 2, nil, "hub")
	now := settleTime
	for i := range uint64(100) {
		name := fmt.Sprint("gone-", i)
		hub.Serve(now, Request{Node: name, Incarnation: 1, Number: 1, Demands: []Demand{{Tenant: name, Limit: testLimit, Requested: 1}}})
		hub.Take(now, name, testLimit)
		now += forgetTerm / 10
		hub.SetMesh(now, 2, nil, "hub")
	}
	if nodes, tenants, accounts := len(hub.pool.borrowers), len(hub.pool.buckets), len(hub.accounts); max(nodes, tenants, accounts) > 12 {
		t.Errorf("%d nodes, %d buckets and %d accounts are held, want at most 12 of 100", nodes, tenants, accounts)
	}
}

// TestBoundlessLimitAdmits uses a limit that is higher than any count of requests.
func TestBoundlessLimitAdmits(t *testing.T) {
	limit := Limit{Rate: 1e20, Burst: 1e20}
	n := newTestNode("a", 1, 0)
	n.SetMesh(settleTime, 1, nil, "a")
	n.Take(settleTime, "a", limit)
	if d := n.Take(settleTime+time.Minute/2, "a", limit); !d.Admitted {
		t.Errorf("a request within a limit of %v is refused", limit)
	}
}

func TestNodesOfALargeZoneAskLessOften(t *testing.T) {
	for _, c := range []struct {
		nodes int
		gap   time.Duration
	}{{2, minimumGap}, {17, minimumGap}, {85, 85 * gapPerZoneNode}} {
		node, hub := newTestNode("b", 1, 0), newTestNode("a", 1, 0)
		hub.SetMesh(0, c.nodes, []string{"silent"}, "a")
		node.SetMesh(0, c.nodes, make([]string, c.nodes-1), "a")
		node.Take(0, "a", testLimit)
		exchangeMessages(0, node, hub)
		node.accounts["a"].deniedUntil = 0
		node.link.nextAt = time.Hour
		if d := node.Take(0, "a", testLimit); d.Ask != AskHub {
			t.Fatalf("%+v", d)
		}
		if at, due := node.Due(0); !due || at != c.gap {
			t.Errorf("%d nodes: the next message is due at %v, want %v", c.nodes, at, c.gap)
		}
		if c.gap >= WaitLimit {
			t.Errorf("%d nodes: requests do not wait for their message", c.nodes)
		}
	}
}

func TestTenantWithoutLimitCostsNothing(t *testing.T) {
	n := newTestNode("a", 1, 0)
	if d := n.Take(0, "a", Limit{}); !d.Admitted || len(n.accounts) != 0 {
		t.Errorf("%+v, %d accounts", d, len(n.accounts))
	}
}

func BenchmarkTakeGranted(b *testing.B) {
	n := newTestNode("a", 1, 0)
	n.SetMesh(0, 1, nil, "a")
	now := 3 * time.Second
	n.SetMesh(now, 1, nil, "a")
	limit := Limit{Rate: 1e9, Burst: 1e9}
	b.ReportAllocs()
	for b.Loop() {
		now += time.Microsecond
		if !n.Take(now, "a", limit).Admitted {
			b.Fatal("refused")
		}
	}
}

func BenchmarkTakeBorrowed(b *testing.B) {
	n := newTestNode("b", 1, 0)
	n.SetMesh(0, 2, nil, "a")
	n.Take(0, "a", testLimit)
	account := n.accounts["a"]
	b.ReportAllocs()
	for b.Loop() {
		account.held, account.expires = 1, time.Hour
		if !n.Take(time.Second, "a", testLimit).Admitted {
			b.Fatal("refused")
		}
	}
}

func BenchmarkTakeRefused(b *testing.B) {
	n := newTestNode("b", 1, 0)
	n.SetMesh(0, 2, nil, "a")
	n.Take(0, "a", testLimit)
	n.accounts["a"].deniedUntil = time.Hour
	b.ReportAllocs()
	for b.Loop() {
		if n.Take(time.Second, "a", testLimit).Admitted {
			b.Fatal("admitted")
		}
	}
}

// BenchmarkServe serves a message of a node with 20 tenants at a hub of 76 tenants and 17 nodes.
func BenchmarkServe(b *testing.B) {
	hub := newTestNode("hub", 1, 0)
	hub.SetMesh(0, 18, nil, "hub")
	r := Request{Node: "b", Incarnation: 1}
	for i := range 20 {
		r.Demands = append(r.Demands, Demand{Tenant: string(rune('a' + i)), Limit: testLimit, Requested: 1})
	}
	now := 3 * time.Second
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		r.Number++
		hub.Serve(now, r)
	}
}
