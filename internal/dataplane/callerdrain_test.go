package dataplane

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// keptConnection is a caller's connection that stays open between requests.
type keptConnection struct {
	conn  net.Conn
	lines *bufio.Reader
}

func (k keptConnection) get(t *testing.T) *http.Response {
	t.Helper()
	_, _ = io.WriteString(k.conn, "GET / HTTP/1.1\r\nHost: "+testHost+"\r\n\r\n")
	response, err := http.ReadResponse(k.lines, nil)
	if err != nil {
		t.Fatalf("a request on a kept connection got no answer: %v", err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response
}

// keptConnections is large enough that a stop which does not wait for the
// connections ends before the last one is used.
const keptConnections = 200

// Guards against a planned stop that closes callers' idle connections while a
// request is on its way on one of them.
func TestPlannedStopAnswersOnKeptCallerConnections(t *testing.T) {
	m := newMesh(t, func(c *Config) {
		c.Limits.DrainConnections = time.Minute
		c.Limits.DrainIdle = time.Microsecond
	})
	m.addHandler("a", func(http.ResponseWriter, *http.Request) {})
	var kept []keptConnection
	for range keptConnections {
		conn, err := net.Dial("tcp", m.entry.callers.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		connection := keptConnection{conn, bufio.NewReader(conn)}
		if status := connection.get(t).StatusCode; status != http.StatusOK {
			t.Fatalf("status %d before the stop", status)
		}
		kept = append(kept, connection)
	}
	stopped := make(chan DrainReport, 1)
	go func() {
		report := m.entry.plane.Drain(context.Background())
		_ = m.entry.callers.Config.Shutdown(context.Background())
		stopped <- report
	}()
	eventually(t, "callers are refused", m.entry.plane.closing.Load)
	for _, connection := range kept {
		response := connection.get(t)
		if response.Header.Get("Levertide-Outcome") != "not-run" || !response.Close {
			t.Errorf("status %d, header %v, close %t", response.StatusCode, response.Header, response.Close)
		}
		_ = connection.conn.Close()
	}
	if report := <-stopped; !report.Clean() {
		t.Errorf("report %+v", report)
	}
}
