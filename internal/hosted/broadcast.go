package hosted

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/pkg/fleet"
)

// fanOut is how many nodes hand on the news of one.
const fanOut = 4

// news is what a broadcast carries.
type news struct {
	nodes    []*exchangepb.Node
	document *exchangepb.Document
}

// Broadcast hands news to all nodes whose identifiers lie in the range, each by
// one message, and returns how many of the first hop took them. Taken, which may
// be nil, is called for each of these.
func (p *Peers) Broadcast(ctx context.Context, what news, after, until string, taken func()) int {
	var count atomic.Int64
	var waiting sync.WaitGroup
	for _, part := range fleet.Spread(p.reachablePeers(), after, until, fanOut) {
		waiting.Go(func() {
			if p.handOn(ctx, what, part) {
				count.Add(1)
				if taken != nil {
					taken()
				}
			}
		})
	}
	waiting.Wait()
	return int(count.Load())
}

// reachablePeers leaves out nodes that are taken to be lost: they compare notes
// when they are found again.
func (p *Peers) reachablePeers() []fleet.Node {
	all := p.table.View().Peers()
	reachable := all[:0]
	for _, node := range all {
		if p.contacts.Reachable(node.ID) {
			reachable = append(reachable, node)
		}
	}
	return reachable
}

// handOn gives a part of a broadcast to the first node of it that takes it. When
// one does not answer, the next one gets the rest.
func (p *Peers) handOn(ctx context.Context, what news, part fleet.Part) bool {
	for _, head := range part.Candidates {
		request := &exchangepb.BroadcastRequest{
			Mesh:     p.mesh,
			Sender:   nodeMessage(p.table.View().Self()),
			Nodes:    what.nodes,
			Document: what.document,
		}
		if head.ID != part.Until {
			request.After, request.Until = head.ID, part.Until
		}
		if p.send(ctx, head, request) {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

func (p *Peers) send(ctx context.Context, node fleet.Node, request *exchangepb.BroadcastRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, messageBound)
	defer cancel()
	response, err := p.client(node.ControlAddress).Broadcast(ctx, request)
	if err != nil {
		p.noteFailure(node.ID, err)
		return false
	}
	p.noteContact(node.ID)
	p.merge(nodesOf(response.GetReceiver()), nil)
	return true
}
