package mesh

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
)

// Offsets of a node's ports from the base port of its deployment. Relays
// listen on the first two, the processes on the others.
const (
	offsetCall = iota
	offsetControl
	offsetCallBehind
	offsetControlBehind
	offsetCaller
	offsetAdmin
	offsetWorker
	offsetWorkerControl
	portsPerNode
)

// Base ports are below the ports that the kernel gives to outgoing connections.
const (
	lowestBase   = 10000
	highestBase  = 30000
	portAttempts = 100
)

// freeBase returns a base port whose ports are free on every address given. It
// fails with ErrPorts.
func freeBase(addresses []netip.Addr) (int, error) {
	for range portAttempts {
		base := lowestBase + rand.IntN((highestBase-lowestBase)/portsPerNode)*portsPerNode
		if allFree(addresses, base) {
			return base, nil
		}
	}
	return 0, ErrPorts.New("no %d free ports in a row after %d attempts", portsPerNode, portAttempts)
}

// allFree reports whether every port from the base on can be listened on.
func allFree(addresses []netip.Addr, base int) bool {
	for _, address := range addresses {
		for offset := range portsPerNode {
			if !free(address, base+offset) {
				return false
			}
		}
	}
	return true
}

// free reports whether one port can be listened on.
func free(address netip.Addr, port int) bool {
	listener, err := net.Listen("tcp4", net.JoinHostPort(address.String(), strconv.Itoa(port)))
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}
