package crashwatch

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// dialer answers questions for a worker as a test says.
type dialer struct {
	refuse atomic.Bool
	probes atomic.Int64
}

func (d *dialer) dial(context.Context, string, string) (net.Conn, error) {
	d.probes.Add(1)
	if d.refuse.Load() {
		return nil, syscall.ECONNREFUSED
	}
	here, there := net.Pipe()
	_ = there.Close()
	return here, nil
}

func TestWorkerThatTakesNoConnectionHasEnded(t *testing.T) {
	d := &dialer{}
	w := New(d.dial)
	w.Begin()
	w.Begin()
	w.End()
	if w.Ended(t.Context(), "worker") {
		t.Error("a worker that takes connections and has a request in hand has ended")
	}
	// The other request is not seen to be lost yet: this process is short of processor time.
	d.refuse.Store(true)
	if !w.Ended(t.Context(), "worker") {
		t.Error("a worker that takes no connection has not ended")
	}
}

// TestWorkerThatIsAboutToEndIsProbedAgain has the connections of a worker break before it
// stops to listen.
func TestWorkerThatIsAboutToEndIsProbedAgain(t *testing.T) {
	d := &dialer{}
	w := New(d.dial)
	w.Begin()
	w.Begin()
	w.End()
	time.AfterFunc(time.Millisecond, func() {
		d.refuse.Store(true)
		w.End()
	})
	if !w.Ended(t.Context(), "worker") {
		t.Error("the worker has not ended")
	}
	if questions := d.probes.Load(); questions != 2 {
		t.Errorf("%d questions, want 2", questions)
	}
}

func TestIsolationIsHeldByOne(t *testing.T) {
	w := New((&dialer{}).dial)
	if !w.Isolate(t.Context(), time.Now().Add(time.Hour)) {
		t.Fatal("the first is not isolated")
	}
	if w.Isolate(t.Context(), time.Now().Add(time.Millisecond)) {
		t.Error("two are isolated at a time")
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if w.Isolate(ended, time.Now().Add(time.Hour)) {
		t.Error("a call that has ended is isolated")
	}
	w.EndIsolation()
	if !w.Isolate(t.Context(), time.Now().Add(time.Hour)) {
		t.Error("the next is not isolated")
	}
}
