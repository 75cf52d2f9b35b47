package soak

import (
	"fmt"
	"net"
	"os"

	"github.com/levertide/levertide/internal/lab/memnet"
	"github.com/levertide/levertide/internal/sidecar"
)

// Network connects the machines and the callers of a soak.
type Network interface {
	// Machine returns the network as the n-th machine sees it.
	Machine(n int) MachineNetwork
	// Callers returns the network as the callers see it.
	Callers() sidecar.Network
	// Cut cuts a machine off from another one, until Heal. It reports false when
	// this network cannot be cut.
	Cut(a, b int) bool
	Heal()
	// Reset breaks the connections of a machine. It reports false when this
	// network cannot do that.
	Reset(n int) bool
}

// MachineNetwork is the network of one machine.
type MachineNetwork interface {
	sidecar.Network
	// Reserve returns an IP:port that outlasts the machine's processes.
	Reserve() (string, error)
	// AnyPort returns the address to listen on when any free port will do.
	AnyPort() string
}

// Loopback is the loopback network of the host. Each machine of a soak has a loopback
// address of its own, which no other process uses: the ports of a node are never
// taken by a connection or listener of another process while the node restarts.
type Loopback struct{ sidecar.TCP }

var _ Network = Loopback{}

// Machine implements Network.
func (l Loopback) Machine(n int) MachineNetwork {
	return &loopbackMachine{TCP: l.TCP, host: loopbackHost(os.Getpid(), n), reserved: map[string]bool{}}
}

// loopbackHost returns the address of a machine of a process. It is in 127.2.0.0 or
// above, since connections come from 127.0.0.1 and most listeners are there.
func loopbackHost(pid, n int) string {
	const (
		first    = 2
		machines = 250
	)
	return fmt.Sprintf("127.%d.%d.%d", first+n%machines, pid>>8&0xff, pid&0xff)
}

// Callers implements Network.
func (l Loopback) Callers() sidecar.Network { return l.TCP }

// Cut implements Network.
func (Loopback) Cut(int, int) bool { return false }

// Heal implements Network.
func (Loopback) Heal() {}

// Reset implements Network.
func (Loopback) Reset(int) bool { return false }

// loopbackMachine is one machine on the loopback network.
type loopbackMachine struct {
	sidecar.TCP
	host     string
	reserved map[string]bool
}

// AnyPort implements MachineNetwork.
func (m *loopbackMachine) AnyPort() string { return m.host + ":0" }

// Reserve implements MachineNetwork.
func (m *loopbackMachine) Reserve() (string, error) {
	for {
		opened, err := net.Listen("tcp", m.AnyPort())
		if err != nil {
			return "", ErrStart.Wrap(err, "address")
		}
		address := opened.Addr().String()
		_ = opened.Close()
		if !m.reserved[address] {
			m.reserved[address] = true
			return address, nil
		}
	}
}

// InMemory connects the machines of a soak inside the process, so that it can run
// on simulated time and be cut.
type InMemory struct{ network *memnet.Network }

var _ Network = InMemory{}

// NewInMemory returns an InMemory on the given network.
func NewInMemory(network *memnet.Network) InMemory { return InMemory{network: network} }

// callersHost is the address of the callers; those of machines are higher.
const callersHost = "10.0.0.1"

// hostsPerNetwork is how many machines share the first three bytes of an address.
const hostsPerNetwork = 250

func machineHost(n int) string {
	return fmt.Sprintf("10.1.%d.%d", n/hostsPerNetwork, n%hostsPerNetwork+1)
}

// Machine implements Network.
func (m InMemory) Machine(n int) MachineNetwork {
	return &memoryMachine{Host: m.network.Host(machineHost(n)), nextPort: firstReserved}
}

// Callers implements Network.
func (m InMemory) Callers() sidecar.Network { return m.network.Host(callersHost) }

// Cut implements Network.
func (m InMemory) Cut(a, b int) bool {
	m.network.Cut(machineHost(a), machineHost(b))
	return true
}

// Heal implements Network.
func (m InMemory) Heal() { m.network.Heal() }

// Reset implements Network.
func (m InMemory) Reset(n int) bool {
	m.network.Reset(machineHost(n))
	return true
}

// firstReserved is the first of the ports that memoryMachine reserves.
const firstReserved = 8000

// memoryMachine is the network of one machine of an InMemory.
type memoryMachine struct {
	*memnet.Host
	nextPort int
}

// Reserve implements MachineNetwork.
func (m *memoryMachine) Reserve() (string, error) {
	m.nextPort++
	return m.Address(m.nextPort), nil
}

// AnyPort implements MachineNetwork.
func (m *memoryMachine) AnyPort() string { return m.Address(0) }
