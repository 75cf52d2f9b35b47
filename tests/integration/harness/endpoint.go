package harness

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/levertide/levertide/internal/lab/fabric"
)

// Toxic is a fault that package toxiproxy injects, such as latency or timeout.
type Toxic struct {
	Name string `json:"name"`
	Type string `json:"type"`
	// Stream is upstream, towards the node, or downstream, away from it.
	Stream     string         `json:"stream"`
	Attributes map[string]int `json:"attributes"`
}

// Endpoint fronts one listener of a node: a relay that delays or withholds traffic
// by zone, followed by a fault-injecting proxy.
type Endpoint struct {
	// Address is the address that clients dial.
	Address string
	// Target is the address that the process listens on.
	Target string
	proxy  *toxiproxy.Proxy
	relay  *fabric.Relay
}

func newProxies() *toxiproxy.ApiServer {
	return toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
}

// Ports lie below the kernel's ephemeral range and differ between the test
// processes of one machine. An address that merely happens to be free would not
// do: a process of another mesh that still knows it would be accepted.
const (
	lowestPort       = 10000
	portsPerProcess  = 10
	portsPerEndpoint = 3
	portRanges       = 2000
)

// portBase is the first port of this test process. portClaim is a listener on it
// that stays open until the process ends, so that no other test process takes
// the same range.
var portBase, portClaim = claimPorts()

func claimPorts() (int, net.Listener) {
	for attempt := range portRanges {
		base := lowestPort + (os.Getpid()+attempt)%portRanges*portsPerProcess
		claim, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(base)))
		if err == nil {
			return base, claim
		}
	}
	panic("harness: no free port range left")
}

// portsAreFree reports whether all ports that the endpoints of a host use can be opened.
func portsAreFree(zone fabric.ZoneNumber, host uint8) bool {
	for offset := range portsPerProcess {
		listener, err := net.Listen("tcp", fabric.HostPort(zone, host, portBase+offset))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// inheritedListenerBound is far above the time for which a child process that is
// being started holds the listeners that it inherited from this process.
const inheritedListenerBound = 5 * time.Second

// retryWhileInUse calls listen until its address is free. The ports of a host are
// checked by opening and closing them. A process that another test starts at that
// moment holds a copy of the closed listener until its program is executed, which
// takes some milliseconds on a busy machine (3,904 of 127,643 listeners failed on
// such an address while processes were starting).
func retryWhileInUse(listen func() error) error {
	end := time.Now().Add(inheritedListenerBound)
	for {
		err := listen()
		if !addressInUse(err) || time.Now().After(end) {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}

// addressInUse unwraps errorx errors first, which errors.Is does not.
func addressInUse(err error) bool {
	if wrapped := errorx.Cast(err); wrapped != nil {
		err = wrapped.Cause()
	}
	return errors.Is(err, syscall.EADDRINUSE)
}

// newEndpoint opens the proxy for the listener with the given number, on an
// address that no other node of this process has.
func newEndpoint(proxies *toxiproxy.ApiServer, links *fabric.Links, zone fabric.ZoneNumber, host uint8, number int) (*Endpoint, error) {
	first := portBase + portsPerEndpoint*number
	address := fabric.HostPort(zone, host, first)
	target := fabric.HostPort(zone, host, first+1)
	proxy := toxiproxy.NewProxy(proxies, address, fabric.HostPort(zone, host, first+2), target)
	if err := retryWhileInUse(proxy.Start); err != nil {
		return nil, err
	}
	relay := fabric.NewRelay(fabric.RelayOptions{Links: links, Zone: zone, Listen: address, Target: proxy.Listen})
	return &Endpoint{Address: address, Target: target, proxy: proxy, relay: relay}, nil
}

// AddToxic injects a fault into all connections through the endpoint.
func (d *Endpoint) AddToxic(toxic Toxic) error {
	encoded, err := json.Marshal(toxic)
	if err != nil {
		return err
	}
	_, err = d.proxy.Toxics.AddToxicJson(strings.NewReader(string(encoded)))
	return err
}

// RemoveToxics removes every injected fault.
func (d *Endpoint) RemoveToxics() { d.proxy.Toxics.ResetToxics(context.Background()) }

// Shut refuses new connections and breaks the open ones.
func (d *Endpoint) Shut() { d.relay.Close() }

func (d *Endpoint) open() error { return retryWhileInUse(d.relay.Open) }

func (d *Endpoint) close() {
	d.relay.Close()
	d.proxy.Stop()
}
