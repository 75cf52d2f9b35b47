package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/pkg/fleet"
)

// The records of nodes travel by way of one node of each zone, its hub: a node
// sends its record there, the hub sends what it got within a short time to the hubs
// of the other zones and to the nodes of its own. A node then gets a bounded number
// of messages a second, from few others, however many records change. Whatever a
// hub takes with it when it dies is found by the next comparisons.

const (
	// batchPerNode, times the nodes of the mesh, is the interval between two batches
	// of a hub, up to longestBatch: a small mesh has few changes at a time, and hears
	// of them at once.
	batchPerNode = time.Millisecond
	// longestBatch keeps news far below the bound of a second or two that callers
	// notice; a node then gets at most five messages a second.
	longestBatch = 200 * time.Millisecond
)

// hub hands on what the nodes of the own zone and the hubs of the others send to
// this node, while they take it to be their hub.
type hub struct {
	// mesh collects for the hubs of the other zones, zone for the own zone.
	mesh, zone batch
}

func newHub(p *Peers, background func(work func(ctx context.Context))) *hub {
	return &hub{
		mesh: batch{send: p.toOtherZones, interval: p.batchInterval, background: background},
		zone: batch{
			send:       func(ctx context.Context, what news) { p.BroadcastOwnZone(ctx, what, "", "") },
			interval:   p.batchInterval,
			background: background,
		},
	}
}

// take takes news that reach the own zone or the whole mesh.
func (h *hub) take(what news, reach exchangepb.Reach) {
	h.zone.add(what)
	if reach == exchangepb.Reach_REACH_MESH {
		h.mesh.add(what)
	}
}

// batchInterval returns the interval between two batches of a hub.
func (p *Peers) batchInterval() time.Duration {
	nodes := len(p.table.View().Nodes())
	return min(time.Duration(nodes)*batchPerNode, longestBatch)
}

// Announce tells all other nodes of records, by way of the hub of the own zone. It
// reports whether another node has taken them.
func (p *Peers) Announce(ctx context.Context, records []*exchangepb.Node) bool {
	what := news{nodes: records}
	self := p.table.View().Self()
	for _, candidate := range fleet.Hubs(append(p.inZone(self.Zone), &self)) {
		if candidate.ID == self.ID {
			break
		}
		if p.sendNews(ctx, *candidate, what, exchangepb.Reach_REACH_MESH) {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	if self.State != fleet.StateLive {
		// This node may end before the next batch.
		p.toOtherZones(ctx, what)
		return false
	}
	p.hub.take(what, exchangepb.Reach_REACH_MESH)
	return false
}

// toOtherZones sends news to the hub of each other zone.
func (p *Peers) toOtherZones(ctx context.Context, what news) {
	self := p.table.View().Self()
	var zones sync.WaitGroup
	for zone, nodes := range p.byZone() {
		if zone == self.Zone {
			continue
		}
		zones.Go(func() { p.toFirst(ctx, fleet.Hubs(nodes), what) })
	}
	zones.Wait()
}

// toFirst sends news to the first of the candidates that takes them for its zone.
func (p *Peers) toFirst(ctx context.Context, candidates []*fleet.Node, what news) {
	for _, candidate := range candidates {
		if p.sendNews(ctx, *candidate, what, exchangepb.Reach_REACH_ZONE) || ctx.Err() != nil {
			return
		}
	}
}

// sendNews sends news to one node, which hands them on as far as they reach.
func (p *Peers) sendNews(ctx context.Context, node fleet.Node, what news, reach exchangepb.Reach) bool {
	return p.send(ctx, node, &exchangepb.BroadcastRequest{
		Mesh:             p.mesh,
		Sender:           p.table.View().Self().ID,
		Nodes:            what.nodes,
		Document:         what.document,
		DocumentRevision: what.revision,
		Reach:            reach,
	})
}

// Keep gives the own record to as many other nodes as wanted, beside the hub. Taken
// is called for each that holds it.
func (p *Peers) Keep(ctx context.Context, records []*exchangepb.Node, wanted int, taken func()) {
	candidates := make(chan *fleet.Node, len(p.table.View().Nodes()))
	for _, node := range pickRandom(p.reachablePeers(), cap(candidates)) {
		candidates <- node
	}
	close(candidates)
	var keepers sync.WaitGroup
	for range wanted {
		keepers.Go(func() {
			for node := range candidates {
				if p.sendNews(ctx, *node, news{nodes: records}, exchangepb.Reach_REACH_RANGE) {
					taken()
					return
				}
				if ctx.Err() != nil {
					return
				}
			}
		})
	}
	keepers.Wait()
}
