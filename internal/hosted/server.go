package hosted

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"github.com/levertide/levertide/internal/exchangepb"
)

// maximumMessage bounds a message of another node, in bytes.
const maximumMessage = 16 << 20

// Server answers the messages of other nodes.
type Server struct {
	peers *Peers
	// background runs what goes on after an answer.
	background func(func(ctx context.Context))
	// onContact is told who has spoken.
	onContact func(id string)
	// quotas keeps the limits of tenants; nil where nobody does.
	quotas *Quotas
}

// handler returns the HTTP handler of the server.
func (s *Server) handler() http.Handler {
	exchange := exchangepb.NewExchangeServer(s, twirp.WithServerPathPrefix(""))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maximumMessage)
		exchange.ServeHTTP(w, r)
	})
}

// Sync implements exchangepb.Exchange.
func (s *Server) Sync(_ context.Context, request *exchangepb.SyncRequest) (*exchangepb.SyncResponse, error) {
	if err := s.check(request.GetMesh(), request.GetSender().GetId()); err != nil {
		return nil, err
	}
	p := s.peers
	sender := request.GetSender().GetId()
	promised := p.table.DrainCommitted(sender)
	knowsFormer := p.table.KnowsPrevious(sender, request.GetSender().GetIncarnation())
	held, known := p.table.View().Node(sender)
	p.noteContact(sender)
	p.merge(append(nodesOf(request.GetNodes()...), nodesOf(request.GetSender())...), nil)
	p.documents.TakeMessage(request.GetDocument())
	p.evidence.take(request.GetEvidence())
	p.evidence.takeDecisions(request.GetQuarantined())
	s.onContact(sender)
	view := p.table.View()
	response := &exchangepb.SyncResponse{
		Receiver:        nodeMessage(view.Self()),
		DocumentVersion: p.documents.Version(),
		Document:        p.documents.After(request.GetDocumentVersion()),
		Promised:        workerMessages(promised),
		KnowsFormer:     knowsFormer,
		EvidenceDigest:  p.evidence.digest(),
	}
	if response.GetEvidenceDigest() != request.GetEvidenceDigest() {
		response.Evidence, response.Quarantined = p.evidence.held()
	}
	switch {
	case len(request.GetBuckets()) > 0:
		response.Nodes = lackedBy(view, request.GetBuckets(), request.GetNodes())
	case view.Digest() != request.GetNodesDigest():
		digests := view.Digests()
		response.BucketDigests = digests[:]
	}
	if known && held.NewerThan(nodeOf(request.GetSender())) {
		response.Nodes = append(response.Nodes, nodeMessage(held))
	}
	return response, nil
}

// Broadcast implements exchangepb.Exchange. News are handed on after the answer,
// beside being put in force.
func (s *Server) Broadcast(_ context.Context, request *exchangepb.BroadcastRequest) (*exchangepb.BroadcastResponse, error) {
	if err := s.check(request.GetMesh(), request.GetSender()); err != nil {
		return nil, err
	}
	p := s.peers
	p.noteContact(request.GetSender())
	p.merge(nodesOf(request.GetNodes()...), nil)
	p.evidence.take(request.GetEvidence())
	held := p.documents.TakeMessage(request.GetDocument()) || p.documents.Version() >= request.GetDocumentVersion()
	u := update{nodes: request.GetNodes(), evidence: request.GetEvidence(), document: request.GetDocument(), version: request.GetDocumentVersion()}
	if reach := request.GetReach(); reach != exchangepb.Reach_REACH_RANGE {
		p.hub.accept(u, reach)
		return &exchangepb.BroadcastResponse{}, nil
	}
	s.background(func(ctx context.Context) {
		if !held && s.fetch(ctx, request.GetSender()) {
			u.document = p.documents.ForBroadcast()
		}
		// A message that only reminds of a document goes on, too: this node may have it from
		// a comparison, and then nobody has handed it on here.
		if request.GetUntil() != "" {
			p.relay.forward(ctx, u, partKey{after: request.GetAfter(), until: request.GetUntil()})
		}
	})
	return &exchangepb.BroadcastResponse{}, nil
}

// fetch asks the sender of news for a document that this node could not make of
// them. It reports whether there was one.
func (s *Server) fetch(ctx context.Context, sender string) bool {
	node, known := s.peers.table.View().Node(sender)
	before := s.peers.documents.Version()
	return known && s.peers.Sync(ctx, node) && s.peers.documents.Version() > before
}

// check refuses messages of other systems and those without a sender.
func (s *Server) check(mesh, sender string) error {
	switch {
	case mesh != s.peers.mesh:
		return twirp.InvalidArgumentError("mesh", "is another one")
	case sender == "":
		return twirp.RequiredArgumentError("sender")
	}
	return nil
}
