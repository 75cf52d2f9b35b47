package hosted

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/fleet"
)

// After a loss of power of many machines no node knows the drain commitments of the others'
// previous incarnations: only the store does. One read of the directory returns those of all nodes,
// so the nodes of a zone ask one of its hubs, which reads on behalf of all that ask at the same
// time.

const (
	// recallGather is how long the hub waits for further requests before it reads. It reads 40
	// times a second at most, however many nodes start: 8 reads instead of 961 after a loss of
	// power of 985 nodes (simulated time).
	recallGather = 20 * time.Millisecond
	// recallAnswerBound is how long a node waits for the hub before it asks the store itself: the
	// hub's recallGather, a read of the store, and the round trip.
	recallAnswerBound = 250 * time.Millisecond
)

// sharedDirectory reads the whole directory on behalf of all callers at the same time. A read
// answers the calls that were made before it began: an earlier read might lack what a previous
// incarnation has written just before its end.
type sharedDirectory struct {
	list     func(ctx context.Context) ([]Entry, error)
	panicked contain.Report

	mu contain.Mutex
	// next is the read that begins next; nil when no call waits for one.
	next *directoryRead
	// busy is set while run is running.
	busy bool
}

// directoryRead is one read of the directory. Entries and err are set before done is closed.
type directoryRead struct {
	done    chan struct{}
	entries map[string]Entry
	err     error
}

// entry returns the entry of a node, as read after the call began; one of revision zero when there
// is none.
func (s *sharedDirectory) entry(ctx context.Context, id string) (Entry, error) {
	read := s.join()
	select {
	case <-read.done:
	case <-ctx.Done():
		return Entry{}, ErrUnanswered.Wrap(ctx.Err(), "waiting for a shared read of the directory")
	}
	if read.err != nil {
		return Entry{}, read.err
	}
	found := read.entries[id]
	found.ID = id
	return found, nil
}

// join returns the read that begins next.
func (s *sharedDirectory) join() *directoryRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = &directoryRead{done: make(chan struct{})}
	}
	if !s.busy {
		s.busy = true
		go contain.Run(contain.Task, "directory", s.panicked, s.run)
	}
	return s.next
}

// run reads the directory until no call waits any more.
func (s *sharedDirectory) run() {
	for {
		time.Sleep(recallGather)
		read := s.take()
		if read == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), callBound)
		entries, err := s.list(ctx)
		cancel()
		read.err = err
		read.entries = make(map[string]Entry, len(entries))
		for _, e := range entries {
			read.entries[e.ID] = e
		}
		close(read.done)
	}
}

// take returns the read that begins now; nil when no call waits for one.
func (s *sharedDirectory) take() *directoryRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	read := s.next
	s.next = nil
	s.busy = read != nil
	return read
}

// Recall implements exchangepb.Exchange.
func (s *Server) Recall(ctx context.Context, request *exchangepb.RecallRequest) (*exchangepb.RecallResponse, error) {
	if err := s.checkAddressed(request.GetMesh(), request.GetSender(), request.GetReceiver()); err != nil {
		return nil, err
	}
	e, err := s.peers.directory.entry(ctx, request.GetSender())
	if err != nil {
		return nil, twirp.Unavailable.Errorf("store: %w", err)
	}
	return &exchangepb.RecallResponse{Content: e.Content, Revision: e.Revision}, nil
}

// recall returns the entry of this node, as read by the second hub of its zone, or by the first
// where there is no other; false when that hub has not answered. The first hub is busy with the
// records of all nodes.
func (p *Peers) recall(ctx context.Context) (Entry, bool) {
	ctx, cancel := context.WithTimeout(ctx, recallAnswerBound)
	defer cancel()
	self := p.table.View().Self()
	hubs := fleet.Hubs(append(p.inZone(self.Zone), &self))
	hub := hubs[min(1, len(hubs)-1)]
	if hub.ID == self.ID {
		e, err := p.directory.entry(ctx, self.ID)
		return e, err == nil
	}
	response, err := p.client(hub.ControlAddress).Recall(ctx, &exchangepb.RecallRequest{Mesh: p.mesh, Sender: self.ID, Receiver: hub.ID})
	if err != nil {
		// The store may not have answered the hub: that does not mean that the hub is lost.
		p.events.RecallFailed(hub.ID, err)
		return Entry{}, false
	}
	return Entry{ID: self.ID, Content: response.GetContent(), Revision: response.GetRevision()}, true
}
