package fabric_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/lab/fabric"
)

const (
	zoneA fabric.ZoneNumber = 1
	zoneB fabric.ZoneNumber = 2
)

// echo answers every connection with what it receives.
func echo(t *testing.T, listener net.Listener) {
	t.Helper()
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(accepted, accepted)
				_ = accepted.Close()
			}()
		}
	}()
}

// exchange sends a message and returns the answer and the time that it took.
func exchange(t *testing.T, open net.Conn, message string) (string, time.Duration) {
	t.Helper()
	started := time.Now()
	if _, err := io.WriteString(open, message); err != nil {
		t.Fatal(err)
	}
	answer := make([]byte, len(message))
	if _, err := io.ReadFull(open, answer); err != nil {
		t.Fatal(err)
	}
	return string(answer), time.Since(started)
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", fabric.HostPort(zoneB, 1, 0))
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func TestDialerDelaysBothWays(t *testing.T) {
	links := fabric.NewLinks(5 * time.Millisecond)
	listener := listen(t)
	echo(t, listener)
	dialer := fabric.NewDialer(links, zoneA, fabric.Address(zoneA, 1))
	open, err := dialer.DialContext(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer open.Close()
	answer, took := exchange(t, open, "hello")
	if answer != "hello" {
		t.Errorf("answer %q", answer)
	}
	if took < 10*time.Millisecond {
		t.Errorf("round trip took %v, want at least 10ms", took)
	}
}

func TestRelayDelaysAndHoldsBackDuringCut(t *testing.T) {
	links := fabric.NewLinks(5 * time.Millisecond)
	target := listen(t)
	echo(t, target)
	front := listen(t)
	relay := fabric.NewRelay(fabric.RelayOptions{
		Links:  links,
		Zone:   zoneB,
		Listen: front.Addr().String(),
		Target: target.Addr().String(),
	})
	_ = front.Close()
	if err := relay.Open(); err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	open := dialPlain(t, front.Addr().String())
	defer open.Close()
	if _, took := exchange(t, open, "one"); took < 10*time.Millisecond {
		t.Errorf("round trip took %v, want at least 10ms", took)
	}
	links.CutOneWay(zoneA, zoneB)
	answered := make(chan string)
	go func() {
		answer, _ := exchange(t, open, "two")
		answered <- answer
	}()
	select {
	case <-answered:
		t.Fatal("answered through a cut")
	case <-time.After(50 * time.Millisecond):
	}
	links.Heal(zoneA, zoneB)
	if answer := <-answered; answer != "two" {
		t.Errorf("answer %q after the heal", answer)
	}
}

func TestRelayRefusesWhileItsProcessIsGone(t *testing.T) {
	front := listen(t)
	address := front.Addr().String()
	_ = front.Close()
	relay := fabric.NewRelay(fabric.RelayOptions{
		Links: fabric.NewLinks(0), Zone: zoneB, Listen: address, Target: address,
	})
	if err := relay.Open(); err != nil {
		t.Fatal(err)
	}
	relay.CloseListener()
	defer relay.Close()
	if open, err := net.Dial("tcp4", address); err == nil {
		_ = open.Close()
		t.Error("a closed relay accepted a connection")
	}
}

func TestDialerEndsWithContextDuringCut(t *testing.T) {
	links := fabric.NewLinks(0)
	links.Cut(zoneA, zoneB)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	dialer := fabric.NewDialer(links, zoneA, fabric.Address(zoneA, 1))
	if _, err := dialer.DialContext(ctx, "tcp", fabric.HostPort(zoneB, 1, 1)); err == nil {
		t.Error("dialled through a cut")
	}
}

// dialPlain dials from zone A without any delay of its own.
func dialPlain(t *testing.T, address string) net.Conn {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: fabric.Address(zoneA, 1).AsSlice()}}
	open, err := dialer.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	return open
}
