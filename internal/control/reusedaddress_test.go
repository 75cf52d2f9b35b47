package control

import (
	"net"
	"testing"
)

// replace ends a node without notice, and starts one with another identifier at its address.
func (m *mesh) replace(id, by, zone string) {
	m.t.Helper()
	address := m.nodes[id].address
	m.kill(id)
	m.start(by, zone, "ledger", func(c *Config) {
		_ = c.Listener.Close()
		listener, err := net.Listen("tcp", address)
		if err != nil {
			m.t.Fatal(err)
		}
		c.Listener, c.Self.ControlAddress, c.Dial = listener, address, m.dial(address)
	})
	m.nodes[by].address = address
}

// TestAddressesOfAllNodesAreReused guards against versions that stay out of force, and nodes that are
// believed in for ever, since others answer at their addresses.
func TestAddressesOfAllNodesAreReused(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	m.startZones(2)
	size := len(m.nodes)
	m.eventually("all know each other", m.all(knows(size)))
	for _, id := range m.ids() {
		m.replace(id, id+"-next", id[:1])
		version := m.propose("after " + id)
		m.eventually("all run the version after "+id, m.all(runs(version)))
		m.eventually("all know those that are there, and no others", m.all(knows(size)))
	}
}
