package httpconn

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/testwait"
)

// TestSinceReceivedCountsFromTheLastBytes has a connection that waits silently, and then with bytes
// that nobody reads.
func TestSinceReceivedCountsFromTheLastBytes(t *testing.T) {
	const wait = 100 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	time.Sleep(wait)
	if silent := SinceReceived(conn); silent != 0 {
		t.Errorf("%v without a byte", silent)
	}
	sent := time.Now()
	if _, err := io.WriteString(client, "GET"); err != nil {
		t.Fatal(err)
	}
	testwait.Eventually(t, "the bytes lie unread for long", func() bool { return SinceReceived(conn) >= wait })
	if since, most := SinceReceived(conn), time.Since(sent)+wait/2; since > most {
		t.Errorf("%v since the bytes, sent %v ago", since, most)
	}
}
