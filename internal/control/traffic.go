package control

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// Role is a node's role in distributing configuration. Its traffic is counted
// by role.
type Role uint32

// The roles, in ascending order of responsibility.
const (
	RoleLeaf Role = iota
	RoleRelay
	RoleReader
	RoleCoordinator
	roleCount
)

// String returns the role in lower case.
func (r Role) String() string {
	names := [roleCount]string{"leaf", "relay", "reader", "coordinator"}
	if r >= roleCount {
		return "unknown"
	}
	return names[r]
}

// Sizes used to estimate TCP/IP headers, in bytes.
const (
	segmentPayload = 1448
	segmentHeader  = 52
	// connectionOverhead is three packets to open and four to close, shared by both ends.
	connectionOverhead = 7 * segmentHeader
)

// TrafficCount is a number of bytes transferred, including estimated headers.
type TrafficCount struct {
	In  uint64 `json:"in"`
	Out uint64 `json:"out"`
}

// Total returns the bytes of both directions.
func (c TrafficCount) Total() uint64 { return c.In + c.Out }

// Traffic counts a node's control bytes by the role that it has at the time.
// It is safe for concurrent use.
type Traffic struct {
	role atomic.Uint32
	in   [roleCount]atomic.Uint64
	out  [roleCount]atomic.Uint64
}

// NewTraffic returns counters at zero for a leaf.
func NewTraffic() *Traffic { return &Traffic{} }

// SetRole makes later traffic count under another role.
func (t *Traffic) SetRole(role Role) { t.role.Store(uint32(role)) }

// Role returns the role that is counted under now.
func (t *Traffic) Role() Role { return Role(t.role.Load()) }

// Count returns what was counted under one role so far.
func (t *Traffic) Count(role Role) TrafficCount {
	return TrafficCount{In: t.in[role].Load(), Out: t.out[role].Load()}
}

// Total returns what was counted under all roles so far.
func (t *Traffic) Total() TrafficCount {
	var total TrafficCount
	for role := range roleCount {
		count := t.Count(role)
		total.In += count.In
		total.Out += count.Out
	}
	return total
}

func (t *Traffic) add(in, out int) {
	role := t.role.Load()
	t.in[role].Add(uint64(in))
	t.out[role].Add(uint64(out))
}

// Conn returns a connection whose bytes are counted, together with an estimate
// of the TCP/IP headers of its segments, acknowledgements and keepalive probes.
func (t *Traffic) Conn(connection net.Conn) net.Conn {
	t.add(connectionOverhead/2, connectionOverhead/2)
	counted := &countedConn{Conn: connection, traffic: t}
	counted.active.Store(time.Now().UnixNano())
	return counted
}

// Listener returns a listener whose connections are counted.
func (t *Traffic) Listener(listener net.Listener) net.Listener {
	return &countedListener{Listener: listener, traffic: t}
}

// Dial returns a dial function whose connections are counted.
func (t *Traffic) Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			t.add(segmentHeader, segmentHeader)
			return nil, err
		}
		return t.Conn(connection), nil
	}
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

func (l *countedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.Conn(connection), nil
}

type countedConn struct {
	net.Conn
	traffic *Traffic
	// active is when bytes were last transferred, in Unix nanoseconds.
	active atomic.Int64
}

func (c *countedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.countProbes()
		headers := segments(count) * segmentHeader
		c.traffic.add(count+headers, headers)
	}
	return count, err
}

func (c *countedConn) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	if count > 0 {
		c.countProbes()
		headers := segments(count) * segmentHeader
		c.traffic.add(headers, count+headers)
	}
	return count, err
}

// countProbes adds a keepalive probe and its answer, one of them sent and one
// received, for each keepalive interval without traffic.
func (c *countedConn) countProbes() {
	now := time.Now().UnixNano()
	idle := now - c.active.Swap(now)
	probes := int(idle / int64(keepAliveInterval))
	if probes > 0 {
		c.traffic.add(probes*segmentHeader, probes*segmentHeader)
	}
}

func segments(count int) int { return (count + segmentPayload - 1) / segmentPayload }
