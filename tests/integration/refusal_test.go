package integration_test

import (
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/levertide/levertide/internal/lab/observe"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/versionstore"
	"github.com/levertide/levertide/tests/integration/harness"
)

func TestOneRefusalAbortsEverywhere(t *testing.T) {
	nodes := twoZones()
	nodes[0].Settings = map[string]string{"max-resources": "3"}
	mesh, first := running(t, nodes...)

	larger := append(resources(2), model.Resource{
		Key: model.Key{Kind: model.KindSecret, Name: "another"}, Secret: &model.Secret{Value: "value"},
	})
	apply, refused, err := mesh.Operator.Propose(first, larger)
	if err != nil {
		t.Fatal(err)
	}
	state := mesh.Operator.Outcome(apply)
	if state.Phase != versionstore.ApplyAborted || state.Rejection == nil || state.Rejection.Node != nodes[0].Name || state.Rejection.Reason == "" {
		t.Errorf("outcome %+v", state)
	}
	mesh.Events.Await(nodes[0].Name, "version refused", func(event observe.Event) bool {
		return event.Number == observe.EventVersionRefused && event.Version == refused
	})
	second := mesh.Operator.Apply(resources(3))
	if second <= refused {
		t.Errorf("version %d follows the refused version %d", second, refused)
	}
	mesh.AwaitVersion(second, mesh.Nodes("")...)
	if count := mesh.Events.Count(0, inForce(refused)); count > 0 {
		t.Errorf("%d nodes ran the refused version", count)
	}
}

// residentBound is the resident memory that one node may use, in bytes.
const residentBound = 256 << 20

func TestHostilePeersOnControlListener(t *testing.T) {
	mesh, _ := running(t, twoZones()...)
	target := withRole(mesh, roleCoordinator)
	for range 50 {
		connection := mesh.DialControl(target)
		defer connection.Close()
		_, _ = io.CopyN(connection, rand.Reader, 4096)
	}
	for range 100 {
		// A request whose header is never completed.
		connection := mesh.DialControl(target)
		defer connection.Close()
		_, _ = io.WriteString(connection, "POST /twirp/levertide.control.v1.Control/Watch HTTP/1.1\r\nHost: x\r\n")
	}
	for _, method := range []string{"Watch", "Report", "Members", "Floor", "Status", "None"} {
		for _, body := range []io.Reader{
			io.LimitReader(rand.Reader, 1000),
			io.LimitReader(rand.Reader, 64<<20),
			strings.NewReader(strings.Repeat("\x0a\xff\xff\xff\xff\x0f", 1000)),
		} {
			postControl(t, target, method, body)
		}
	}
	second := mesh.Operator.Apply(resources(2))
	mesh.AwaitVersion(second, mesh.Nodes("")...)
	if resident := target.Usage().Resident; resident > residentBound {
		t.Errorf("%d bytes resident", resident)
	}
}

// postControl sends a body that is not a valid message. Only an answer with status 200 fails the test.
func postControl(t *testing.T, node *harness.Node, method string, body io.Reader) {
	t.Helper()
	url := fmt.Sprintf("http://%s/twirp/levertide.control.v1.Control/%s", node.Control.Address, method)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, body)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/protobuf")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		t.Errorf("%s accepted a body that is not a valid message", method)
	}
}
