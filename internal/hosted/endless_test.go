package hosted

import (
	"context"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/internal/testendless"
	"github.com/levertide/levertide/internal/testwait"
	"github.com/levertide/levertide/pkg/fleet"
)

// TestNodeThatAnswersWithoutEndIsLeft guards against another node whose answers to messages never
// end.
func TestNodeThatAnswersWithoutEndIsLeft(t *testing.T) {
	for name, form := range testendless.Forms {
		for _, drops := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				server := testendless.New(form, drops)
				self := fleet.Node{ID: "self", Incarnation: 1, Zone: "z", State: fleet.StateLive}
				p := newPeers(Config{
					Table: fleet.NewTable(self), Contacts: fleet.NewContacts(), Dial: server.Dial, Directory: struct{ Directory }{},
				}, nil)
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				if _, err := p.client(callsAt).Sync(ctx, nil); err == nil {
					t.Error("an answer was read")
				}
				testwait.Eventually(t, "the connection is closed", func() bool { return server.Answered.Load() == 1 && server.Open.Load() == 0 })
				if written := server.Written.Load(); written > testendless.MostRead(name, httpconn.MaximumAnswerHead, maximumMessage) {
					t.Errorf("%d bytes were read", written)
				}
			})
		}
	}
}
