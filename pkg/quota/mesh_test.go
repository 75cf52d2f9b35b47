package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// The tests run nodes in simulated time, on a network that delays, loses and repeats
// messages. A test node does what the embedding program does: it sends messages when they are
// due, asks other hubs when its pool lacks tokens, and decides on waiting requests.

const (
	testViewInterval = 500 * time.Millisecond
	testReturnWithin = time.Second
)

type testEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type testEvents []testEvent

func (e testEvents) Len() int { return len(e) }
func (e testEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e testEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *testEvents) Push(x any)   { *e = append(*e, x.(testEvent)) }
func (e *testEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type testMesh struct {
	now    time.Duration
	events testEvents
	seq    int
	rng    *rand.Rand
	nodes  []*testNode
	byID   map[string]*testNode
	limits map[string]Limit
	tol    Tolerance
	// loss, late and repeated are the fractions of messages that are lost, arrive up to 2 s
	// late, and arrive again up to 2 s later.
	loss, late, repeated float64
	// blind is the fraction of view updates that a node misses.
	blind float64
	// resets makes cut links refuse connections.
	resets bool
	// cut reports whether two nodes cannot reach each other.
	cut func(a, b *testNode) bool
	// admitted are the times at which requests that ran were admitted, by tenant.
	admitted           map[string][]time.Duration
	refused            map[string]int
	messages, crossing int
}

type testNode struct {
	m              *testMesh
	i              int
	id             string
	zone           int
	incarnation    uint64
	node           *Node
	up             bool
	suspendedUntil time.Duration
	// joined is when the node first started.
	joined   time.Duration
	lost     map[int]bool
	wakeAt   time.Duration
	failures int
	// waiting are the requests to decide when the next message is answered, attached those to
	// decide when the message in transit is answered.
	waiting, attached []func()
	asking            bool
	transfers         []func()
}

func newTestMesh(seed uint64, nodes, zones int) *testMesh {
	m := &testMesh{
		rng: rand.New(rand.NewPCG(seed, 1)), byID: map[string]*testNode{}, limits: map[string]Limit{}, tol: Tolerance{Overage: 0.1, Slack: 20},
		admitted: map[string][]time.Duration{}, refused: map[string]int{},
		cut: func(*testNode, *testNode) bool { return false },
	}
	for i := range nodes {
		t := &testNode{m: m, i: i, id: fmt.Sprintf("node-%d", i), zone: i % zones}
		m.nodes = append(m.nodes, t)
		m.byID[t.id] = t
		t.start()
		m.after(m.upTo(testViewInterval), t.refreshView)
	}
	for _, t := range m.nodes {
		t.updateView()
	}
	return m
}

func (m *testMesh) upTo(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}

func (m *testMesh) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, testEvent{at: m.now + d, seq: m.seq, do: do})
}

func (m *testMesh) run(until time.Duration) {
	for len(m.events) > 0 && m.events[0].at <= until {
		e := heap.Pop(&m.events).(testEvent)
		m.now = e.at
		e.do()
	}
	m.now = until
}

func (t *testNode) start() {
	t.incarnation++
	t.up, t.lost = true, map[int]bool{}
	t.waiting, t.attached, t.transfers, t.asking, t.wakeAt = nil, nil, nil, false, 0
	t.node = NewNode(Options{ID: t.id, Incarnation: t.incarnation, Start: t.m.now, Tolerance: t.m.tol, Draw: t.m.rng.Float64})
}

func (t *testNode) crash() {
	t.up = false
	t.suspendedUntil = 0
}

// reaches reports whether a message between two nodes arrives now.
func (m *testMesh) reaches(a, b *testNode) bool { return a == b || !m.cut(a, b) }

// refreshView updates the node's view of the mesh, unless it misses the update, and schedules
// the next update.
func (t *testNode) refreshView() {
	if t.running() {
		if t.m.rng.Float64() >= t.m.blind {
			t.updateView()
		}
	}
	t.m.after(testViewInterval/2+t.m.upTo(testViewInterval), t.refreshView)
}

func (t *testNode) updateView() {
	for _, other := range t.m.nodes {
		t.lost[other.i] = !t.m.reaches(t, other) || !other.up || other.suspendedUntil > t.m.now
	}
	t.updateMesh()
}

