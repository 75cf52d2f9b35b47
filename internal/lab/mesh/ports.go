package mesh

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
)

// Offsets of a node's ports from the base port of its deployment. Relays listen on the first two
// and forward to the next two; the processes listen on all but the first two.
const (
	offsetCall = iota
	offsetControl
	offsetCallTarget
	offsetControlTarget
	offsetCaller
	offsetAdmin
	offsetWorker
	offsetWorkerControl
	portsPerNode
)

// Base ports are below the range from which the kernel takes ports of outgoing connections.
const (
	lowestBase   = 10000
	highestBase  = 30000
	portAttempts = 100
)

// freeBasePort returns a base port from which portsPerNode ports are free on every address given. It
// fails with ErrPorts.
func freeBasePort(addresses []netip.Addr) (int, error) {
	for range portAttempts {
		base := lowestBase + rand.IntN((highestBase-lowestBase)/portsPerNode)*portsPerNode
		if allFree(addresses, base) {
			return base, nil
		}
	}
	return 0, ErrPorts.New("no %d free ports in a row after %d attempts", portsPerNode, portAttempts)
}

// allFree reports whether portsPerNode ports from the base on are free on every address.
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
