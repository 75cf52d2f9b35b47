package fabric

import "net"

// Listener delays connections that real processes open to a node inside the
// lab's process. Connections of other nodes inside the lab are delayed by the
// Dialer that opened them.
type Listener struct {
	net.Listener
	links *Links
	zone  ZoneNumber
}

// NewListener returns a listener in a zone over an undelayed one.
func NewListener(inner net.Listener, links *Links, zone ZoneNumber) *Listener {
	return &Listener{Listener: inner, links: links, zone: zone}
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	source := netipOf(accepted.RemoteAddr())
	zone, ok := ZoneOf(source)
	if !ok || hostOf(source) < FirstRealHost {
		return accepted, nil
	}
	return newConnection(accepted, l.links, l.zone, zone), nil
}
