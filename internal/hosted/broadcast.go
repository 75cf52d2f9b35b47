package hosted

import (
	"context"
	"time"

	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/fleet"
)

const (
	// fanOut is how many nodes of its zone a node forwards an update to.
	fanOut = 4
	// hedgeDelay is how long a node waits for the answer of a node to which it has sent a document
	// before it also sends the document to the next node of the same part. Nodes answer within some
	// milliseconds. After a loss of power of many machines most nodes of a part may be
	// unresponsive, on each level of a broadcast, and waiting for each in turn would take seconds.
	hedgeDelay = 100 * time.Millisecond
)

// update is the content of a broadcast.
type update struct {
	nodes    []*exchangepb.Node
	evidence []*exchangepb.Evidence
	document *exchangepb.Document
	// version is the version of the newest document, for nodes that lack it.
	version uint64
}

// BroadcastZones sends an update to one node of each of the other zones that wanted selects, which
// forwards it there.
func (p *Peers) BroadcastZones(ctx context.Context, u update, wanted func(zone string) bool) {
	self := p.table.View().Self()
	var parts []fleet.Part
	for zone, nodes := range p.byZone() {
		if zone != self.Zone && wanted(zone) {
			parts = append(parts, fleet.SinglePart(nodes, self.ID))
		}
	}
	p.forwardAll(ctx, u, parts)
}

// BroadcastOwnZone sends an update to the nodes of the own zone in a range.
func (p *Peers) BroadcastOwnZone(ctx context.Context, u update, after, until string) {
	self := p.table.View().Self()
	p.forwardAll(ctx, u, fleet.Spread(p.inZone(self.Zone), self.ID, after, until, fanOut))
}

// group returns a group of goroutines that exchange messages.
func (p *Peers) group() *contain.Group { return contain.NewGroup(messagesName, p.panicked) }

func (p *Peers) byZone() map[string][]*fleet.Node {
	zones := map[string][]*fleet.Node{}
	for _, node := range p.reachablePeers() {
		zones[node.Zone] = append(zones[node.Zone], node)
	}
	return zones
}

func (p *Peers) inZone(zone string) []*fleet.Node { return p.byZone()[zone] }

func (p *Peers) forwardAll(ctx context.Context, u update, parts []fleet.Part) {
	waiting := p.group()
	for _, part := range parts {
		waiting.Go(func() { p.forward(ctx, u, part) })
	}
	waiting.Wait()
}

// reachablePeers returns the other nodes that are not taken to be lost: lost ones catch up by an
// anti-entropy exchange when they are reached again.
func (p *Peers) reachablePeers() []*fleet.Node {
	all := p.table.View().Peers()
	reachable := all[:0]
	for _, node := range all {
		if p.contacts.Reachable(node.ID) {
			reachable = append(reachable, node)
		}
	}
	return reachable
}

// forward sends an update to the first node of a part that accepts it, which forwards it to the
// others of the part. When a node does not answer, the next one is tried.
func (p *Peers) forward(ctx context.Context, u update, part fleet.Part) {
	message := p.message(u, exchangepb.Reach_REACH_RANGE)
	if len(part.Candidates) > 1 {
		message.After, message.Until = part.After, part.Until
	}
	if u.version == 0 {
		p.toFirst(ctx, part.Candidates, message)
		return
	}
	p.toFirstHedged(ctx, part.Candidates, message)
}

// message returns the message for an update with the given reach.
func (p *Peers) message(u update, reach exchangepb.Reach) *exchangepb.BroadcastRequest {
	return &exchangepb.BroadcastRequest{
		Mesh:            p.mesh,
		Sender:          p.table.View().Self().ID,
		Nodes:           u.nodes,
		Evidence:        u.evidence,
		Document:        u.document,
		DocumentVersion: u.version,
		Reach:           reach,
	}
}

// toFirst sends a message to the first of the nodes that accepts it. It reports whether there was
// one.
func (p *Peers) toFirst(ctx context.Context, candidates []*fleet.Node, message *exchangepb.BroadcastRequest) bool {
	for _, candidate := range candidates {
		if p.send(ctx, *candidate, message) {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// toFirstHedged is toFirst with hedging: when a node does not answer within hedgeDelay, the next is
// sent the message, too. More than one may accept it.
func (p *Peers) toFirstHedged(ctx context.Context, candidates []*fleet.Node, message *exchangepb.BroadcastRequest) {
	answers := make(chan bool, len(candidates))
	sent, pending := 0, 0
	for {
		if sent < len(candidates) {
			candidate := *candidates[sent]
			go contain.Run(contain.Task, messagesName, p.panicked, func() {
				taken := false
				defer func() { answers <- taken }()
				taken = p.send(ctx, candidate, message)
			})
			sent++
			pending++
		}
		if pending == 0 {
			return
		}
		taken, answered := awaitAnswer(ctx, answers)
		switch {
		case taken || ctx.Err() != nil:
			return
		case answered:
			pending--
		}
	}
}

// awaitAnswer waits for an answer, for at most hedgeDelay.
func awaitAnswer(ctx context.Context, answers <-chan bool) (taken, answered bool) {
	t := time.NewTimer(hedgeDelay)
	defer t.Stop()
	select {
	case taken = <-answers:
		return taken, true
	case <-t.C:
	case <-ctx.Done():
	}
	return false, false
}

func (p *Peers) send(ctx context.Context, node fleet.Node, request *exchangepb.BroadcastRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, messageBound)
	defer cancel()
	p.sent.broadcasts.Add(1)
	p.sent.records.Add(uint64(len(request.GetNodes())))
	return p.deliver(ctx, node, request)
}

// probe reports whether a node answers.
func (p *Peers) probe(ctx context.Context, node fleet.Node) bool {
	ctx, cancel := context.WithTimeout(ctx, messageBound)
	defer cancel()
	p.sent.probes.Add(1)
	// A message without an update is answered and changes nothing.
	return p.deliver(ctx, node, p.message(update{}, exchangepb.Reach_REACH_RANGE))
}

// deliver sends a message and records whether the node answered. The answer of an older node does
// not tell which one it is: the message is delivered, and whether the node is there remains open.
func (p *Peers) deliver(ctx context.Context, node fleet.Node, request *exchangepb.BroadcastRequest) bool {
	response, err := p.client(node.ControlAddress).Broadcast(ctx, broadcastTo(node.ID, request))
	if err != nil {
		p.noteFailure(node.ID, err)
		return false
	}
	if response.GetAddressed() {
		p.noteContact(node.ID)
	}
	return true
}
