package workers_test

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/levertide/levertide/pkg/workers"
)

func ExampleRegistry() {
	registry, now := workers.NewRegistry(6*time.Second), time.Now()
	heartbeat := workers.Heartbeat{Instance: "i1", Service: "ledger", Address: netip.MustParseAddrPort("127.0.0.1:9000"), Slots: 6, Sequence: 2, Draining: true}
	_, _ = registry.Heartbeat(heartbeat, now)
	heartbeat.Sequence, heartbeat.Draining = 1, false // late
	_, _ = registry.Heartbeat(heartbeat, now)
	_, ready := registry.Ready("ledger")
	fmt.Println("gets work:", ready)
	// Output: gets work: false
}
