package control

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/internal/testaddress"
	"github.com/levertide/levertide/pkg/endpoint"
	"github.com/levertide/levertide/pkg/lease"
	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/store"
)

// goodMember is a member that can be reached.
func goodMember(id string) *controlpb.Member {
	return &controlpb.Member{Id: id, Region: "nl", Zone: "a", ControlAddress: "127.0.0.1:1", CallAddress: "127.0.0.1:2"}
}

// TestMemberOfOddAddressCostsOnlyItself guards against members that nobody can reach, and against lists that
// are lost for one of them.
func TestMemberOfOddAddressCostsOnlyItself(t *testing.T) {
	for _, text := range testaddress.Odd {
		odd := []*controlpb.Member{goodMember("control"), goodMember("call")}
		odd[0].ControlAddress, odd[1].CallAddress = text, text
		for _, member := range odd {
			err := checkMember(member)
			if text == "" && member.GetId() == "call" {
				continue
			}
			if !errorx.IsOfType(err, ErrMalformed) || !strings.Contains(err.Error(), strconv.Quote(text[:min(len(text), 64)])) {
				t.Errorf("%s address %q: %v", member.GetId(), text, err)
			}
			records := memberRecords([]*controlpb.Member{goodMember("before"), member, goodMember("after")})
			if !slices.EqualFunc(records, []string{"before", "after"}, func(r membership.Record, id string) bool { return r.ID == id }) {
				t.Errorf("%s address %q: %+v", member.GetId(), text, records)
			}
		}
	}
}

// refusals records the peers that were refused, and why.
type refusals struct {
	NoEvents
	reasons map[string]string
}

func (r *refusals) PeerRefused(peer, reason string) { r.reasons[peer] = reason }

// TestMachineOfOddAddressCostsTheListNothingElse guards against nodes that find no other, since the platform's
// list of machines has odd addresses, and against a log that does not say so.
func TestMachineOfOddAddressCostsTheListNothingElse(t *testing.T) {
	t.Parallel()
	seen := &refusals{reasons: map[string]string{}}
	node := newMesh(t).start("a0", "a", "ledger", func(c *Config) { c.Events = seen })
	_, odd := endpoint.Parse("127.0.0.1:http")
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.addHints([]store.Machine{
		{Node: "odd", Zone: "a", Invalid: odd}, {Node: "good", Zone: "a", ControlAddress: netip.MustParseAddrPort("127.0.0.1:1")},
	})
	if _, hinted := node.plan.hints["odd"]; hinted || node.plan.hints["good"].ControlAddress != "127.0.0.1:1" {
		t.Errorf("hints %+v", node.plan.hints)
	}
	if reason := seen.reasons["odd"]; !strings.Contains(reason, `"127.0.0.1:http"`) {
		t.Errorf("refused for %q", reason)
	}
}

// holding is a lessor whose leases are all held, with the same value.
type holding struct {
	lease.Lessor
	value []byte
}

func (h *holding) Holder(context.Context, string) (lease.Holder, error) {
	return lease.Holder{Held: true, Value: h.value}, nil
}

// TestReaderOfOddAddressIsAbsent guards against a store that nobody reads, since the holder of a reader's
// lease names an address that is none, and against a log that does not say so.
func TestReaderOfOddAddressIsAbsent(t *testing.T) {
	t.Parallel()
	seen := &refusals{reasons: map[string]string{}}
	config := newMesh(t).start("a0", "a", "ledger").config
	config.Events = seen
	node, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range testaddress.Odd {
		encoded, err := json.Marshal(readerHolder{Node: "odd", ControlAddress: text})
		if err != nil {
			t.Fatal(err)
		}
		node.lessor = &holding{value: encoded}
		clear(seen.reasons)
		if !node.holderAbsent(t.Context(), 0) || seen.reasons["odd"] == "" {
			t.Errorf("%q: refused for %q", text, seen.reasons["odd"])
		}
	}
}
