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

// storeStandIn is a stand-in for the platform's store, with a relay in front of it that applies the
// network delays.
type storeStandIn struct {
	server *platform.Server
	relay  *fabric.Relay
	// address is where nodes reach the store, through the relay; direct is its own address,
	// without delays.
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
		return nil, ErrPorts.Wrap(err, "listen for the store stand-in")
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

// register adds a node to the platform's list of machines.
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

// StoreCounters returns the counts of the requests that the store received.
func (m *Mesh) StoreCounters() platform.Counters { return m.store.server.Counters() }

// nodeClientPrefix is the prefix of the client name that every node sends to the store.
const nodeClientPrefix = "levertided/"

// NodesAskingStore returns how many nodes have sent the store a request since its counters were
// reset.
func (m *Mesh) NodesAskingStore() int {
	nodes := 0
	for client := range m.StoreCounters().ByClient {
		if strings.HasPrefix(client, nodeClientPrefix) {
			nodes++
		}
	}
	return nodes
}

// SetStoreOutage makes the store refuse connections while down is true, and accept them again
// afterwards.
func (m *Mesh) SetStoreOutage(down bool) {
	if down {
		m.store.relay.CloseListener()
		m.store.server.SetFaults(platform.Faults{Outage: platform.OutageRefuse})
		return
	}
	m.store.server.SetFaults(platform.Faults{})
	_ = m.store.relay.Open()
}

// SlowStore delays each answer of the store; a zero delay ends the delays.
func (m *Mesh) SlowStore(slow experiment.Slow) {
	m.store.server.SetFaults(platform.Faults{Delay: slow.Delay})
}

// LoseAnswers makes the store carry out the next transactions without answering them.
func (m *Mesh) LoseAnswers(lost experiment.Lost) {
	m.store.server.SetFaults(platform.Faults{LoseAnswers: lost.Count, OnlyPath: wire.PathTransaction})
}

// AwaitStore opens one connection to the store, to check that it accepts connections. It fails with
// ErrPorts.
func (m *Mesh) AwaitStore(ctx context.Context) error {
	var dialer net.Dialer
	open, err := dialer.DialContext(ctx, "tcp4", m.store.direct)
	if err != nil {
		return ErrPorts.Wrap(err, "connect to the store stand-in")
	}
	return open.Close()
}

// ResetStoreCounters resets the counts of the store's requests to zero.
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
