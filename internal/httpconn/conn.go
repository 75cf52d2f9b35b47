package httpconn

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// The states of a Conn, as far as the request on it is concerned.
const (
	connUntouched uint64 = iota // nothing was written since the request got it
	connWritten                 // something may have been written
	connSealed                  // nothing was written and nothing ever will be

	// connStates is the number by which uses are counted above the state.
	connStates = 4
)

// Conn is a connection that records whether anything of the current request was written to it, and
// whether a line of its answer's head is folded.
type Conn struct {
	net.Conn
	// state is the number of the current use, times connStates, and its state.
	state atomic.Uint64
	// retired is set when no further request may be written.
	retired atomic.Bool
	lines   answerLines
	sent    sent
}

// Use is one request's use of a connection. The transport gives the connection to the next request
// before the one before it has seen its answer.
type Use uint64

// Begin is called when a request gets the connection. One that gets a retired connection can
// write nothing to it.
func (c *Conn) Begin() Use {
	state := connUntouched
	if c.retired.Load() {
		state = connSealed
	}
	use := c.state.Load()/connStates + 1
	c.state.Store(use*connStates + state)
	return Use(use)
}

// Retire ends the use of a connection on which the other side broke HTTP or is out of step with the
// requests. The transport may have given it to the next request already, which keeps it.
func (c *Conn) Retire() { c.retired.Store(true) }

// retire is Retire for a connection that may not be known.
func (c *Conn) retire() {
	if c != nil {
		c.Retire()
	}
}

// Seal forbids further writes of a use and reports whether nothing was written in it. When it reports
// true, nothing of the request can reach the other side.
func (c *Conn) Seal(use Use) bool {
	untouched := uint64(use)*connStates + connUntouched
	sealed := uint64(use)*connStates + connSealed
	return c.state.CompareAndSwap(untouched, sealed) || c.state.Load() == sealed
}

// Write implements net.Conn. The connection counts as written to before the write
// is attempted; this is undone when the network accepted nothing of a first write.
func (c *Conn) Write(p []byte) (int, error) {
	use := c.state.Load() / connStates * connStates
	first := c.state.CompareAndSwap(use+connUntouched, use+connWritten)
	if !first && c.state.Load() != use+connWritten {
		return 0, net.ErrClosed
	}
	n, err := c.sent.write(c.Conn, p)
	if first && n == 0 && err != nil {
		c.state.CompareAndSwap(use+connWritten, use+connUntouched)
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom with a pooled buffer, so that the transport
// allocates no buffer for each upload.
func (c *Conn) ReadFrom(source io.Reader) (int64, error) {
	buffer := GetBuffer()
	defer PutBuffer(buffer)
	return io.CopyBuffer(writerOnly{c}, source, buffer[:])
}

// writerOnly hides ReadFrom, which would call itself.
type writerOnly struct{ io.Writer }

// copyBufferSize is the size of the buffers that bodies are copied with.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// GetBuffer returns a pooled buffer for copying a body; return it with PutBuffer.
func GetBuffer() *[copyBufferSize]byte { return copyBuffers.Get().(*[copyBufferSize]byte) }

// PutBuffer returns a buffer to the pool.
func PutBuffer(buffer *[copyBufferSize]byte) { copyBuffers.Put(buffer) }
