package quota

import (
	"fmt"
	"testing"
	"time"
)

var testLimit = Limit{Rate: 100, Burst: 100}

func newTestNode(id string, life uint64, start time.Duration) *Node {
	return NewNode(Options{ID: id, Incarnation: life, Start: start, Draw: func() float64 { return 0.5 }})
}

// talk brings the next message of a node to its hub, and the answer back.
func talk(now time.Duration, node, hub *Node) Answer {
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
	talk(start, node, hub)
	talk(start, node, hub)
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
		t.Errorf("a new node admits %d before a former life's lease is over", got)
	}
	n.SetMesh(settleTime, 2, zone, "a")
	if got := takeAll(settleTime, n); got != 0 {
		t.Errorf("a new node admits %d at once when it owns its share", got)
	}
	if got := takeAll(settleTime+500*time.Millisecond, n); got != 25 {
		t.Errorf("%d admitted half a second later, want 25", got)
	}
}

// TestZoneVouchesForANewLife has the hub and another node of the zone say that they hold no
// share of a former life: the new one need not wait for the end of a lease.
func TestZoneVouchesForANewLife(t *testing.T) {
	start := 3 * time.Second
	hub, other, node := newTestNode("a", 1, 0), newTestNode("b", 1, 0), newTestNode("c", 2, start)
	hub.SetMesh(start, 3, []string{"b", "c"}, "a")
	node.SetMesh(start, 3, []string{"a", "b"}, "a")
	talk(start, node, hub)
	if node.settled < start+settleTime {
		t.Error("a share is free although a node of the zone has said nothing")
	}
	other.SetMesh(start, 3, []string{"a", "c"}, "a")
	talk(start, other, hub)
	talk(start, node, hub)
	if node.settled < start+settleTime {
		t.Error("a share is free although a node may hold tokens of a former life of the hub")
	}
	talk(start, other, hub)
	talk(start, node, hub)
	if node.settled != start+meetTime {
		t.Errorf("the share is free %v after the start", node.settled-start)
	}
}

func TestHolderOfSharesDoesNotVouch(t *testing.T) {
	start := 3 * time.Second
	hub, former, leaser, node := newTestNode("a", 1, 0), newTestNode("b", 1, 0), newTestNode("d", 1, 0), newTestNode("c", 2, start)
	leaser.SetMesh(start, 4, nil, "b")
	talk(start, leaser, former)
	talk(start, leaser, former)
	hub.SetMesh(start, 4, []string{"b", "c"}, "a")
	node.SetMesh(start, 4, []string{"a", "b"}, "a")
	former.SetMesh(start, 4, []string{"a", "c"}, "a")
	talk(start, former, hub)
	talk(start, former, hub)
	talk(start, node, hub)
	if node.settled < start+settleTime {
		t.Error("a share is free while a node of the zone holds shares that may include it")
	}
}

func TestNodeThatKnowsNobodyOwnsNothing(t *testing.T) {
	n := newTestNode("a", 1, 0)
	n.SetMesh(0, 0, nil, "a")
	if got := takeAll(time.Minute, n); got != 0 {
		t.Errorf("a node that does not know how many share a limit admits %d", got)
	}
}

func TestShareComesBackWhenTheHubIsSilent(t *testing.T) {
	start := 3 * time.Second
	hub, node := newLeasedPair(start)
	if node.pool.part.share != 0 || hub.pool.part.share != 1 {
		t.Fatalf("the hub holds %v, the node %v", hub.pool.part.share, node.pool.part.share)
	}
	_, _ = node.Request(start + calmInterval)
	node.Failed(start + calmInterval + AnswerTimeout)
	node.SetMesh(start+time.Second, 2, nil, "b")
	sent := start + calmInterval
	node.SetMesh(sent+LeaseTerm-1, 2, nil, "b")
	if node.pool.part.share != 0 {
		t.Error("the node uses its share while the hub may")
	}
	hub.SetMesh(start+useTerm, 2, nil, "a")
	if hub.Shortage(start + useTerm); hub.pool.part.share != 0.5 {
		t.Errorf("the hub still uses %v after the term", hub.pool.part.share)
	}
	node.SetMesh(sent+LeaseTerm, 2, nil, "b")
	if node.pool.part.share != 0.5 {
		t.Errorf("the node uses %v of its share when the lease is over", node.pool.part.share)
	}
}

