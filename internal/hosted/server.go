package hosted

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/levertide/levertide/internal/exchangepb"
)

const (
	// maximumMessage bounds the body of a message from another node, maximumMessageHead its head,
	// in bytes, readHeaderTime the time to read the head, and readTime that to read all of it.
	maximumMessage     = 16 << 20
	maximumMessageHead = 64 << 10
	readHeaderTime     = 10 * time.Second
	readTime           = 20 * time.Second
)

// Server answers messages from other nodes.
type Server struct {
	peers *Peers
	// background runs work that continues after an answer.
	background func(func(ctx context.Context))
	// onContact is called with the sender of a message.
	onContact func(id string)
	// quotas enforces the limits of tenants; nil where there are none.
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
	drainCommitted := p.table.DrainCommitted(sender)
	knowsPrevious := p.table.KnowsPrevious(sender, request.GetSender().GetIncarnation())
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
		Promised:        workerMessages(drainCommitted),
		KnowsFormer:     knowsPrevious,
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
	if known && held.NewerThan(rankOf(request.GetSender())) {
		response.Nodes = append(response.Nodes, nodeMessage(held))
	}
	return response, nil
}

// Broadcast implements exchangepb.Exchange. Updates are forwarded after the answer, while they are
// being put in force.
func (s *Server) Broadcast(_ context.Context, request *exchangepb.BroadcastRequest) (*exchangepb.BroadcastResponse, error) {
	if err := s.checkAddressed(request.GetMesh(), request.GetSender(), request.GetReceiver()); err != nil {
		return nil, err
	}
	p := s.peers
	p.noteContact(request.GetSender())
	p.merge(nodesOf(request.GetNodes()...), nil)
	p.evidence.take(request.GetEvidence())
	held := p.documents.TakeMessage(request.GetDocument()) || p.documents.Version() >= request.GetDocumentVersion()
	u := update{nodes: naming(request.GetNodes()), evidence: request.GetEvidence(), document: request.GetDocument(), version: request.GetDocumentVersion()}
	if reach := request.GetReach(); reach != exchangepb.Reach_REACH_RANGE {
		p.hub.accept(u, reach)
		return &exchangepb.BroadcastResponse{Addressed: request.GetReceiver() != ""}, nil
	}
	s.background(func(ctx context.Context) {
		if !held && s.fetch(ctx, request.GetSender()) {
			u.document = p.documents.ForBroadcast()
		}
		// A message that only names a document's version is forwarded, too: this node may have the
		// document from an anti-entropy exchange, in which case nobody has forwarded it in this
		// zone.
		if request.GetUntil() != "" {
			p.relay.forward(ctx, u, partKey{after: request.GetAfter(), until: request.GetUntil()})
		}
	})
	return &exchangepb.BroadcastResponse{Addressed: request.GetReceiver() != ""}, nil
}

// fetch asks the sender of an update for a document that this node could not decode from it. It
// reports whether it got one.
func (s *Server) fetch(ctx context.Context, sender string) bool {
	node, known := s.peers.table.View().Node(sender)
	before := s.peers.documents.Version()
	return known && s.peers.Sync(ctx, node) && s.peers.documents.Version() > before
}

// checkAddressed is check for messages that name their receiver.
func (s *Server) checkAddressed(mesh, sender, receiver string) error {
	if err := s.check(mesh, sender); err != nil {
		return err
	}
	return s.checkReceiver(receiver)
}

// check refuses messages from other meshes and those without a sender.
func (s *Server) check(mesh, sender string) error {
	switch {
	case mesh != s.peers.mesh:
		return twirp.InvalidArgumentError("mesh", "is another one")
	case sender == "":
		return twirp.RequiredArgumentError("sender")
	}
	return nil
}
