package hollow_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/lab/fabric"
	"github.com/levertide/levertide/internal/lab/hollow"
	"github.com/levertide/levertide/internal/lab/observe"
	"github.com/levertide/levertide/internal/lab/platform"
	"github.com/levertide/levertide/internal/platform/consul"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/versionstore"
)

const waitBound = 60 * time.Second

// session is one host inside the test's process.
type session struct {
	t        *testing.T
	requests *json.Encoder
	replies  *json.Decoder
	recorder *observe.Recorder
	versions *versionstore.VersionStore
	store    string
}

// newSession starts a host and a store.
func newSession(t *testing.T) *session {
	t.Helper()
	server := platform.New(platform.Config{})
	t.Cleanup(server.Close)
	address, err := server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := consul.New(consul.Config{Address: "http://" + address, Client: "test"})
	t.Cleanup(client.Close)
	recorder := observe.NewRecorder()
	input, requests := io.Pipe()
	replies, output := io.Pipe()
	ended := make(chan error, 1)
	go func() { ended <- hollow.Run(context.Background(), input, output, recorderWriter{recorder}) }()
	t.Cleanup(func() {
		_ = requests.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return &session{
		t: t, requests: json.NewEncoder(requests), replies: json.NewDecoder(replies),
		recorder: recorder, versions: versionstore.New(versionstore.Config{Store: client}), store: address,
	}
}

// recorderWriter hands event lines to a recorder.
type recorderWriter struct{ recorder *observe.Recorder }

func (w recorderWriter) Write(line []byte) (int, error) {
	w.recorder.ObserveLine(line)
	return len(line), nil
}

// ask sends a request and returns its reply.
func (s *session) ask(request hollow.Request) hollow.Reply {
	s.t.Helper()
	if err := s.requests.Encode(request); err != nil {
		s.t.Fatal(err)
	}
	var reply hollow.Reply
	if err := s.replies.Decode(&reply); err != nil {
		s.t.Fatal(err)
	}
	if reply.Error != "" {
		s.t.Fatal(reply.Error)
	}
	return reply
}

// apply tells the host what a version holds and proposes it.
func (s *session) apply(ctx context.Context, told string, queue int) uint64 {
	s.t.Helper()
	head, _, err := s.versions.ReadHead(ctx, true)
	if err != nil {
		s.t.Fatal(err)
	}
	resource := model.Resource{
		Key:     model.Key{Kind: model.KindService, Name: "ledger"},
		Service: &model.Service{Slots: 1, Connections: 1, Queue: queue},
	}
	_, digest := model.Encode(resource)
	if told == "" {
		told = digest.String()
	}
	s.ask(hollow.Request{Truth: &hollow.Truth{
		Version: head.HighestUsed + 1, Base: head.Committed,
		Set: []hollow.TruthEntry{{Key: resource.Key, Digest: told}},
	}})
	proposed, err := s.versions.Propose(ctx, versionstore.ProposeRequest{
		ApplyID: fmt.Sprint(queue), Base: head.Committed, Resources: []model.Resource{resource},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return proposed.Version
}

// specs describes some nodes of one zone.
func specs(t *testing.T, count int) []hollow.NodeSpec {
	t.Helper()
	listener, err := net.Listen("tcp4", fabric.HostPort(1, 1, 0))
	if err != nil {
		t.Fatal(err)
	}
	_, text, _ := net.SplitHostPort(listener.Addr().String())
	port, _ := strconv.Atoi(text)
	_ = listener.Close()
	var described []hollow.NodeSpec
	for i := range count {
		described = append(described, hollow.NodeSpec{
			ID: fmt.Sprintf("node-%d", i), Region: "r1", Zone: "z1", Service: "ledger",
			Number: 1, Host: uint8(i + 1), Port: port, Seeds: []string{fabric.HostPort(1, 1, port)},
		})
	}
	return described
}

func namesOf(nodes []hollow.NodeSpec) []string {
	var names []string
	for _, node := range nodes {
		names = append(names, node.ID)
	}
	return names
}

func TestNodesConvergeAndAreChecked(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), waitBound)
	defer cancel()
	host := newSession(t)
	nodes := specs(t, 4)
	host.ask(hollow.Request{Setup: &hollow.Setup{StoreAddress: host.store}})
	host.ask(hollow.Request{Start: &hollow.Start{Nodes: nodes}})
	version := host.apply(ctx, "", 1)
	if err := host.recorder.AwaitVersion(ctx, version, namesOf(nodes)); err != nil {
		t.Fatal(err)
	}
	host.ask(hollow.Request{Kill: &hollow.Kill{Nodes: []string{"node-2"}}})
	restarted := time.Now()
	host.ask(hollow.Request{Start: &hollow.Start{Nodes: nodes[2:3]}})
	wrong := host.apply(ctx, "not the digest", 2)
	if err := host.recorder.AwaitVersion(ctx, wrong, namesOf(nodes)); err != nil {
		t.Fatal(err)
	}
	if len(host.recorder.TimesInForce(version, restarted, []string{"node-2"})) != 1 {
		t.Error("the node that was killed has not come back")
	}
	found := host.awaitViolations(len(nodes))
	if len(found) != len(nodes) {
		t.Errorf("%d violations of a version whose content was told wrongly, want %d: %v", len(found), len(nodes), found)
	}
	host.ask(hollow.Request{Kill: &hollow.Kill{Nodes: namesOf(nodes)}})
	if after := host.ask(hollow.Request{Sample: &hollow.Sample{}}).Sample; after.Nodes[0].Alive {
		t.Error("a killed node is alive")
	}
}

// awaitViolations samples until a number of violations was found.
func (s *session) awaitViolations(want int) []string {
	s.t.Helper()
	var found []string
	for began := time.Now(); len(found) < want && time.Since(began) < waitBound; {
		found = append(found, s.ask(hollow.Request{Sample: &hollow.Sample{}}).Sample.Violations...)
	}
	return found
}
