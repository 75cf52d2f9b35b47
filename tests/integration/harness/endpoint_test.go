package harness

import (
	"net"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/lab/fabric"
)

// TestDoorWaitsForItsAddress guards against an endpoint failing to open
// because another listener holds its address briefly, as a process that is just
// being started does.
func TestDoorWaitsForItsAddress(t *testing.T) {
	const zone = fabric.ZoneNumber(90)
	host := newHost(zone)
	address := fabric.HostPort(zone, host, portBase+2)
	held, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(50*time.Millisecond, func() { _ = held.Close() })
	endpoint, err := newEndpoint(newProxies(), fabric.NewLinks(0), zone, host, 0)
	if err != nil {
		t.Fatalf("the endpoint did not wait for its address: %v", err)
	}
	endpoint.close()
}
