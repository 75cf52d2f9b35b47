package mesh

import (
	"context"
	"net"
	"strconv"
	"strings"

	"github.com/levertide/levertide/internal/lab/experiment"
	"github.com/levertide/levertide/internal/lab/fabric"
	"github.com/levertide/levertide/internal/lab/platform"
	"github.com/levertide/levertide/internal/platform/consul"
	"github.com/levertide/levertide/internal/platform/consul/wire"
	"github.com/levertide/levertide/pkg/versionstore"
)

// storeStandIn is the platform's store, with the network in front of it.
type storeStandIn struct {
	server *platform.Server
	relay  *fabric.Relay
	// address is where nodes reach the store; direct has no delay.
	address string
	direct  string
}

// startStore starts the stand-in and the relay in front of it.
func startStore(links *fabric.Links, firstZone fabric.ZoneNumber, base int) (*storeStandIn, error) {
	started := &storeStandIn{
		server:  platform.New(platform.Config{}),
		address: fabric.HostPort(fabric.ZonePlatform, uint8(firstZone), base),
	}
	direct, err := started.server.Listen(fabric.HostPort(fabric.ZonePlatform, uint8(firstZone), base+1))
	if err != nil {
		started.server.Close()
		return nil, ErrPorts.Wrap(err, "store stand-in")
	}
	started.direct = direct
	started.relay = fabric.NewRelay(fabric.RelayOptions{
		Links:  links,
		Zone:   fabric.ZonePlatform,
		Listen: started.address,
		Target: direct,
	})
	if err := started.relay.Open(); err != nil {
		started.server.Close()
		return nil, err
	}
	return started, nil
}

// register puts a node on the machine list.
func (s *storeStandIn) register(node *Node) {
	host, port, _ := net.SplitHostPort(node.CallAddress())
	number, _ := strconv.Atoi(port)
	s.server.Register(wire.ServiceRegistration{
		ID:      node.Name,
		Name:    wire.ServiceName,
		Address: host,
		Port:    number,
		Meta: map[string]string{
			wire.MetaRegion:         node.mesh.options.Deployment.Region,
			wire.MetaZone:           node.Zone,
			wire.MetaService:        node.Service,
			wire.MetaControlAddress: node.ControlAddress(),
			wire.MetaCallAddress:    node.CallAddress(),
		},
	})
}

// close ends the stand-in.
func (s *storeStandIn) close() {
	s.relay.Close()
	s.server.Close()
}

// StoreCounters returns what was asked of the store from outside.
func (m *Mesh) StoreCounters() platform.Counters { return m.store.server.Counters() }

// nodeClientPrefix begins the name that every node gives itself at the store.
const nodeClientPrefix = "levertided/"

// NodesAskingStore returns how many nodes have asked the store anything since
// its counters were reset.
func (m *Mesh) NodesAskingStore() int {
	nodes := 0
	for client := range m.StoreCounters().ByClient {
		if strings.HasPrefix(client, nodeClientPrefix) {
			nodes++
		}
	}
	return nodes
}

// SetStoreOutage makes the store refuse connections, or ends that.
func (m *Mesh) SetStoreOutage(down bool) {
	if down {
		m.store.relay.CloseListener()
		m.store.server.SetFaults(platform.Faults{Outage: platform.OutageRefuse})
		return
	}
	m.store.server.SetFaults(platform.Faults{})
	_ = m.store.relay.Open()
}

// SlowStore delays each answer of the store; a zero delay ends that.
func (m *Mesh) SlowStore(slow experiment.Slow) {
	m.store.server.SetFaults(platform.Faults{Delay: slow.Delay})
}

// LoseAnswers makes the store lose the answers of the next transactions, which
// take effect.
func (m *Mesh) LoseAnswers(lost experiment.Lost) {
	m.store.server.SetFaults(platform.Faults{LoseAnswers: lost.Count, OnlyPath: wire.PathTransaction})
}

// AwaitStore waits until the store takes connections.
func (m *Mesh) AwaitStore(ctx context.Context) error {
	var dialer net.Dialer
	open, err := dialer.DialContext(ctx, "tcp4", m.store.direct)
	if err != nil {
		return ErrPorts.Wrap(err, "store stand-in")
	}
	return open.Close()
}

// ResetStoreCounters starts to count the store's requests anew.
func (m *Mesh) ResetStoreCounters() { m.store.server.ResetCounters() }

// CommittedVersions reads from the store which versions were committed. It
// fails with the store's error.
func (m *Mesh) CommittedVersions(ctx context.Context) ([]uint64, error) {
	client := consul.New(consul.Config{Address: "http://" + m.store.direct, Client: "levertide-lab"})
	defer client.Close()
	versions := versionstore.New(versionstore.Config{Store: client})
	head, _, err := versions.ReadHead(ctx, true)
	if err != nil {
		return nil, err
	}
	records, err := versions.ListVersions(ctx, -1)
	if err != nil {
		return nil, err
	}
	var committed []uint64
	for _, record := range records {
		if record.Rejection == nil && record.Number <= head.Committed {
			committed = append(committed, record.Number)
		}
	}
	return committed, nil
}
