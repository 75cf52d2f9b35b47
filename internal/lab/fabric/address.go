package fabric

import (
	"net"
	"net/netip"
	"strconv"
)

// ZoneNumber identifies a zone of the emulated network; it is the third byte of the zone's loopback
// addresses.
type ZoneNumber uint8

// Zone numbers that no zone of a deployment may have.
const (
	// ZoneClients is where callers outside the mesh dial from.
	ZoneClients ZoneNumber = 200
	// ZonePlatform is the zone of the platform's store.
	ZonePlatform ZoneNumber = 201
)

// FirstRealHost is the first host number of real processes in a zone. Lower host numbers belong to
// nodes inside the lab's process.
const FirstRealHost = 200

// Address returns the loopback address of one host of a zone.
func Address(zone ZoneNumber, host uint8) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 0, byte(zone), host})
}

// HostPort joins a host's loopback address and a port.
func HostPort(zone ZoneNumber, host uint8, port int) string {
	return net.JoinHostPort(Address(zone, host).String(), strconv.Itoa(port))
}

// ZoneOf returns the zone of a loopback address, or false for any other address.
func ZoneOf(address netip.Addr) (ZoneNumber, bool) {
	address = address.Unmap()
	if !address.Is4() || !address.IsLoopback() {
		return 0, false
	}
	return ZoneNumber(address.As4()[2]), true
}

// hostOf returns the host number of a loopback address.
func hostOf(address netip.Addr) uint8 {
	return address.Unmap().As4()[3]
}

// netipOf returns the IP address of a TCP endpoint.
func netipOf(address net.Addr) netip.Addr {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return tcp.AddrPort().Addr().Unmap()
}
