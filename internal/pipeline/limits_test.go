package pipeline

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/intake"
)

// eventually waits until a condition holds.
func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

func TestLimitsInForceHold(t *testing.T) {
	var bytes atomic.Int64
	bytes.Store(64 << 10)
	s := startTestServer(t, func(cfg *Config) {
		cfg.Limits = func() Limits {
			return Limits{MaxHeaderBytes: int(bytes.Load()), ReadHeaderTimeout: testTimeout, IdleTimeout: testTimeout}
		}
	})
	long := "GET /1 HTTP/1.1\r\nHost: x\r\nLong: " + strings.Repeat("x", 32<<10) + "\r\n\r\n"
	c := dial(t, s.address)
	c.send(t, long)
	c.expect(t, "GET /1 ")
	bytes.Store(16 << 10)
	_, _ = io.WriteString(c, long)
	if got, err := c.next(); err != nil || got.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("%+v, %v", got, err)
	}
}

// TestHeadThatBeginsWithMuchAtOnceHasItsTime has heads whose first part fills the buffer.
func TestHeadThatBeginsWithMuchAtOnceHasItsTime(t *testing.T) {
	s := startTestServer(t, func(cfg *Config) { cfg.ReadHeaderTimeout = 50 * time.Millisecond })
	c := dial(t, s.address)
	c.send(t, "GET / HTTP/1.1\r\nHost: x\r\nLong: "+strings.Repeat("x", 2*bufferSize))
	c.expectEnd(t)
}

func TestStalledBodyIsRefusedInFavorOfOthers(t *testing.T) {
	ledger := intake.New("test", intake.Limits{Connections: 1}, nil)
	s := startTestServer(t, func(cfg *Config) { cfg.Ledger = ledger })
	stalled, next := dial(t, s.address), dial(t, s.address)
	stalled.send(t, "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc")
	s.awaitBegan(t, "/1")
	next.send(t, get("/2"))
	if got, err := stalled.next(); err != nil || got.status != http.StatusRequestTimeout {
		t.Errorf("%+v, %v", got, err)
	}
	next.expect(t, "GET /2 ")
}

func TestRequestBeingHandledIsNotClosed(t *testing.T) {
	ledger := intake.New("test", intake.Limits{Connections: 1}, nil)
	s := startTestServer(t, func(cfg *Config) { cfg.Ledger = ledger })
	busy, next := dial(t, s.address), dial(t, s.address)
	busy.send(t, get("/hold/1"))
	s.awaitBegan(t, "/hold/1")
	next.send(t, get("/2"))
	time.Sleep(time.Second) // longer than a client that keeps the node waiting would be left
	s.release("/hold/1")
	busy.expect(t, "GET /hold/1 ")
	next.expect(t, "GET /2 ")
}
