package control

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/rollout"
)

const watchPath = "/levertide.control.v1.Control/Watch"

// post sends a body to a node and returns the status of the answer.
func post(t *testing.T, node *Node, path string, body io.Reader) int {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitLimit}
	response, err := client.Post("http://"+node.config.Self.ControlAddress+node.config.pathPrefix()+path, "application/protobuf", body)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode
}

func TestMalformedRequestsAreRefused(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	node := m.start("a0", "a", "ledger")
	garbage := bytes.Repeat([]byte{0xff}, 64)
	if status := post(t, node, watchPath, bytes.NewReader(garbage)); status < 400 {
		t.Fatalf("garbage was answered with %d", status)
	}
	oversized := io.LimitReader(neverEnding('x'), maximumRequestBytes+1)
	if status := post(t, node, watchPath, oversized); status < 400 {
		t.Fatalf("an oversized request was answered with %d", status)
	}
	for name, member := range map[string]*controlpb.Member{
		"no zone":          {Id: "x", Region: "nl", ControlAddress: "127.0.0.1:1"},
		"no address":       {Id: "x", Region: "nl", Zone: "a"},
		"no numeric host":  {Id: "x", Region: "nl", Zone: "a", ControlAddress: "host:1"},
		"an unknown state": {Id: "x", Region: "nl", Zone: "a", ControlAddress: "127.0.0.1:1", State: 9},
	} {
		request := &controlpb.WatchRequest{Self: member}
		if _, err := (rpc{node}).Watch(context.Background(), request); err == nil {
			t.Fatalf("a member with %s was accepted", name)
		}
	}
	if node.Directory().Len() != 1 {
		t.Fatal("a malformed request left a trace in the directory")
	}
}

type neverEnding byte

func (b neverEnding) Read(buffer []byte) (int, error) {
	for index := range buffer {
		buffer[index] = byte(b)
	}
	return len(buffer), nil
}

// TestSlowPeerIsCutOff checks that a peer that does not finish its request header
// cannot keep a connection open.
func TestSlowPeerIsCutOff(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	node := m.start("a0", "a", "ledger")
	connection, err := net.Dial("tcp", node.config.Self.ControlAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	if _, err := connection.Write([]byte("POST /")); err != nil {
		t.Fatal(err)
	}
	_ = connection.SetReadDeadline(time.Now().Add(waitLimit))
	if _, err := io.Copy(io.Discard, connection); err != nil {
		t.Fatalf("the connection was not closed: %v", err)
	}
}

// attachedChild attaches a child that exists only as a record to a node.
func attachedChild(t *testing.T, node *Node) membership.Record {
	t.Helper()
	record := membership.Record{ID: "child", Incarnation: 5, Attachment: 2, Region: "nl", Zone: "a", ControlAddress: "127.0.0.1:1"}
	request := &controlpb.WatchRequest{Self: memberMessage(record), Scope: &controlpb.Scope{All: true}}
	answer, err := rpc{node}.Watch(context.Background(), request)
	if err != nil || answer.GetResend() {
		t.Fatalf("answer %v, error %v", answer, err)
	}
	return record
}

func reportOf(record membership.Record, sequence uint64, ready uint32) *controlpb.ReportRequest {
	return &controlpb.ReportRequest{
		Node: record.ID, Incarnation: record.Incarnation, Attachment: record.Attachment, Sequence: sequence,
		Readiness: readinessMessage(rollout.Readiness{Proposed: 1, Ready: rollout.MemberSum{Count: ready}}),
	}
}

func TestLateReportIsDropped(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	node := m.start("a0", "a", "ledger")
	record := attachedChild(t, node)
	send := func(request *controlpb.ReportRequest) bool {
		answer, err := rpc{node}.Report(context.Background(), request)
		if err != nil {
			t.Fatal(err)
		}
		return answer.GetAttached()
	}
	ready := func() uint32 {
		node.mutex.Lock()
		defer node.mutex.Unlock()
		return node.children.byID["child"].readiness.Ready.Count
	}
	send(reportOf(record, 2, 7))
	if !send(reportOf(record, 1, 3)) || ready() != 7 {
		t.Fatalf("a late report changed the sum to %d", ready())
	}
	former := record
	former.Attachment--
	if send(reportOf(former, 9, 3)) || ready() != 7 {
		t.Fatal("a report of a previous attachment was accepted")
	}
}

func TestFormerAttachmentIsNotTakenBack(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	node := m.start("a0", "a", "ledger")
	record := attachedChild(t, node)
	record.Attachment--
	answer, err := rpc{node}.Watch(context.Background(), &controlpb.WatchRequest{Self: memberMessage(record)})
	if err != nil || !answer.GetResend() || len(answer.GetDirectory().GetMembers()) != 1 {
		t.Fatalf("answer %v, error %v", answer, err)
	}
}

func TestConfigurationWithoutTLSMustBeLoopback(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "0.0.0.0:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	config := Config{
		Self:     membership.Record{ID: "a", Region: "nl", Zone: "a", ControlAddress: "192.0.2.1:1"},
		Listener: listener,
	}
	if _, err := New(config); err == nil {
		t.Fatal("a plain listener on every address was accepted")
	}
	config.TLS, config.ClientTLS = &tls.Config{}, &tls.Config{}
	if _, err := New(config); err != nil {
		t.Fatal(err)
	}
}

// TestOtherMeshIsNotListenedTo checks that messages of another mesh are rejected: one
// of its nodes may reuse the address of a node that is gone.
func TestOtherMeshIsNotListenedTo(t *testing.T) {
	t.Parallel()
	other := newMesh(t).start("other", "a", "ledger")
	m := newMesh(t)
	node := m.start("a0", "a", "ledger", func(c *Config) {
		c.Seeds = []netip.AddrPort{netip.MustParseAddrPort(other.config.Self.ControlAddress)}
	})
	m.eventually("the node becomes a root", func() bool { return node.Tree().Root })
	version := m.propose("first")
	m.eventually("the node runs its own version", m.all(runs(version)))
	if node.Directory().Len() != 1 || other.Directory().Len() != 1 {
		t.Fatal("two meshes know each other")
	}
}
