package load

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/levertide/levertide/internal/lab/worker"
)

// TestWorkersAcceptTheConnectionsOfTheirManifest guards against calls that are lost because a
// worker closes connections that its manifest allows nodes to open.
func TestWorkersAcceptTheConnectionsOfTheirManifest(t *testing.T) {
	t.Parallel()
	shape := serviceShape{slots: 70, queue: 1}
	options := Options{Workers: 1, Zones: 1}.withDefaults()
	m, err := startMesh(context.Background(), options, worker.Config{Slots: shape.slots}, shape)
	if err != nil {
		t.Fatal(err)
	}
	defer m.close()
	service := resourcesOf(shape)[0].Service
	for index := range service.Connections {
		if !answersOnNewConnection(t, m.members[0].worker.Address()) {
			t.Fatalf("connection %d of %d was closed", index+1, service.Connections)
		}
	}
}

// answersOnNewConnection opens a connection, which stays open, and reports whether a request on it
// is answered.
func answersOnNewConnection(t *testing.T, address string) bool {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil }}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil
}
