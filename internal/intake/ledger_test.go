package intake

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
)

// client opens an account whose eviction closes it, after its hold.
func client(t *testing.T, l *Ledger) (*Account, *Hold, <-chan struct{}) {
	t.Helper()
	closed := make(chan struct{})
	var a *Account
	var h *Hold
	var once sync.Once
	ready := make(chan struct{})
	a = l.Open(t.Context(), func() {
		<-ready
		once.Do(func() {
			h.Close()
			a.Close()
			close(closed)
		})
	})
	h = a.NewHold()
	close(ready)
	return a, h, closed
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func TestLongestWaitingClientGivesWay(t *testing.T) {
	l := New("test", Limits{Connections: 3}, nil)
	busy, _, busyClosed := client(t, l)
	first, _, firstClosed := client(t, l)
	first.Await()
	second, _, secondClosed := client(t, l)
	second.Await()
	next, _, _ := client(t, l)
	if next == nil || !isClosed(firstClosed) || isClosed(secondClosed) || isClosed(busyClosed) {
		t.Error("another client than the one that has waited for longest gave way")
	}
	busy.Close()
	if read := l.Read(); read.Connections != 2 || read.Closed[Connections] != 1 {
		t.Errorf("%+v", read)
	}
}

func TestOpenEndsWithItsContext(t *testing.T) {
	l := New("test", Limits{Connections: 1}, nil)
	client(t, l)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if l.Open(ctx, func() {}) != nil {
		t.Error("there was room for a second client")
	}
}

func TestStalledClientGivesUpItsMemory(t *testing.T) {
	l := New("test", Limits{Memory: 100}, nil)
	stalled, held, closed := client(t, l)
	if held.Reserve(t.Context(), 80) != nil {
		t.Fatal("no memory at first")
	}
	stalled.Await()
	_, other, _ := client(t, l)
	if err := other.Reserve(t.Context(), 50); err != nil || !isClosed(closed) {
		t.Errorf("the stalled client keeps its memory: %v", err)
	}
	if read := l.Read(); read.Memory != 50 {
		t.Errorf("%+v", read)
	}
}

func TestBusyClientKeepsItsMemory(t *testing.T) {
	l := New("test", Limits{Memory: 100}, nil)
	_, held, closed := client(t, l)
	_ = held.Reserve(t.Context(), 80)
	_, other, _ := client(t, l)
	if err := other.Reserve(t.Context(), 50); !errorx.IsOfType(err, ErrFull) || isClosed(closed) {
		t.Errorf("%v", err)
	}
	if read := l.Read(); read.Memory != 80 || read.Refused[Memory] != 1 {
		t.Errorf("%+v", read)
	}
}

func TestTrickleDoesNotCountAsProgress(t *testing.T) {
	l := New("test", Limits{Memory: 100}, nil)
	a, held, closed := client(t, l)
	_ = held.Reserve(t.Context(), 80)
	stop := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() {
		for !isClosed(stop) {
			a.Await()
			time.Sleep(time.Millisecond)
			a.Progress(1)
		}
	})
	_, other, _ := client(t, l)
	if err := other.Reserve(t.Context(), 50); err != nil || !isClosed(closed) {
		t.Errorf("a byte now and then keeps the memory: %v", err)
	}
	close(stop)
	sending.Wait()
}

func TestNothingIsBoundedWithoutAnAccount(t *testing.T) {
	var a *Account
	a.Await()
	a.Resume()
	a.Progress(1)
	a.Renew()
	h := a.NewHold()
	h.Take(1)
	if !h.TryReserve(1) || h.Reserve(t.Context(), 1) != nil || FromContext(NewContext(t.Context(), h)) != nil {
		t.Error("a request without an account is bounded")
	}
	h.Release(1)
	h.Close()
	a.Close()
}
