package mesh

import (
	"context"
	"net/netip"
	"time"

	"github.com/levertide/levertide/internal/lab/experiment"
	"github.com/levertide/levertide/internal/lab/fabric"
	"github.com/levertide/levertide/internal/lab/observe"
	"github.com/levertide/levertide/internal/lab/process"
)

// Programs are the paths of the programs that a mesh runs.
type Programs struct {
	Levertided string
	Levertide  string
	Lab        string
}

// Options describes a mesh to start.
type Options struct {
	Deployment experiment.Deployment
	Programs   Programs
	// FirstZone is the number of the deployment's first zone. Meshes that run
	// at the same time have different ones.
	FirstZone fabric.ZoneNumber
	// Processes is the group in which the mesh starts every process.
	Processes *process.Group
	// Recorder receives the events of every node.
	Recorder *observe.Recorder
	// OnErrorLine, when set, also receives each line that a node writes to standard error.
	OnErrorLine func(node string, line []byte)
}

// stopBound is how long a process may take to end before it is killed.
const stopBound = 15 * time.Second

// Mesh is one running deployment. Its methods are safe for concurrent use, except that those
// concerning the same node must be called from one goroutine at a time.
type Mesh struct {
	options Options
	links   *fabric.Links
	store   *storeStandIn
	nodes   []*Node
	// certificates is nil when nodes communicate without TLS.
	certificates *certificates
}

// Start starts the store stand-in, the workers and the nodes; it does not wait until nodes are
// ready. The caller ends the mesh with Close; a mesh that Start could not start completely is
// closed by Start itself. It fails with the error of the part that could not be started.
func Start(ctx context.Context, options Options) (*Mesh, error) {
	mesh := &Mesh{options: options, links: newLinks(options)}
	if err := mesh.start(ctx); err != nil {
		mesh.Close()
		return nil, err
	}
	return mesh, nil
}

// newLinks returns links with the delays of the deployment.
func newLinks(options Options) *fabric.Links {
	links := fabric.NewLinks(options.Deployment.ZoneDelay)
	for i := range options.Deployment.Zones {
		zone := options.FirstZone + fabric.ZoneNumber(i)
		links.SetDelay(fabric.ZoneClients, zone, options.Deployment.ClientDelay)
		links.SetDelay(fabric.ZonePlatform, zone, options.Deployment.StoreDelay)
	}
	return links
}

// start starts the store, the workers and the nodes, in this order.
func (m *Mesh) start(ctx context.Context) error {
	m.placeNodes()
	base, err := freeBasePort(m.addresses())
	if err != nil {
		return err
	}
	if m.store, err = startStore(m.links, m.options.FirstZone, base); err != nil {
		return err
	}
	if err := m.issueCertificates(); err != nil {
		return err
	}
	for _, node := range m.nodes {
		node.base = base
		node.seeds = m.seedsFor(node)
		m.store.register(node)
	}
	for _, node := range m.nodes {
		if err := node.startWorker(ctx); err != nil {
			return err
		}
	}
	for _, node := range m.nodes {
		if err := node.Start(); err != nil {
			return err
		}
	}
	return nil
}

// issueCertificates issues a certificate to every node if the deployment uses TLS.
func (m *Mesh) issueCertificates() error {
	if !m.options.Deployment.TLS {
		return nil
	}
	var err error
	if m.certificates, err = newCertificates(); err != nil {
		return err
	}
	for _, node := range m.nodes {
		if node.files, err = m.certificates.issue(m.options.Deployment.Region, node); err != nil {
			return err
		}
	}
	return nil
}

// placeNodes creates the nodes with their names and spreads them over the zones.
func (m *Mesh) placeNodes() {
	deployment := m.options.Deployment
	perZone := make([]uint8, len(deployment.Zones))
	place := func(name, service string) {
		zone := len(m.nodes) % len(deployment.Zones)
		perZone[zone]++
		m.nodes = append(m.nodes, &Node{
			mesh:    m,
			Name:    name,
			Service: service,
			Zone:    deployment.Zones[zone],
			number:  m.options.FirstZone + fabric.ZoneNumber(zone),
			host:    perZone[zone],
		})
	}
	names := deployment.NodeNames()
	for _, service := range deployment.Services {
		for range service.Workers {
			place(names[len(m.nodes)], service.Name)
		}
	}
	for range deployment.Gateways {
		place(names[len(m.nodes)], "")
	}
}

// addresses returns the addresses of all nodes and of the store.
func (m *Mesh) addresses() []netip.Addr {
	addresses := []netip.Addr{fabric.Address(fabric.ZonePlatform, uint8(m.options.FirstZone))}
	for _, node := range m.nodes {
		addresses = append(addresses, node.address())
	}
	return addresses
}

// seedCount is the number of other nodes whose addresses a node gets at its start.
const seedCount = 3

// seedsFor returns the control addresses of up to seedCount other nodes, which are on other hosts.
func (m *Mesh) seedsFor(node *Node) []string {
	var seeds []string
	for _, other := range m.nodes {
		if other != node && len(seeds) < seedCount {
			seeds = append(seeds, other.ControlAddress())
		}
	}
	return seeds
}

// Nodes returns every node of the deployment.
func (m *Mesh) Nodes() []*Node { return m.nodes }

// Node returns the node of a name. It fails with ErrNoNode.
func (m *Mesh) Node(name string) (*Node, error) {
	for _, node := range m.nodes {
		if node.Name == name {
			return node, nil
		}
	}
	return nil, ErrNoNode.New("there is no node %q", name)
}

// Select returns the nodes of a target. It fails with ErrNoNode.
func (m *Mesh) Select(target experiment.Target) ([]*Node, error) {
	if target.Node != "" {
		node, err := m.Node(target.Node)
		return []*Node{node}, err
	}
	var selected []*Node
	for _, node := range m.nodes {
		if node.Zone == target.Zone {
			selected = append(selected, node)
		}
	}
	return selected, nil
}

// ZoneNumber returns the number of a zone of the deployment; zero if it has no such zone.
func (m *Mesh) ZoneNumber(name string) fabric.ZoneNumber {
	for i, zone := range m.options.Deployment.Zones {
		if zone == name {
			return m.options.FirstZone + fabric.ZoneNumber(i)
		}
	}
	return 0
}

// Links returns the network between the zones.
func (m *Mesh) Links() *fabric.Links { return m.links }

// LiveNames returns the names of the nodes whose process runs.
func (m *Mesh) LiveNames() []string {
	var names []string
	for _, node := range m.nodes {
		if node.Running() {
			names = append(names, node.Name)
		}
	}
	return names
}

// Close heals all cuts, ends the relays and the store stand-in and deletes the certificates.
// Processes are ended by their group.
func (m *Mesh) Close() {
	m.links.HealAll()
	for _, node := range m.nodes {
		node.closeRelays()
	}
	if m.store != nil {
		m.store.close()
	}
	if m.certificates != nil {
		m.certificates.remove()
	}
}
