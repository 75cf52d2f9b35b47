package fabric

import (
	"context"
	"io"
	"net"
	"sync"
)

// RelayOptions describes one relay.
type RelayOptions struct {
	Links *Links
	// Zone is where the listener behind the relay is.
	Zone ZoneNumber
	// Listen is the IP:port on which the relay listens.
	Listen string
	// Target is the IP:port that the process behind the relay listens on.
	Target string
	// FirstDelayedHost is the first host number whose connections are delayed
	// here; connections of hosts below it were delayed when they were dialled.
	FirstDelayedHost uint8
}

// Relay forwards connections to one listener of a real process and delays or holds back their
// traffic. Its methods are safe for concurrent use.
type Relay struct {
	options RelayOptions

	mutex       sync.Mutex
	listener    net.Listener
	connections map[net.Conn]struct{}
	serving     sync.WaitGroup
}

// NewRelay returns a relay that does not listen yet.
func NewRelay(options RelayOptions) *Relay {
	return &Relay{options: options, connections: make(map[net.Conn]struct{})}
}

// Open starts listening; it does nothing if the relay listens already. It fails with ErrListen.
func (r *Relay) Open() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp4", r.options.Listen)
	if err != nil {
		return ErrListen.Wrap(err, "relay on %s", r.options.Listen)
	}
	r.listener = listener
	r.serving.Add(1)
	go r.accept(listener)
	return nil
}

// CloseListener stops listening, so that dials are refused as they are once a process has ended.
// Open connections stay open.
func (r *Relay) CloseListener() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.listener == nil {
		return
	}
	_ = r.listener.Close()
	r.listener = nil
}

// Close stops listening, closes every connection and waits until all of them have ended.
func (r *Relay) Close() {
	r.CloseListener()
	r.mutex.Lock()
	for open := range r.connections {
		_ = open.Close()
	}
	r.mutex.Unlock()
	r.serving.Wait()
}

// accept serves connections until the listener is closed.
func (r *Relay) accept(listener net.Listener) {
	defer r.serving.Done()
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		r.serving.Add(1)
		go r.serve(accepted)
	}
}

// serve relays one connection both ways.
func (r *Relay) serve(accepted net.Conn) {
	defer r.serving.Done()
	source := netipOf(accepted.RemoteAddr())
	if zone, ok := ZoneOf(source); ok && hostOf(source) >= r.options.FirstDelayedHost {
		accepted = newConnection(accepted, r.options.Links, r.options.Zone, zone)
	}
	if !r.register(accepted) {
		reset(accepted)
		return
	}
	defer r.forget(accepted)
	target, err := net.Dial("tcp4", r.options.Target)
	if err != nil {
		// The process behind the relay is gone: refuse later dials, as happens without a relay.
		r.CloseListener()
		reset(accepted)
		return
	}
	if !r.register(target) {
		reset(accepted)
		reset(target)
		return
	}
	defer r.forget(target)
	exchange(accepted, target)
}

// register records a connection, so that Close can close it; it returns false if the relay no longer
// listens.
func (r *Relay) register(open net.Conn) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.listener == nil {
		return false
	}
	r.connections[open] = struct{}{}
	return true
}

// forget removes a connection that has ended.
func (r *Relay) forget(open net.Conn) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.connections, open)
}

// exchange copies both ways until both directions have ended. If one direction breaks, it resets
// both connections.
func exchange(first, second net.Conn) {
	ctx, broken := context.WithCancel(context.Background())
	stop := context.AfterFunc(ctx, func() {
		reset(first)
		reset(second)
	})
	var directions sync.WaitGroup
	for _, pair := range [2][2]net.Conn{{first, second}, {second, first}} {
		directions.Add(1)
		go func() {
			defer directions.Done()
			if !copyDirection(pair[0], pair[1]) {
				broken()
			}
		}()
	}
	directions.Wait()
	if stop() {
		_ = first.Close()
		_ = second.Close()
	}
	broken()
}

// copyDirection copies until the source ends, and then closes the destination for writing. It
// returns false if the connection broke.
func copyDirection(source, destination net.Conn) bool {
	buffer := make([]byte, relayBufferSize)
	if _, err := io.CopyBuffer(plainWriter{destination}, plainReader{source}, buffer); err != nil {
		return false
	}
	half, ok := destination.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}

// relayBufferSize is the buffer of one direction of one connection, in bytes.
const relayBufferSize = 16 << 10

// plainReader hides every method but Read, so that io.CopyBuffer does not
// bypass the delays.
type plainReader struct{ io.Reader }

// plainWriter hides every method but Write.
type plainWriter struct{ io.Writer }

// reset closes a connection with a TCP reset, so that the other side sees a broken connection and
// not an orderly end.
func reset(open net.Conn) {
	inner := open
	if delayed, ok := open.(*connection); ok {
		inner = delayed.Conn
	}
	if tcp, ok := inner.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = open.Close()
}
