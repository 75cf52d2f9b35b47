package hosted

import (
	"context"
	"slices"
	"time"

	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/pkg/fleet"
)

// The records of nodes are sent through one node of each zone, its hub: a node sends its record to
// the hub, and the hub sends what it received within a short time to the hubs of the other zones
// and to the nodes of its own. A node then gets a bounded number of messages a second, from few
// others, however many records change. Records that a hub has not sent when it fails are delivered
// by the next anti-entropy exchanges.

const (
	// batchPerNode, times the nodes of the mesh, is the interval between two batches of a hub, up
	// to longestBatch: a small mesh has few changes at a time, and receives them at once.
	batchPerNode = time.Millisecond
	// longestBatch keeps the delay of updates far below the second or two that callers notice; a
	// node then gets at most five messages a second.
	longestBatch = 200 * time.Millisecond
	// startBatch replaces longestBatch at a hub that has started within startBatchTime: after a
	// loss of power of many machines, calls wait for the records of workers, which cross two hubs.
	// Each node then gets up to 20 messages a second from each hub.
	startBatch     = 50 * time.Millisecond
	startBatchTime = 2 * time.Second
)

// hub forwards what the nodes of its zone and the hubs of the others send to this node, while they
// take it to be their hub.
type hub struct {
	background func(work func(ctx context.Context))
	// mesh forwards to the hubs of the other zones, zone to the nodes of the own zone.
	mesh, zone *relay
}

func newHub(p *Peers, background func(work func(ctx context.Context))) *hub {
	h := &hub{background: background}
	h.mesh = h.batchingRelay(p.toOtherZones, p.batchInterval)
	h.zone = h.batchingRelay(func(ctx context.Context, u update) { p.BroadcastOwnZone(ctx, u, "", "") }, p.batchInterval)
	return h
}

// batchingRelay returns a relay that sends at intervals. It does not wait for a message to arrive:
// a node that does not answer must not delay the others.
func (h *hub) batchingRelay(send func(ctx context.Context, u update), interval func() time.Duration) *relay {
	return newRelay(func(ctx context.Context, u update, _ partKey) {
		h.background(func(ctx context.Context) { send(ctx, u) })
		sleep(ctx, interval())
	})
}

// accept accepts an update for the own zone or the whole mesh.
func (h *hub) accept(u update, reach exchangepb.Reach) {
	h.background(func(ctx context.Context) { h.zone.forward(ctx, u, partKey{}) })
	if reach == exchangepb.Reach_REACH_MESH {
		h.background(func(ctx context.Context) { h.mesh.forward(ctx, u, partKey{}) })
	}
}

// batchInterval returns the interval between two batches of a hub.
func (p *Peers) batchInterval() time.Duration {
	longest := longestBatch
	if time.Since(p.started) < startBatchTime {
		longest = startBatch
	}
	nodes := len(p.table.View().Nodes())
	return min(time.Duration(nodes)*batchPerNode, longest)
}

// Announce sends records to all other nodes, through the hub of the own zone.
func (p *Peers) Announce(ctx context.Context, records []*exchangepb.Node) {
	p.announce(ctx, update{nodes: records})
}

func (p *Peers) announce(ctx context.Context, u update) {
	self := p.table.View().Self()
	candidates := fleet.Hubs(append(p.inZone(self.Zone), &self))
	own := slices.IndexFunc(candidates, func(n *fleet.Node) bool { return n.ID == self.ID })
	switch {
	case p.toFirst(ctx, candidates[:own], p.message(u, exchangepb.Reach_REACH_MESH)):
	case self.State != fleet.StateLive:
		// This node may end before the next batch.
		p.toOtherZones(ctx, u)
	default:
		p.hub.accept(u, exchangepb.Reach_REACH_MESH)
	}
}

// toOtherZones sends an update to the hub of each other zone.
func (p *Peers) toOtherZones(ctx context.Context, u update) {
	self := p.table.View().Self()
	zones := p.group()
	for zone, nodes := range p.byZone() {
		if zone != self.Zone {
			zones.Go(func() { p.toFirst(ctx, fleet.Hubs(nodes), p.message(u, exchangepb.Reach_REACH_ZONE)) })
		}
	}
	zones.Wait()
}

// Replicate sends records to the wanted number of other nodes, which store them. It calls taken for
// each node that does.
func (p *Peers) Replicate(ctx context.Context, records []*exchangepb.Node, wanted int, taken func()) {
	message := p.message(update{nodes: records}, exchangepb.Reach_REACH_RANGE)
	candidates := p.reachablePeers()
	candidates = pickRandom(candidates, len(candidates))
	replicas := p.group()
	for n := range wanted {
		replicas.Go(func() {
			if p.toFirst(ctx, everyNth(candidates, n, wanted), message) {
				taken()
			}
		})
	}
	replicas.Wait()
}

// everyNth returns every n-th node, starting at the given index.
func everyNth(nodes []*fleet.Node, first, n int) []*fleet.Node {
	var chosen []*fleet.Node
	for i := first; i < len(nodes); i += n {
		chosen = append(chosen, nodes[i])
	}
	return chosen
}
