package baseline

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/lab/fabric"
	"github.com/levertide/levertide/pkg/snapshot"
)

// hub sends every version whole, compressed, to every node over a connection
// that the node keeps open.
type hub struct {
	source Source

	mutex       sync.Mutex
	version     uint64
	frame       []byte
	connections map[*hubConnection]struct{}
}

// hubConnection is one node's connection at the hub.
type hubConnection struct {
	net.Conn
	frames chan []byte
}

// frameHeader is the version and the length of what follows, in bytes.
const frameHeader = 16

// Hub lets one hub send whole snapshots to all.
func Hub(ctx context.Context, options Options) (Result, error) {
	run := newMeasured(options)
	listener, err := net.Listen("tcp4", options.Address)
	if err != nil {
		return Result{}, ErrBaseline.Wrap(err, "hub")
	}
	sending := &hub{source: options.Source, connections: make(map[*hubConnection]struct{})}
	ctx, cancel := context.WithCancel(ctx)
	var serving sync.WaitGroup
	serving.Go(func() { sending.accept(run.server.Listener(listener)) })
	running := run.onEachNode(func(index int, node Node) { run.receive(ctx, index, node, options.Address) })
	defer running.Wait()
	defer serving.Wait()
	defer sending.closeAll()
	defer func() { _ = listener.Close() }()
	defer cancel()
	result, err := run.run(ctx, sending.next)
	// The hub is a node too.
	result.Rates = append(result.Rates, result.ServerRate)
	return result, err
}

// accept serves nodes until the listener is closed.
func (h *hub) accept(listener net.Listener) {
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		h.add(&hubConnection{Conn: accepted, frames: make(chan []byte, 1)})
	}
}

// add starts to send to a node.
func (h *hub) add(added *hubConnection) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.connections[added] = struct{}{}
	if h.frame != nil {
		added.frames <- h.frame
	}
	go added.send()
}

// send sends frames until the connection breaks or is closed.
func (c *hubConnection) send() {
	for frame := range c.frames {
		if _, err := c.Write(frame); err != nil {
			return
		}
	}
}

// closeAll ends every connection.
func (h *hub) closeAll() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for open := range h.connections {
		close(open.frames)
		_ = open.Close()
	}
	clear(h.connections)
}

// next sends the next version to all nodes.
func (h *hub) next(context.Context) (uint64, time.Time, error) {
	whole, _ := h.source.Next()
	began := time.Now()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.version++
	made, err := snapshot.New(h.version, whole)
	if err != nil {
		return 0, began, ErrBaseline.Wrap(err, "snapshot")
	}
	payload, err := snapshot.Diff(nil, made).Encode()
	if err != nil {
		return 0, began, ErrBaseline.Wrap(err, "encode the snapshot")
	}
	frame := binary.BigEndian.AppendUint64(nil, h.version)
	frame = binary.BigEndian.AppendUint64(frame, uint64(len(payload)))
	h.frame = append(frame, payload...)
	for open := range h.connections {
		open.replace(h.frame)
	}
	return h.version, began, nil
}

// replace makes a frame the next one to be sent.
func (c *hubConnection) replace(frame []byte) {
	select {
	case <-c.frames:
	default:
	}
	c.frames <- frame
}

// receive is one node: it keeps a connection and notes what arrives.
func (m *measured) receive(ctx context.Context, index int, node Node, address string) {
	dialer := fabric.NewDialer(m.options.Links, node.Zone, fabric.Address(node.Zone, node.Host))
	dial := m.traffic[index].Dial(dialer.DialContext)
	var version uint64
	for ctx.Err() == nil {
		open, err := dial(ctx, "tcp4", address)
		if err != nil {
			pause(ctx, PollInterval)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = open.Close() })
		version = m.receiveFrom(open, version)
		stop()
		_ = open.Close()
	}
}

// receiveFrom notes frames until the connection ends, and returns the newest version.
func (m *measured) receiveFrom(open net.Conn, version uint64) uint64 {
	source := bufio.NewReader(open)
	var header [frameHeader]byte
	for {
		if _, err := io.ReadFull(source, header[:]); err != nil {
			return version
		}
		now := binary.BigEndian.Uint64(header[:8])
		length := int64(binary.BigEndian.Uint64(header[8:]))
		if _, err := io.CopyN(io.Discard, source, length); err != nil {
			return version
		}
		if now > version {
			m.arrivals.note(version, now)
			version = now
		}
	}
}