func (t *testNode) updateMesh() {
	known, hub := 0, t.id
	var zone []string
	for _, other := range t.m.nodes {
		if other.joined <= t.m.now {
			known++
			if other.zone == t.zone && other != t {
				zone = append(zone, other.id)
			}
		}
	}
	if h := t.hubOf(t.zone); h != nil {
		hub = h.id
	}
	t.node.SetMesh(t.m.now, known, zone, hub)
	t.scheduleMessage()
}

// hubOf returns the hub of a zone as this node sees it.
func (t *testNode) hubOf(zone int) *testNode {
	for _, other := range t.m.nodes {
		if other.zone == zone && (other == t || !t.lost[other.i]) && other.joined <= t.m.now {
			return other
		}
	}
	return nil
}

func (t *testNode) running() bool { return t.up && t.suspendedUntil <= t.m.now }

// whenRunning calls do once the process is not suspended, and never if it has ended.
func (t *testNode) whenRunning(do func()) {
	incarnation := t.incarnation
	if t.suspendedUntil > t.m.now {
		t.m.after(t.suspendedUntil-t.m.now, func() { t.whenRunning(func() { do() }) })
		return
	}
	if t.up && t.incarnation == incarnation {
		do()
	}
}

// send delivers a message to another node by calling serve there, and delivers the reply. If
// no reply arrives within bound, or the connection is refused, it calls failed instead; gone
// is set if it was refused. Either the reply is delivered or failed is called, at most once.
func (t *testNode) send(to *testNode, bound time.Duration, serve func(reply func(do func())), failed func(gone bool)) {
	m := t.m
	m.messages++
	if t.zone != to.zone {
		m.crossing++
	}
	finished := false
	incarnation := t.incarnation
	once := func(do func()) {
		t.whenRunning(func() {
			if !finished && t.incarnation == incarnation {
				finished = true
				do()
			}
		})
	}
	m.after(bound, func() { once(func() { failed(false) }) })
	deliver := func() {
		if !m.reaches(t, to) && !m.resets {
			return
		}
		if !to.up || !m.reaches(t, to) {
			m.after(m.delay(t, to), func() { once(func() { failed(true) }) })
			return
		}
		to.whenRunning(func() {
			serve(func(do func()) {
				if m.rng.Float64() >= m.loss {
					m.after(m.delay(t, to), func() {
						if m.reaches(t, to) {
							once(do)
						}
					})
				}
			})
		})
	}
	if m.rng.Float64() >= m.loss {
		m.after(m.delay(t, to), deliver)
	}
	if m.rng.Float64() < m.repeated {
		m.after(m.upTo(2*time.Second), func() {
			if to.running() && m.reaches(t, to) {
				serve(func(func()) {})
			}
		})
	}
}

func (m *testMesh) delay(a, b *testNode) time.Duration {
	if m.rng.Float64() < m.late {
		return m.upTo(2 * time.Second)
	}
	if a.zone == b.zone {
		return 200*time.Microsecond + m.upTo(200*time.Microsecond)
	}
	return time.Millisecond + m.upTo(time.Millisecond)
}

// scheduleMessage sends the next message when it is due.
func (t *testNode) scheduleMessage() {
	at, due := t.node.Due(t.m.now)
	if !due || t.wakeAt > t.m.now && t.wakeAt <= at {
		return
	}
	t.wakeAt = max(at, t.m.now) + 1
	incarnation := t.incarnation
	t.m.after(t.wakeAt-t.m.now, func() {
		t.whenRunning(func() {
			if t.incarnation != incarnation {
				return
			}
			if at, due := t.node.Due(t.m.now); due && at <= t.m.now {
				t.exchange()
				return
			}
			t.scheduleMessage()
		})
	})
}

func (t *testNode) exchange() {
	id, r := t.node.Request(t.m.now)
	to := t.m.byID[id]
	t.attached, t.waiting = append(t.attached, t.waiting...), nil
	t.send(to, t.node.AnswerTimeout(), func(reply func(func())) {
		to.serve(r, func(a Answer) {
			reply(func() {
				t.failures = 0
				t.node.Answered(t.m.now, a)
				t.decideAttached()
				t.scheduleMessage()
			})
		})
	}, func(gone bool) {
		t.node.Failed(t.m.now)
		if t.failures++; gone || t.failures >= unresponsiveAfter {
			t.lost[to.i] = true
		}
		t.updateMesh()
		t.decideAttached()
	})
}

