package hosted

import (
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/internal/testheads"
	"github.com/levertide/levertide/pkg/fleet"
)

// TestMessageAnswerWithAnOddHeadIsNotBelieved guards against records out of an answer that is not HTTP.
func TestMessageAnswerWithAnOddHeadIsNotBelieved(t *testing.T) {
	const fields = "Content-Type: application/protobuf\r\n"
	encoded, err := proto.Marshal(&exchangepb.SyncResponse{Receiver: &exchangepb.Node{Id: "other", Incarnation: 1}})
	if err != nil {
		t.Fatal(err)
	}
	answers := testheads.Answers(fields, string(encoded))
	for _, status := range testheads.Statuses() {
		answers = append(answers, testheads.WithStatus(status, fields, string(encoded)))
	}
	var text atomic.Value
	address := testheads.Serve(t, func(*http.Request) string { return text.Load().(string) })
	self := fleet.Node{ID: "self", Incarnation: 1, Zone: "z", State: fleet.StateLive}
	p := newPeers(Config{
		Table: fleet.NewTable(self), Contacts: fleet.NewContacts(), Dial: (&net.Dialer{}).DialContext, Directory: struct{ Directory }{},
	}, nil)
	for _, answer := range answers {
		text.Store(answer.Text)
		if _, err := p.client(netip.MustParseAddrPort(address)).Sync(t.Context(), &exchangepb.SyncRequest{}); err == nil {
			t.Errorf("%s: an answer", answer.Name)
		}
	}
	text.Store(testheads.WithStatus("200", fields, string(encoded)).Text)
	if response, err := p.client(netip.MustParseAddrPort(address)).Sync(t.Context(), &exchangepb.SyncRequest{}); err != nil || response.GetReceiver().GetId() != "other" {
		t.Errorf("%v, %v", response, err)
	}
}
