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

// Toxic is one fault of package toxiproxy, such as latency or timeout.
type Toxic struct {
	Name string `json:"name"`
	Type string `json:"type"`
	// Stream is upstream, towards the node, or downstream, away from it.
	Stream     string         `json:"stream"`
	Attributes map[string]int `json:"attributes"`
}

// Endpoint is the way to one listener: a relay that delays or holds back by zone,
// and behind it a fault-injecting proxy.
type Endpoint struct {
	// Address is what others dial.
	Address string
	// Target is what the process listens on.
	Target string
	proxy  *toxiproxy.Proxy
	relay  *fabric.Relay
}

func newProxies() *toxiproxy.ApiServer {
	return toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
}

// Ports lie below those that the kernel gives away and differ between the test
// processes of one machine. An address that was free for a moment would not do: a
// process of another mesh that still knows it would be let in.
const (
	lowestPort      = 10000
	portsPerProcess  = 10
	portsPerEndpoint     = 3
	portRanges = 2000
)

// portBase is the first port of this test process. portClaim, a listener on it
// that is held to the end, keeps another test process from taking the same.
var portBase, portClaim = claimPorts()

func claimPorts() (int, net.Listener) {
	for attempt := range portRanges {
		base := lowestPort + (os.Getpid()+attempt)%portRanges*portsPerProcess
		claim, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(base)))
		if err == nil {
			return base, claim
		}
	}
	panic("harness: every range of ports is taken")
}

// portsAreFree reports whether all ports that doors of a host use can be opened.
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

// inheritedListenerBound is far above the time for which a process that is being started holds what
// this one had open.
const inheritedListenerBound = 5 * time.Second

// retryWhileInUse calls listen until its address is free. The ports of a host are looked at by
// opening and closing them; a process of another test that is started at that moment
// holds a copy of the closed listener until its program runs, some milliseconds on a
// busy machine (3,904 of 127,643 listeners on such an address while processes started).
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

// addressInUse looks behind errorx's wrapping, which errors.Is does not.
func addressInUse(err error) bool {
	if wrapped := errorx.Cast(err); wrapped != nil {
		err = wrapped.Cause()
	}
	return errors.Is(err, syscall.EADDRINUSE)
}

// newEndpoint makes a way to the listener with the given number on an address that
// no other node of this process has.
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

// AddToxic puts a fault on all connections through the door.
func (d *Endpoint) AddToxic(toxic Toxic) error {
	encoded, err := json.Marshal(toxic)
	if err != nil {
		return err
	}
	_, err = d.proxy.Toxics.AddToxicJson(strings.NewReader(string(encoded)))
	return err
}

// RemoveToxics ends every fault.
func (d *Endpoint) RemoveToxics() { d.proxy.Toxics.ResetToxics(context.Background()) }

// Shut refuses connections and breaks the open ones.
func (d *Endpoint) Shut() { d.relay.Close() }

func (d *Endpoint) open() error { return retryWhileInUse(d.relay.Open) }

func (d *Endpoint) close() {
	d.relay.Close()
	d.proxy.Stop()
}
