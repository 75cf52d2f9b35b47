package hosted

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/quota"
)

const (
	// quotaIdle is the interval between checks whether there are limits to enforce, quotaLook that
	// between checks which node is the hub.
	quotaIdle = 250 * time.Millisecond
	quotaLook = 100 * time.Millisecond
	// hubCandidates is how many nodes of a zone are asked whether they hold shares of previous
	// incarnations.
	hubCandidates = 3
	// failuresUntilLost is after how many consecutive messages without an answer the hub is taken
	// to be lost.
	failuresUntilLost = 3
)

// QuotaConfig configures Quotas. All fields must be given.
type QuotaConfig struct {
	Table     *fleet.Table
	Tolerance quota.Tolerance
	// Limited reports whether any tenant of the version in force has a limit. Without
	// one, no message is sent.
	Limited func() bool
	// Suspended returns for how long the machine was suspended since the given time.
	Suspended func(since time.Time) time.Duration
	Events    QuotaEvents
}

// QuotaEvents receives when requests of a tenant begin and stop being refused at this node.
type QuotaEvents interface {
	TenantLimited(tenant string, limit quota.Limit)
	// TenantLimitEnded reports that requests are no longer refused, how many were admitted and
	// refused from the first refusal to the last, and how long that took.
	TenantLimitEnded(tenant string, admitted, refused uint64, took time.Duration)
}

// Quotas enforces the limits of tenants together with the other nodes. It is a suture service of
// the Agent that it is given to.
type Quotas struct {
	config  QuotaConfig
	started time.Time
	// suspended is for how long the machine was suspended since started.
	suspended longestDuration
	node      *quota.Node
	usage     usage
	// peers and known are set by the agent; known reports whether this node can know how many
	// others there are.
	peers *Peers
	known func() bool

	// wake is signalled when a request lacks a token, so that a message may be due.
	wake chan struct{}
	// owners counts the nodes that own a share.
	owners owners
	// askGroup merges concurrent requests to ask other hubs.
	askGroup singleflight.Group
	// lookedAt is when look last updated node with the state of the mesh.
	lookedAt time.Time
	// failures counts the consecutive messages to the hub that were not answered.
	failures int

	mu contain.Mutex
	// next is closed when the next message, which is not built yet, has been answered or has
	// failed.
	next chan struct{}
}

// NewQuotas returns limits that are enforced once an Agent runs them.
func NewQuotas(config QuotaConfig) *Quotas {
	q := &Quotas{config: config, started: time.Now(), wake: make(chan struct{}, 1), next: make(chan struct{})}
	self := config.Table.View().Self()
	q.node = quota.NewNode(quota.Options{ID: self.ID, Incarnation: self.Incarnation, Tolerance: config.Tolerance, Draw: rand.Float64})
	q.usage = newUsage(config.Events)
	return q
}

// now returns the time since the process started, including the time for which the machine was
// suspended.
func (q *Quotas) now() time.Duration {
	return time.Since(q.started) + q.suspended.add(q.config.Suspended(q.started))
}

// longestDuration is the longest of the durations that were added. How long a machine was suspended
// is derived from the time of day as well, and decreases when that is set back. If the clock of the
// limits went back with it, two nodes could use the same share.
type longestDuration struct{ nanoseconds atomic.Int64 }

// add adds a duration and returns the longest one.
func (l *longestDuration) add(d time.Duration) time.Duration {
	for {
		held := l.nanoseconds.Load()
		if int64(d) <= held {
			return time.Duration(held)
		}
		if l.nanoseconds.CompareAndSwap(held, int64(d)) {
			return d
		}
	}
}

// Take takes one request from the limit of a tenant; see forwarding.Quota.
func (q *Quotas) Take(ctx context.Context, tenant string, limit quota.Limit) (retryAfter time.Duration, ok bool) {
	if limit.Unlimited() {
		return 0, true
	}
	d := q.decide(ctx, tenant, limit)
	q.usage.count(time.Now(), tenant, limit, d.Admitted)
	return d.RetryAfter, d.Admitted
}

