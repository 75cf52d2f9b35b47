package pipeline

import (
	"io"
	"net"
	"net/http"
	"strconv"
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

// awaitOpen waits until a number of connections is open.
func (s *testServer) awaitOpen(t *testing.T, connections int) {
	t.Helper()
	eventually(t, "another number of connections stays open", func() bool {
		open, _ := s.server.open()
		return open == connections
	})
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
	s := startTestServer(t, func(cfg *Config) {
		cfg.ReadHeaderTimeout, cfg.IdleTimeout = 50*time.Millisecond, 10*testTimeout
	})
	c := dial(t, s.address)
	c.send(t, "GET / HTTP/1.1\r\nHost: x\r\nLong: "+strings.Repeat("x", 2*bufferSize))
	s.awaitOpen(t, 1)
	s.awaitOpen(t, 0)
}

func TestCallerThatDoesNotReadIsClosed(t *testing.T) {
	s := startTestServer(t, func(cfg *Config) {
		cfg.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			content := make([]byte, 1<<20)
			for range 64 {
				if _, err := w.Write(content); err != nil {
					return
				}
			}
		})
		cfg.IdleTimeout = 100 * time.Millisecond
	})
	c := dial(t, s.address)
	c.send(t, get("/"))
	s.awaitOpen(t, 1)
	s.awaitOpen(t, 0)
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

// TestCallerWithoutRoomForItsHeadIsToldWhenToReturn has a head that there is no memory for.
func TestCallerWithoutRoomForItsHeadIsToldWhenToReturn(t *testing.T) {
	const most = 64 << 10
	ledger := intake.New("test", intake.Limits{Memory: most}, nil)
	s := startTestServer(t, func(cfg *Config) { cfg.Ledger, cfg.MaxHeaderBytes = ledger, most })
	c := dial(t, s.address)
	c.send(t, "GET /1 HTTP/1.1\r\nHost: x\r\nLong: "+strings.Repeat("x", 2*bufferSize)+"\r\n\r\n")
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	wait, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if response.StatusCode != http.StatusServiceUnavailable || err != nil || wait <= 0 {
		t.Errorf("status %d, headers %v", response.StatusCode, response.Header)
	}
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

// FuzzBytesOfACaller sends bytes to a server, on two connections, and ends them. Nothing of them may
// stay counted.
func FuzzBytesOfACaller(f *testing.F) {
	for _, seed := range []string{
		get("/1") + get("/2"), post("/1", "abc"), "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nab",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b\r\nx\r\n0\r\nT: y\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\nabc",
		"GET / HTTP/1.1\r\nHost: x\r\nLong: " + strings.Repeat("x", 2*bufferSize),
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n",
	} {
		f.Add([]byte(seed), len(seed)/2)
	}
	f.Fuzz(func(t *testing.T, sent []byte, pause int) {
		ledger := intake.New("test", intake.Limits{Connections: 2, Memory: 64 << 10}, nil)
		server := New(Config{
			Handler:      http.HandlerFunc(handleCounted),
			MaxPipelined: 4, MaxHeaderBytes: 16 << 10, ReadHeaderTimeout: time.Second, IdleTimeout: time.Second, Ledger: ledger,
		})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = server.Serve(l) }()
		defer func() { _ = server.Close() }()
		pause = min(max(pause, 0), len(sent))
		for _, part := range [][]byte{sent, sent[:pause]} {
			conn, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			_, _ = conn.Write(part)
			_ = conn.Close()
		}
		eventually(t, "something of a caller that is gone is still counted", func() bool {
			read := ledger.Read()
			return read.Connections == 0 && read.Memory == 0
		})
	})
}

// handleCounted answers with the body of a request, which it reads into counted memory.
func handleCounted(w http.ResponseWriter, r *http.Request) {
	content, _, err := intake.FromContext(r.Context()).ReadUpTo(r.Context(), r.Body, r.ContentLength, 32<<10)
	if err != nil {
		w.WriteHeader(http.StatusRequestTimeout)
		return
	}
	_, _ = w.Write(content)
}
