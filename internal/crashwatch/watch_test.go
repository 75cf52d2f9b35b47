package crashwatch

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// dialer answers probes of a worker as a test sets it.
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
		t.Error("a worker that accepts connections and has a request in flight counts as ended")
	}
	// The loss of the other request is not noticed yet, as when this process is short of processor time.
	d.refuse.Store(true)
	if !w.Ended(t.Context(), "worker") {
		t.Error("a worker that refuses connections does not count as ended")
	}
}

// TestWorkerThatIsAboutToEndIsProbedAgain has the connections of a worker break before it
// stops listening.
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
		t.Error("the worker does not count as ended")
	}
	if probes := d.probes.Load(); probes != 2 {
		t.Errorf("%d probes, want 2", probes)
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
