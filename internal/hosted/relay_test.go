package hosted

import (
	"context"
	"testing"

	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/internal/testwait"
)

// TestUpdatesForABusyPartAreBatched delays the first message and forwards further updates
// meanwhile.
func TestUpdatesForABusyPartAreBatched(t *testing.T) {
	part := partKey{until: "z"}
	sent, release := make(chan update, 8), make(chan struct{})
	r := newRelay(func(_ context.Context, u update, _ partKey) {
		sent <- u
		<-release
	})
	record := func(id string, sequence uint64) update {
		return update{nodes: []*exchangepb.Node{{Id: id, Sequence: sequence}}}
	}
	done := make(chan struct{})
	go func() {
		r.forward(t.Context(), record("a", 1), part)
		close(done)
	}()
	<-sent
	r.forward(t.Context(), record("b", 2), part)
	r.forward(t.Context(), record("b", 1), part)
	r.forward(t.Context(), update{document: &exchangepb.Document{Version: 7}, version: 7}, part)
	r.forward(t.Context(), record("c", 1), part)
	close(release)
	<-done
	together := <-sent
	if len(sent) != 0 || len(together.nodes) != 2 || together.nodes[0].GetSequence() != 2 || together.version != 7 || together.document.GetVersion() != 7 {
		t.Fatalf("%d further messages, %+v", len(sent), together)
	}
	testwait.Eventually(t, "the part is free", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.waiting) == 0
	})
}
