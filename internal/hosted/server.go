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
	// heard is told who has spoken.
	heard func(id string)
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
	if err := s.check(request.GetMesh(), request.GetSender()); err != nil {
		return nil, err
	}
	p := s.peers
	sender := request.GetSender().GetId()
	promised := p.table.Promised(sender)
	former, known := p.table.View().Node(sender)
	p.noteContact(sender)
	p.merge(append(nodesOf(request.GetNodes()...), nodesOf(request.GetSender())...), nil)
	p.documents.TakeMessage(request.GetDocument())
	s.heard(sender)
	view := p.table.View()
	response := &exchangepb.SyncResponse{
		Receiver:         nodeMessage(view.Self()),
		DocumentRevision: p.documents.Revision(),
		Document:         p.documents.After(request.GetDocumentRevision()),
		Promised:         workerMessages(promised),
	}
	if view.Digest() != request.GetNodesDigest() {
		response.Nodes = nodeMessages(view.Nodes())
	}
	if known && former.NewerThan(nodeOf(request.GetSender())) {
		response.Nodes = append(response.Nodes, nodeMessage(former))
	}
	return response, nil
}

// Broadcast implements exchangepb.Exchange. News are put in force before they
// are handed on, and handed on after the answer.
func (s *Server) Broadcast(_ context.Context, request *exchangepb.BroadcastRequest) (*exchangepb.BroadcastResponse, error) {
	if err := s.check(request.GetMesh(), request.GetSender()); err != nil {
		return nil, err
	}
	p := s.peers
	p.noteContact(request.GetSender().GetId())
	if request.GetUntil() != "" {
		what := news{nodes: request.GetNodes(), document: request.GetDocument()}
		s.background(func(ctx context.Context) {
			p.Broadcast(ctx, what, request.GetAfter(), request.GetUntil(), nil)
		})
	}
	p.merge(append(nodesOf(request.GetNodes()...), nodesOf(request.GetSender())...), nil)
	p.documents.TakeMessage(request.GetDocument())
	return &exchangepb.BroadcastResponse{
		Receiver:         nodeMessage(p.table.View().Self()),
		DocumentRevision: p.documents.Revision(),
	}, nil
}

// check refuses messages of other systems and those without a sender.
func (s *Server) check(mesh string, sender *exchangepb.Node) error {
	switch {
	case mesh != s.peers.mesh:
		return twirp.InvalidArgumentError("mesh", "is another one")
	case sender.GetId() == "":
		return twirp.RequiredArgumentError("sender")
	}
	return nil
}