func (q *Quotas) decide(ctx context.Context, tenant string, limit quota.Limit) quota.Decision {
	d, answered := q.take(tenant, limit)
	switch d.Ask {
	case quota.AskHub:
		q.signal()
		wait(ctx, answered, quota.WaitLimit)
	case quota.AskOtherHubs:
		q.askOthers(ctx)
	default:
		return d
	}
	return q.node.Settle(q.now(), tenant, limit)
}

// take takes a request from what this node holds. It also returns a channel that is closed when the
// next message to the hub was answered.
func (q *Quotas) take(tenant string, limit quota.Limit) (quota.Decision, <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.node.Take(q.now(), tenant, limit), q.next
}

// wait waits until a channel is closed or gives a value, for a bounded time.
func wait[T any](ctx context.Context, done <-chan T, bound time.Duration) {
	timer := time.NewTimer(bound)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Return gives back the token of a request that no worker has run; see forwarding.Quota.
func (q *Quotas) Return(tenant string) { q.node.Return(q.now(), tenant) }

func (q *Quotas) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// String returns the name of the service in events.
func (q *Quotas) String() string { return "quotas" }

// Serve exchanges messages with the hub of the zone until the context ends, while there are limits.
func (q *Quotas) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		q.usage.review(time.Now())
		if !q.config.Limited() {
			sleep(ctx, quotaIdle)
			continue
		}
		q.look()
		if pause, due := q.pause(); !due {
			wait(ctx, q.wake, pause)
			continue
		}
		q.exchange(ctx)
	}
	return ctx.Err()
}

// pause returns how long to wait for the next message, and whether it is due now.
func (q *Quotas) pause() (time.Duration, bool) {
	now := q.now()
	at, due := q.node.Due(now)
	if !due {
		return quotaLook, false
	}
	return min(at-now, quotaLook), at <= now
}

// look updates q.node with how many nodes there are, which ones may have been the hub of the zone
// recently, and which one is now.
func (q *Quotas) look() {
	if time.Since(q.lookedAt) < quotaLook {
		return
	}
	q.lookedAt = time.Now()
	view := q.config.Table.View()
	self := view.Self()
	nodes := 0
	if q.known() {
		nodes = q.owners.count(view.Nodes(), q.lookedAt)
	}
	reached := q.peers.inZone(self.Zone)
	recent := recentHubs(reached)
	hub := fleet.Hub(append(reached, &self))
	q.node.SetMesh(q.now(), nodes, recent, hub.ID)
}

// recentHubs returns which of the other nodes of a zone that are reached may have been its hub just
// now: all nodes choose the hub in the same order. A previous hub that is cut off from here is not
// among them, although it hands out the shares of ended incarnations for as long as their leases
// last: a new incarnation that waited for its answer would refuse the requests of entire zones after
// each loss of power.
func recentHubs(reached []*fleet.Node) []string {
	var ids []string
	for _, n := range fleet.Hubs(reached) {
		if n.State != fleet.StateLeft && len(ids) < hubCandidates {
			ids = append(ids, n.ID)
		}
	}
	return ids
}

// exchange sends the next message to the hub, and processes its answer.
func (q *Quotas) exchange(ctx context.Context) {
	to, request, answered := q.nextRequest()
	defer close(answered)
	node, known := q.config.Table.View().Node(to)
	if !known {
		q.node.Failed(q.now())
		return
	}
	response, err := q.peers.borrow(ctx, node, q.message(request), q.node.AnswerTimeout())
	if err != nil {
		q.failed(to, err)
		return
	}
	q.failures = 0
	q.node.Answered(q.now(), answerOf(response))
}

// nextRequest builds the next message to the hub, and returns the channel to close when it was
// answered or has failed.
func (q *Quotas) nextRequest() (to string, request quota.Request, answered chan<- struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	to, request = q.node.Request(q.now())
	answered = q.next
	q.next = make(chan struct{})
	return to, request, answered
}

// message returns a request as a message. It may be sent to several nodes at the same time.
func (q *Quotas) message(request quota.Request) *exchangepb.BorrowRequest {
	message := borrowMessage(request)
	message.Mesh = q.peers.mesh
	return message
}