// TestHubThatStartsAgainHasTheShareBack has the hub start again: the former life cannot use the
// share any more, and the next one gets it when what the former one has granted is over.
func TestHubThatStartsAgainHasTheShareBack(t *testing.T) {
	start := 3 * time.Second
	hub, node := newTestNode("a", 1, 0), newTestNode("b", 1, 0)
	node.SetMesh(start, 2, nil, "a")
	talk(start, node, hub)
	talk(start, node, hub)
	again := newTestNode("a", 2, start)
	talk(start, node, again)
	talk(start, node, again)
	if again.pool.part.share != 0 {
		t.Error("the new life uses a share while tokens of the former one may be spent")
	}
	now := start + lateLife
	talk(now, node, again)
	if again.pool.part.share != 0.5 {
		t.Errorf("the new life uses %v when they are over", again.pool.part.share)
	}
}

func TestMessageThatComesTwiceChangesNothing(t *testing.T) {
	start := 3 * time.Second
	hub, node := newLeasedPair(start)
	now := start + time.Second
	node.Take(now, "a", testLimit)
	talk(now, node, hub)
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
		t.Errorf("a message that came twice raised the tokens from %.1f to %.1f", level, again)
	}
}

func TestMessageOfAnEarlierLifeIsNotTaken(t *testing.T) {
	start := 3 * time.Second
	hub := newTestNode("a", 1, 0)
	hub.SetMesh(start, 2, nil, "a")
	node := newTestNode("b", 1, 0)
	node.SetMesh(start, 2, nil, "a")
	talk(start, node, hub)
	_, late := node.Request(start)
	again := newTestNode("b", 2, start)
	again.SetMesh(start, 2, nil, "a")
	talk(start, again, hub)
	hub.Serve(start, late)
	if hub.pool.part.share != 0.5 {
		t.Errorf("the hub holds %v by the word of a life that is over", hub.pool.part.share)
	}
}

func TestHubThatStartsAgainTakesNoShareByAnOldStamp(t *testing.T) {
	start := 3 * time.Second
	hub, node := newTestNode("a", 1, 0), newTestNode("b", 1, 0)
	node.SetMesh(start, 2, nil, "a")
	talk(start, node, hub)
	_, r := node.Request(start)
	again := newTestNode("a", 2, start)
	again.Serve(start+lateLife, r)
	if again.pool.part.share != 0 {
		t.Errorf("the new life of the hub holds %v", again.pool.part.share)
	}
}

// TestLimitFallsWhileTheAnswerIsOnItsWay has the hub grant tokens by a limit that is not in
// force any more when they come.
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
	talk(now, node, hub)
	if a := node.accounts["a"]; a.held+a.ready == 0 {
		t.Fatal("the node holds nothing before")
	}
	// Its clock went on while it stood still.
	if d := node.Settle(now+tokenLife, "a", testLimit); d.Admitted {
		t.Error("a token is spent after its end")
	}
}

func TestFormerHubIsToldThatTheLeaseEnds(t *testing.T) {
	start := 3 * time.Second
	former, next, node := newTestNode("a", 1, 0), newTestNode("b", 1, 0), newTestNode("c", 1, 0)
	node.SetMesh(start, 3, nil, "a")
	talk(start, node, former)
	talk(start, node, former)
	now := start + 100*time.Millisecond
	node.SetMesh(now, 3, nil, "b")
	if to, r := node.Request(now); to != "a" || r.Share != 0 {
		t.Fatalf("message to %s with a share of %v", to, r.Share)
	} else {
		answer, _ := former.Serve(now, r)
		node.Answered(now, answer)
	}
	talk(now, node, next)
	talk(now, node, next)
	if next.pool.part.share != 0 || former.pool.part.share != 0 {
		t.Errorf("the next hub holds %v, the former one %v", next.pool.part.share, former.pool.part.share)
	}
	now += lateLife + clockMargin
	talk(now, node, next)
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
		t.Errorf("the twentieth caller is told to come back after %v", last)
	}
}

// TestHubForgetsWhoIsGone has a hub answer nodes and tenants that come once and never again.
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
		t.Errorf("%d nodes, %d and %d tenants are held, of a tenth as many in the term", nodes, tenants, accounts)
	}
}

// TestBoundlessLimitAdmits has a limit that is higher than any count of requests.
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
	}{{2, leastGap}, {17, leastGap}, {85, 85 * hubPace}} {
		node, hub := newTestNode("b", 1, 0), newTestNode("a", 1, 0)
		hub.SetMesh(0, c.nodes, []string{"silent"}, "a")
		node.SetMesh(0, c.nodes, make([]string, c.nodes-1), "a")
		node.Take(0, "a", testLimit)
		talk(0, node, hub)
		node.accounts["a"].deniedUntil = 0
		node.link.next = time.Hour
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

// BenchmarkServe is a message of a node with 20 tenants at a hub of 76 tenants and 17 nodes.
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
