package root_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/twitchtv/twirp"

	"github.com/levertide/levertide/internal/command/exit"
	"github.com/levertide/levertide/internal/command/root"
	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/internal/lab/platform"
	"github.com/levertide/levertide/internal/platform/consul"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/versionstore"
)

const (
	ledger = `kind: Service
name: ledger
spec: {calls: [], slots: 6, connections: 130}
---
kind: Route
name: vat
spec:
  match: {pathPrefix: /vat}
  service: ledger
  repeatable: never
  credential: {secret: token, header: Authorization}
---
kind: Secret
name: token
spec: {value: hunter2}
`
	archive = `---
kind: Service
name: archive
spec: {calls: [], slots: 6, connections: 130}
`
)

// result is the exit code and the output of one command line.
type result struct {
	code exit.Code
	out  string
	err  string
}

// watchedBuffer calls onText, if set, at each write with everything written so far.
type watchedBuffer struct {
	buffer bytes.Buffer
	onText func(text string)
}

// Write implements io.Writer.
func (w *watchedBuffer) Write(data []byte) (int, error) {
	count, err := w.buffer.Write(data)
	if w.onText != nil {
		w.onText(w.buffer.String())
	}
	return count, err
}

func run(t *testing.T, arguments ...string) result {
	t.Helper()
	return runWatched(t, t.Context(), nil, arguments...)
}

func runWatched(t *testing.T, ctx context.Context, onProgress func(string), arguments ...string) result {
	t.Helper()
	var out bytes.Buffer
	progress := &watchedBuffer{onText: onProgress}
	code := root.Run(ctx, arguments, "v1", &out, progress)
	got := result{code: code, out: out.String(), err: progress.buffer.String()}
	if strings.Contains(got.out+got.err, "hunter") {
		t.Errorf("the output shows a secret:\n%s%s", got.out, got.err)
	}
	return got
}

func (r result) want(t *testing.T, code exit.Code, texts ...string) result {
	t.Helper()
	if r.code != code {
		t.Fatalf("exit code %d, want %d\n%s%s", r.code, code, r.out, r.err)
	}
	for _, text := range texts {
		if !strings.Contains(r.out+r.err, text) {
			t.Errorf("%q is missing in\n%s%s", text, r.out, r.err)
		}
	}
	return r
}

func (r result) decode(t *testing.T, report any) {
	t.Helper()
	if err := json.Unmarshal([]byte(r.out), report); err != nil {
		t.Fatalf("not JSON: %v\n%s", err, r.out)
	}
}

// write writes a file set to a new directory and returns the directory.
func write(t *testing.T, content string) string {
	t.Helper()
	directory := t.TempDir()
	if err := os.WriteFile(filepath.Join(directory, "set.yaml"), []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return directory
}

// mesh is the stand-in of the platform, a version store on it and a fake node.
type mesh struct {
	platform *platform.Server
	store    string
	versions *versionstore.VersionStore
	node     *fakeNode
}

func newMesh(t *testing.T) *mesh {
	t.Helper()
	server := platform.New(platform.Config{})
	t.Cleanup(server.Close)
	address, err := server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := consul.New(consul.Config{Address: "http://" + address})
	t.Cleanup(client.Close)
	return &mesh{
		platform: server,
		store:    address,
		versions: versionstore.New(versionstore.Config{Store: client}),
		node:     newFakeNode(t),
	}
}

// coordinate acts as the coordinator and decides every proposal until the test ends.
// refusal returns the reason to abort a version, or an empty text to commit it.
func (m *mesh) coordinate(t *testing.T, refusal func(version uint64) string) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	t.Cleanup(func() { cancel(); group.Wait() })
	group.Go(func() {
		var index uint64
		for ctx.Err() == nil {
			head, next, err := m.versions.WatchHead(ctx, index, watchWait)
			if err != nil {
				continue
			}
			index = next
			if head.Proposed != 0 {
				m.decide(ctx, head, refusal(head.Proposed))
			}
		}
	})
}

func (m *mesh) decide(ctx context.Context, head rollout.Head, reason string) {
	if reason == "" {
		_, _ = m.versions.Commit(ctx, head.Proposed, head.ApplyID)
		return
	}
	_, _ = m.versions.Abort(ctx, head.Proposed, rollout.Rejection{ApplyID: head.ApplyID, Node: "node-7", Reason: reason})
}

func accept(uint64) string { return "" }

// fakeNode answers status requests.
type fakeNode struct {
	controlpb.Control
	address string

	mutex  sync.Mutex
	answer *controlpb.StatusResponse
}

func newFakeNode(t *testing.T) *fakeNode { return newFakeNodeOf(t, "") }

func newFakeNodeOf(t *testing.T, mesh string) *fakeNode {
	node := &fakeNode{answer: &controlpb.StatusResponse{}}
	prefix := twirp.WithServerPathPrefix(controlpb.PathPrefix(mesh))
	server := httptest.NewServer(controlpb.NewControlServer(node, prefix))
	t.Cleanup(server.Close)
	node.address = server.Listener.Addr().String()
	return node
}

// Status implements controlpb.Control. A node does not forward a request without hops
// to the coordinator; the fake refuses such a request.
func (n *fakeNode) Status(_ context.Context, request *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if request.GetHops() == 0 {
		return nil, twirp.InvalidArgumentError("hops", "the request would not reach the coordinator")
	}
	return n.answer, nil
}

func (n *fakeNode) set(answer *controlpb.StatusResponse) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.answer = answer
}