// failed records that the hub has not answered. One failure is not enough to take it to be lost:
// these messages have a shorter timeout than others, and a hub may be busy.
func (q *Quotas) failed(hub string, err error) {
	q.failures++
	if refused(err) || q.failures >= failuresUntilLost {
		q.peers.noteFailure(hub, err)
	}
	q.node.Failed(q.now())
	q.lookedAt = time.Time{}
}

// askOthers asks hubs of other zones for the tokens that this one lacks, and waits for a bounded
// time.
func (q *Quotas) askOthers(ctx context.Context) {
	done := q.askGroup.DoChan("", func() (any, error) {
		contain.Run(contain.Task, q.String(), q.peers.panicked, q.askRounds)
		return nil, nil
	})
	wait(ctx, done, quota.AskWait)
}

// askRounds asks some hubs, and then others if these had too little. Tokens that arrive after the
// waiting requests have given up serve the next ones.
func (q *Quotas) askRounds() {
	for round := range quota.AskRounds {
		hubs := q.otherHubs()
		if len(hubs) == 0 {
			return
		}
		demands := q.node.Shortage(q.now())
		if len(demands) == 0 {
			return
		}
		q.ask(hubs, demands)
		if round < quota.AskRounds-1 {
			time.Sleep(quota.AskGap)
		}
	}
}

// otherHubs returns some of the hubs of the other zones.
func (q *Quotas) otherHubs() []*fleet.Node {
	zone := q.config.Table.View().Self().Zone
	var hubs []*fleet.Node
	for otherZone, nodes := range q.peers.byZone() {
		if otherZone != zone {
			hubs = append(hubs, fleet.Hub(nodes))
		}
	}
	return pickRandom(hubs, quota.HubsPerRound)
}

// ask asks each of the hubs for an equal part.
func (q *Quotas) ask(hubs []*fleet.Node, demands []quota.Demand) {
	for i := range demands {
		demands[i].Requested /= float64(len(hubs))
	}
	request := q.message(quota.Request{Node: q.config.Table.View().Self().ID, Demands: demands})
	request.Move = true
	asked := contain.NewGroup(q.String(), q.peers.panicked)
	for _, hub := range hubs {
		asked.Go(func() {
			response, err := q.peers.borrow(context.Background(), *hub, request, quota.AnswerTimeout)
			switch {
			case err == nil:
				q.node.Receive(q.now(), answerOf(response).Grants)
			case refused(err):
				q.peers.noteFailure(hub.ID, err)
			}
		})
	}
	asked.Wait()
}

// serve answers a request of another node.
func (q *Quotas) serve(ctx context.Context, message *exchangepb.BorrowRequest) *exchangepb.BorrowResponse {
	request := requestOf(message)
	if message.GetMove() {
		return answerMessage(quota.Answer{Grants: q.node.Give(q.now(), request.Demands)})
	}
	answer, lacking := q.node.Serve(q.now(), request)
	if lacking {
		q.askOthers(ctx)
		answer = q.node.Complete(q.now(), request, answer)
	}
	return answerMessage(answer)
}

// borrow sends a message about quotas to another node, and waits for the answer for at most bound.
func (p *Peers) borrow(ctx context.Context, node fleet.Node, request *exchangepb.BorrowRequest, bound time.Duration) (*exchangepb.BorrowResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	p.sent.quotaRequests.Add(1)
	response, err := p.client(node.ControlAddress).Borrow(ctx, borrowTo(node.ID, request))
	if err != nil {
		return nil, err
	}
	if response.GetAddressed() {
		p.noteContact(node.ID)
	}
	return response, nil
}

// refused reports whether an error says that the node is not there: the connection was refused,
// since the process has ended or a link is cut in such a way, or another node answers.
func refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || isOtherNode(err)
}

// Borrow implements exchangepb.Exchange.
func (s *Server) Borrow(ctx context.Context, request *exchangepb.BorrowRequest) (*exchangepb.BorrowResponse, error) {
	if err := s.checkAddressed(request.GetMesh(), request.GetSender(), request.GetReceiver()); err != nil {
		return nil, err
	}
	if s.quotas == nil {
		return nil, errNoQuotas
	}
	s.peers.noteContact(request.GetSender())
	response := s.quotas.serve(ctx, request)
	response.Addressed = request.GetReceiver() != ""
	return response, nil
}
