package harness

import (
	"net"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/lab/fabric"
)

// TestEndpointWaitsUntilAddressIsFree has another listener hold the address of a door for a
// moment, as a process does that is just being started.
func TestEndpointWaitsUntilAddressIsFree(t *testing.T) {
	const zone = fabric.ZoneNumber(90)
	host := newHost(zone)
	address := fabric.HostPort(zone, host, portBase+2)
	held, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(50*time.Millisecond, func() { _ = held.Close() })
	door, err := newEndpoint(newProxies(), fabric.NewLinks(0), zone, host, 0)
	if err != nil {
		t.Fatalf("the door did not wait: %v", err)
	}
	door.close()
}
