package scale

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/levertide/levertide/internal/lab/experiment"
	"github.com/levertide/levertide/internal/lab/fabric"
	"github.com/levertide/levertide/internal/lab/hollow"
)

// zone is one zone of the emulation.
type zone struct {
	name   string
	region string
	number fabric.ZoneNumber
	// hollow and real are the nodes of the zone.
	hollow []hollow.NodeSpec
	real   []hollow.NodeSpec
}

// layout says where every node is.
type layout struct {
	zones []zone
	port  int
}

// storeDelay is the one-way delay between any zone and the store.
const storeDelay = 2 * time.Millisecond

// seedCount is how many other nodes a node is told of at its start.
const seedCount = 4

// newLayout spreads the nodes over the zones. It fails with ErrSize.
func newLayout(size experiment.Size) (*layout, error) {
	perZone := (size.Nodes + size.Zones - 1) / size.Zones
	if perZone >= fabric.FirstRealHost {
		return nil, ErrSize.New("%d nodes in one zone; at most %d fit", perZone, fabric.FirstRealHost-1)
	}
	if size.RealPerZone*size.Zones > size.Nodes {
		return nil, ErrSize.New("%d real processes a zone are more than there are nodes", size.RealPerZone)
	}
	port, err := freePort(size)
	if err != nil {
		return nil, err
	}
	made := &layout{port: port}
	for i := range size.Zones {
		region := i % size.Regions
		made.zones = append(made.zones, zone{
			name:   fmt.Sprintf("r%dz%d", region+1, i/size.Regions+1),
			region: fmt.Sprintf("r%d", region+1),
			number: fabric.ZoneNumber(i + 1),
		})
	}
	for i := range size.Nodes {
		made.place(size, i)
	}
	made.seed()
	return made, nil
}

// place adds one node to its zone; the first of each zone are real processes.
func (l *layout) place(size experiment.Size, index int) {
	home := &l.zones[index%size.Zones]
	within := index / size.Zones
	spec := hollow.NodeSpec{
		ID:      fmt.Sprintf("%s-%03d", home.name, within+1),
		Region:  home.region,
		Zone:    home.name,
		Service: serviceName(index % size.Services),
		Number:  home.number,
		Port:    l.port,
	}
	if within < size.RealPerZone {
		spec.Host = uint8(fabric.FirstRealHost + within)
		home.real = append(home.real, spec)
		return
	}
	spec.Host = uint8(within - size.RealPerZone + 1)
	home.hollow = append(home.hollow, spec)
}

// seed tells every node of some others, in its own zone and elsewhere.
func (l *layout) seed() {
	for i := range l.zones {
		home := &l.zones[i]
		next := &l.zones[(i+1)%len(l.zones)]
		for _, nodes := range [][]hollow.NodeSpec{home.hollow, home.real} {
			for j := range nodes {
				nodes[j].Seeds = append(firstAddresses(home, nodes[j].ID, seedCount-1), firstAddresses(next, "", 1)...)
			}
		}
	}
}

// firstAddresses returns control addresses of the first nodes of a zone but one.
func firstAddresses(home *zone, but string, count int) []string {
	var addresses []string
	for _, spec := range home.hollow {
		if spec.ID != but && len(addresses) < count {
			addresses = append(addresses, controlAddress(spec))
		}
	}
	return addresses
}

// controlAddress is where others reach a node's control listener.
func controlAddress(spec hollow.NodeSpec) string {
	return fabric.HostPort(spec.Number, spec.Host, spec.Port)
}

// all returns the specifications of all nodes.
func (l *layout) all() []hollow.NodeSpec {
	var nodes []hollow.NodeSpec
	for _, home := range l.zones {
		nodes = append(nodes, home.hollow...)
		nodes = append(nodes, home.real...)
	}
	return nodes
}

// delays returns the delay of every pair of zones.
func (l *layout) delays(size experiment.Size) []hollow.ZoneDelay {
	var delays []hollow.ZoneDelay
	for i, a := range l.zones {
		delays = append(delays, hollow.ZoneDelay{A: a.number, B: fabric.ZonePlatform, Delay: storeDelay})
		for _, b := range l.zones[i+1:] {
			delay := size.RegionDelay
			if a.region == b.region {
				delay = size.ZoneDelay
			}
			delays = append(delays, hollow.ZoneDelay{A: a.number, B: b.number, Delay: delay})
		}
	}
	return delays
}

// Ports of nodes are below those that the kernel gives to outgoing connections.
const (
	lowestPort   = 10000
	portRange    = 20000
	portAttempts = 100
	// portsPerNode are the control port, and behind it the port of a real
	// process's own listener and those of its other listeners.
	portsPerNode = 5
)

// freePort returns a port that is free on the first addresses of every zone.
func freePort(size experiment.Size) (int, error) {
	for range portAttempts {
		port := lowestPort + rand.IntN(portRange/portsPerNode)*portsPerNode
		if portIsFree(size, port) {
			return port, nil
		}
	}
	return 0, ErrSize.New("no free port after %d attempts", portAttempts)
}

// portIsFree tries the port on one address of every zone.
func portIsFree(size experiment.Size, port int) bool {
	for i := range size.Zones {
		for offset := range portsPerNode {
			address := fabric.HostPort(fabric.ZoneNumber(i+1), 1, port+offset)
			listener, err := net.Listen("tcp4", address)
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}
