package hosted

import (
	"context"
	"slices"

	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/fleet"
)

// A record by which a node that is reached has started again elsewhere may be of another program. The
// node, if it is still where it was, outranks it as soon as it learns of it. Nodes in other zones may
// not tell it for seconds, so those that read the store do at once.

// checkMoves tells the nodes that were reached before a merge of the later records, at other addresses,
// that were accepted under their names.
func (p *Peers) checkMoves(before *fleet.View, restarted []string) {
	if len(restarted) == 0 {
		return
	}
	view := p.table.View()
	if !slices.Contains(fleet.Readers(view, p.contacts.Reachable, readerCount), view.Self().ID) {
		return
	}
	for _, id := range restarted {
		former, held := before.Node(id)
		next, _ := view.Node(id)
		if !held || former.State == fleet.StateLeft || former.ControlAddress == next.ControlAddress || !p.contacts.Reachable(id) {
			continue
		}
		go contain.Run(contain.Task, messagesName, p.panicked, func() { p.tellMoved(former, next) })
	}
}

// tellMoved sends a node, at its former address, the record by which it is at another one. No answer
// means that it has moved.
func (p *Peers) tellMoved(former, next fleet.Node) {
	ctx, cancel := context.WithTimeout(context.Background(), messageBound)
	defer cancel()
	view := p.table.View()
	response, err := p.client(former.ControlAddress).Sync(ctx, &exchangepb.SyncRequest{
		Mesh:            p.mesh,
		Sender:          nodeMessage(view.Self()),
		Nodes:           []*exchangepb.Node{nodeMessage(next)},
		NodesDigest:     view.Digest(),
		DocumentVersion: p.documents.Version(),
		EvidenceDigest:  p.evidence.digest(),
	})
	if err == nil {
		p.merge(nodesOf(response.GetReceiver()), nil)
	}
}
