package harness

import (
	"context"
	"encoding/json"
	"net"
	"strings"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
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

// Door is the way to one listener: a relay that delays or holds back by zone,
// and behind it a fault-injecting proxy.
type Door struct {
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

// freeAddress returns IP:port that nothing listens on.
func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func newDoor(proxies *toxiproxy.ApiServer, links *fabric.Links, zone fabric.ZoneNumber, host uint8) (*Door, error) {
	ip := fabric.Address(zone, host).String()
	target, err := freeAddress(ip)
	if err != nil {
		return nil, err
	}
	address, err := freeAddress(ip)
	if err != nil {
		return nil, err
	}
	proxy := toxiproxy.NewProxy(proxies, address, net.JoinHostPort(ip, "0"), target)
	if err := proxy.Start(); err != nil {
		return nil, err
	}
	relay := fabric.NewRelay(fabric.RelayOptions{Links: links, Zone: zone, Listen: address, Target: proxy.Listen})
	return &Door{Address: address, Target: target, proxy: proxy, relay: relay}, nil
}

// AddToxic puts a fault on all connections through the door.
func (d *Door) AddToxic(toxic Toxic) error {
	encoded, err := json.Marshal(toxic)
	if err != nil {
		return err
	}
	_, err = d.proxy.Toxics.AddToxicJson(strings.NewReader(string(encoded)))
	return err
}

// RemoveToxics ends every fault.
func (d *Door) RemoveToxics() { d.proxy.Toxics.ResetToxics(context.Background()) }

// Shut refuses connections and breaks the open ones.
func (d *Door) Shut() { d.relay.Close() }

func (d *Door) open() error { return d.relay.Open() }

func (d *Door) close() {
	d.relay.Close()
	d.proxy.Stop()
}
