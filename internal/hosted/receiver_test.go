package hosted

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/quarantine"
)

// answering is a node that counts the updates it takes, and answers as itself.
type answering struct {
	exchangepb.Exchange
	id string
	// older is set for a node that knows no receivers.
	older bool
	taken int
}

func (a *answering) Sync(context.Context, *exchangepb.SyncRequest) (*exchangepb.SyncResponse, error) {
	return &exchangepb.SyncResponse{Receiver: &exchangepb.Node{Id: a.id, Incarnation: 1, ControlAddress: "10.0.0.1:70", CallAddress: "10.0.0.1:71"}}, nil
}

func (a *answering) Broadcast(_ context.Context, request *exchangepb.BroadcastRequest) (*exchangepb.BroadcastResponse, error) {
	if !a.older && request.GetReceiver() != a.id {
		return nil, twirp.FailedPrecondition.Error("message is for another node")
	}
	a.taken++
	return &exchangepb.BroadcastResponse{Addressed: !a.older}, nil
}

// asking returns the messages of a node, and the record of a node named asked at the address of the
// given one.
func asking(t *testing.T, there *answering) (*Peers, fleet.Node) {
	t.Helper()
	server := httptest.NewServer(exchangepb.NewExchangeServer(there, twirp.WithServerPathPrefix("")))
	t.Cleanup(server.Close)
	asked := fleet.Node{ID: "asked", Incarnation: 1, State: fleet.StateLive, ControlAddress: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
	table := fleet.NewTable(fleet.Node{ID: "self", State: fleet.StateLive})
	table.Merge([]fleet.Node{asked})
	documents := NewDocuments(&recordingConsumer{}, discardEvents{})
	p := &Peers{
		mesh: "test", table: table, contacts: fleet.NewContacts(), documents: documents, events: discardEvents{},
		web: &http.Client{}, clients: map[netip.AddrPort]exchangepb.Exchange{}, evidence: newEvidence(&Agent{}, quarantine.New(quarantine.Options{})),
	}
	return p, asked
}

// TestAnswerOfAnotherNodeIsNoContact guards against nodes that have ended but count as reached, since
// another node answers at their address.
func TestAnswerOfAnotherNodeIsNoContact(t *testing.T) {
	there := &answering{id: "other"}
	p, asked := asking(t, there)
	if p.send(t.Context(), asked, p.message(update{}, exchangepb.Reach_REACH_RANGE)) || p.contacts.Reachable(asked.ID) {
		t.Error("an update was taken for the node that was there before")
	}
	p.contacts.Reached(asked.ID)
	if _, err := p.sync(t.Context(), asked, &exchangepb.SyncRequest{}); !errorx.IsOfType(err, ErrOtherNode) || p.contacts.Reachable(asked.ID) {
		t.Errorf("exchange: %v", err)
	}
	if _, known := p.table.View().Node("other"); !known {
		t.Error("the node that has answered is not known")
	}
}

// TestAnswerOfAnOlderNodeLeavesOpenWhichItIs has a node answer that does not compare receivers: the
// update is delivered, and a lost node is found by an exchange only.
func TestAnswerOfAnOlderNodeLeavesOpenWhichItIs(t *testing.T) {
	there := &answering{id: "asked", older: true}
	p, asked := asking(t, there)
	p.contacts.Failed(asked.ID, time.Now(), 0)
	if !p.send(t.Context(), asked, p.message(update{}, exchangepb.Reach_REACH_RANGE)) || there.taken != 1 || p.contacts.Reachable(asked.ID) {
		t.Errorf("%d updates taken, reachable %v", there.taken, p.contacts.Reachable(asked.ID))
	}
	if _, err := p.sync(t.Context(), asked, &exchangepb.SyncRequest{}); err != nil || !p.contacts.Reachable(asked.ID) {
		t.Errorf("exchange: %v", err)
	}
}

// TestMessagesForAnotherNodeAreRefused guards against updates that the wrong zone forwards, and
// shares of a limit that nobody holds. Messages of older nodes name no receiver.
func TestMessagesForAnotherNodeAreRefused(t *testing.T) {
	p, _ := asking(t, &answering{})
	s := &Server{peers: p, background: func(func(ctx context.Context)) {}}
	for receiver, refused := range map[string]bool{"": false, "self": false, "asked": true} {
		response, err := s.Broadcast(t.Context(), &exchangepb.BroadcastRequest{Mesh: "test", Sender: "a", Receiver: receiver})
		if isOtherNode(err) != refused || response.GetAddressed() != (receiver == "self") {
			t.Errorf("receiver %q: %v, %v", receiver, response, err)
		}
		_, err = s.Borrow(t.Context(), &exchangepb.BorrowRequest{Mesh: "test", Sender: "a", Receiver: receiver})
		if isOtherNode(err) != refused || !refused && !errors.Is(err, errNoQuotas) {
			t.Errorf("receiver %q: %v", receiver, err)
		}
	}
	if _, err := s.Recall(t.Context(), &exchangepb.RecallRequest{Mesh: "test", Sender: "a", Receiver: "asked"}); !isOtherNode(err) {
		t.Errorf("recall: %v", err)
	}
}

// TestAddressedMessagesKeepAllFields guards against a field that is added to a message and lost where
// its receiver is named.
func TestAddressedMessagesKeepAllFields(t *testing.T) {
	broadcast := &exchangepb.BroadcastRequest{
		Mesh: "m", Sender: "s", Nodes: []*exchangepb.Node{{Id: "n"}}, Document: &exchangepb.Document{Version: 1}, After: "a", Until: "u",
		DocumentVersion: 1, Reach: exchangepb.Reach_REACH_MESH, Evidence: []*exchangepb.Evidence{{Level: 1}}, Receiver: "r",
	}
	borrow := &exchangepb.BorrowRequest{
		Mesh: "m", Sender: "s", Life: 1, Number: 1, Stamp: &exchangepb.Stamp{Life: 1}, Share: 1, Wants: []*exchangepb.TokenWant{{Tenant: "t"}},
		Move: true, Pooled: true, Receiver: "r",
	}
	for _, c := range []struct{ message, addressed proto.Message }{
		{broadcast, broadcastTo("r", broadcast)}, {borrow, borrowTo("r", borrow)},
	} {
		fields := c.message.ProtoReflect().Descriptor().Fields()
		for i := range fields.Len() {
			if !c.message.ProtoReflect().Has(fields.Get(i)) {
				t.Errorf("%s is not set in this test", fields.Get(i).FullName())
			}
		}
		if !proto.Equal(c.message, c.addressed) {
			t.Errorf("%v, want %v", c.addressed, c.message)
		}
	}
}
