package fabric

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// keepAlive detects within about three seconds that the other side is gone.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     time.Second,
	Interval: time.Second,
	Count:    2,
}

// Dialer opens delayed connections from one host of a zone, without a relay.
type Dialer struct {
	links *Links
	zone  ZoneNumber
	local netip.Addr
}

// NewDialer returns a dialer for the host with the given loopback address.
func NewDialer(links *Links, zone ZoneNumber, local netip.Addr) *Dialer {
	return &Dialer{links: links, zone: zone, local: local}
}

// DialContext opens a connection to a loopback address. It takes one round
// trip between the zones, as a TCP handshake does, and does not return while either
// direction is cut, unless the context ends.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	remote, err := remoteZone(address)
	if err != nil {
		return nil, err
	}
	if err := d.handshake(ctx, remote); err != nil {
		return nil, err
	}
	inner := net.Dialer{
		LocalAddr:       &net.TCPAddr{IP: d.local.AsSlice()},
		KeepAliveConfig: keepAlive,
	}
	opened, err := inner.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newConnection(opened, d.links, d.zone, remote), nil
}

// handshake waits as long as a TCP handshake between the zones would take.
func (d *Dialer) handshake(ctx context.Context, remote ZoneNumber) error {
	there := d.links.awaitOpen(d.zone, remote, ctx.Done())
	if !there || !d.links.awaitOpen(remote, d.zone, ctx.Done()) {
		return ctx.Err()
	}
	delay := d.links.Delay(d.zone, remote) + d.links.Delay(remote, d.zone)
	if delay == 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// remoteZone returns the zone that an IP:port is in.
func remoteZone(address string) (ZoneNumber, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0, ErrNotInFabric.Wrap(err, "address %q", address)
	}
	zone, ok := ZoneOf(parsed.Addr())
	if !ok {
		return 0, ErrNotInFabric.New("address %q is not on loopback", address)
	}
	return zone, nil
}