func (t *testNode) decideAttached() {
	attached := t.attached
	t.attached = nil
	for _, decide := range attached {
		decide()
	}
}

func (t *testNode) serve(r Request, reply func(Answer)) {
	answer, lacking := t.node.Serve(t.m.now, r)
	if !lacking {
		reply(answer)
		return
	}
	t.transfer(func() { reply(t.node.Complete(t.m.now, r, answer)) })
}

// transfer asks other hubs for tokens, and calls done when they have answered or AskWait is
// over.
func (t *testNode) transfer(done func()) {
	finished := false
	once := func() {
		if !finished {
			finished = true
			t.whenRunning(done)
		}
	}
	t.m.after(AskWait, once)
	t.transfers = append(t.transfers, once)
	if !t.asking {
		t.ask(AskRounds)
	}
}

// ask asks some hubs for tokens, and others in further rounds while these had too few.
func (t *testNode) ask(rounds int) {
	var hubs []*testNode
	for zone := range t.m.zones() {
		if h := t.hubOf(zone); zone != t.zone && h != nil {
			hubs = append(hubs, h)
		}
	}
	t.m.rng.Shuffle(len(hubs), func(i, j int) { hubs[i], hubs[j] = hubs[j], hubs[i] })
	hubs = hubs[:min(len(hubs), HubsPerRound)]
	var demands []Demand
	if len(hubs) > 0 && rounds > 0 {
		demands = t.node.Shortage(t.m.now)
	}
	if len(demands) == 0 {
		t.finishTransfers()
		return
	}
	t.asking = true
	open := len(hubs)
	for i := range demands {
		demands[i].Requested /= float64(len(hubs))
	}
	end := func() {
		if open--; open == 0 {
			t.m.after(AskGap, func() { t.whenRunning(func() { t.ask(rounds - 1) }) })
		}
	}
	for _, h := range hubs {
		t.send(h, AnswerTimeout, func(reply func(func())) {
			grants := h.node.Give(t.m.now, demands)
			reply(func() { t.node.Receive(t.m.now, grants); end() })
		}, func(bool) { end() })
	}
}

func (t *testNode) finishTransfers() {
	t.asking = false
	transfers := t.transfers
	t.transfers = nil
	for _, done := range transfers {
		done()
	}
}

func (m *testMesh) zones() int {
	zones := 0
	for _, t := range m.nodes {
		zones = max(zones, t.zone+1)
	}
	return zones
}

// request sends one request of a tenant to a node. A random fraction of the admitted requests,
// given by returns, give their token back later.
func (t *testNode) request(tenant string, returns float64, done func(admitted bool)) {
	if !t.running() {
		return
	}
	incarnation := t.incarnation
	limit := t.m.limits[tenant]
	finish := func(d Decision) {
		if done != nil {
			done(d.Admitted)
		}
		if !d.Admitted {
			t.m.refused[tenant]++
			return
		}
		if t.m.rng.Float64() < returns {
			t.m.after(t.m.upTo(testReturnWithin), func() {
				if t.running() && t.incarnation == incarnation {
					t.node.Return(t.m.now, tenant)
				}
			})
			return
		}
		t.m.admitted[tenant] = append(t.m.admitted[tenant], t.m.now)
	}
	d := t.node.Take(t.m.now, tenant, limit)
	if d.Ask == AskNobody {
		finish(d)
		return
	}
	settled := false
	settle := func() {
		if !settled && t.incarnation == incarnation && t.running() {
			settled = true
			finish(t.node.Settle(t.m.now, tenant, limit))
		}
	}
	t.m.after(WaitLimit, settle)
	if d.Ask == AskOtherHubs {
		t.transfer(settle)
		return
	}
	t.waiting = append(t.waiting, settle)
	t.scheduleMessage()
}

// arrivals sends requests at a rate until a given time, to the nodes that pick returns.
func (m *testMesh) arrivals(tenant string, rate float64, until time.Duration, returns float64, pick func() *testNode, done func(bool)) {
	if rate <= 0 {
		return
	}
	var next func()
	next = func() {
		if m.now > until {
			return
		}
		pick().request(tenant, returns, done)
		m.after(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	m.after(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), next)
}
