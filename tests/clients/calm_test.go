package clients_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestClientsInsideTheLimitsAreServed has single clients at the limits of the operators.
func TestClientsInsideTheLimitsAreServed(t *testing.T) {
	d := deploy(t, machineMB, fewDescriptors)
	milliseconds := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	longest := strings.Repeat("x", limits.BodyBytes)
	for _, request := range []struct {
		name, path string
		send       func(w io.Writer, path, id string)
	}{
		{"a byte a chunk", "/write/", func(w io.Writer, path, id string) {
			sendChunked(w, path, id, strings.Repeat("x", 100_000), 1)
		}},
		{"the largest body in chunks", "/upload/", func(w io.Writer, path, id string) { sendChunked(w, path, id, longest, 32<<10) }},
		{"the largest body", "/upload/", func(w io.Writer, path, id string) {
			_, _ = io.WriteString(w, head("POST", path, id, fmt.Sprint("Content-Length: ", len(longest)))+longest)
		}},
		{"the largest head", "/read/", func(w io.Writer, path, id string) {
			rest := limits.HeaderBytes - len(head("GET", path, id, "Long: "))
			_, _ = io.WriteString(w, head("GET", path, id, "Long: "+strings.Repeat("x", rest)))
		}},
		{"a slow head", "/read/", func(w io.Writer, path, id string) {
			text := head("GET", path, id)
			_, _ = io.WriteString(w, text[:10])
			time.Sleep(milliseconds(limits.HeaderTimeout * 4 / 5))
			_, _ = io.WriteString(w, text[10:])
		}},
		{"a slow body", "/write/", func(w io.Writer, path, id string) {
			_, _ = io.WriteString(w, head("POST", path, id, "Content-Length: 10")+"12345")
			time.Sleep(2 * time.Second)
			_, _ = io.WriteString(w, "67890")
		}},
		{"a slow upload", "/upload/", func(w io.Writer, path, id string) {
			const parts, partBytes, pause = 29, 7 << 10, 500 * time.Millisecond
			_, _ = io.WriteString(w, head("POST", path, id, fmt.Sprint("Content-Length: ", parts*partBytes)))
			for range parts {
				time.Sleep(pause)
				_, _ = io.WriteString(w, strings.Repeat("x", partBytes))
			}
		}},
	} {
		t.Run(request.name, func(t *testing.T) {
			conn, err := dial(d.nodes[0].Callers)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			id := newID()
			go request.send(conn, request.path, id)
			if status, err := readAnswer(bufio.NewReader(conn), id); status != http.StatusOK || err != nil {
				t.Errorf("%d, %v", status, err)
			}
		})
	}
	t.Run("a connection that rests", func(t *testing.T) {
		conn, err := dial(d.nodes[0].Callers)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		r := bufio.NewReader(conn)
		for range 2 {
			id := newID()
			_, _ = io.WriteString(conn, head("GET", "/read/", id))
			if status, err := readAnswer(r, id); status != http.StatusOK || err != nil {
				t.Fatalf("%d, %v", status, err)
			}
			time.Sleep(milliseconds(limits.IdleTimeout * 4 / 5))
		}
	})
	d.check()
}

// sendChunked sends a whole body in chunks of a size.
func sendChunked(w io.Writer, path, id, body string, size int) {
	buffered := bufio.NewWriterSize(w, 64<<10)
	defer func() { _ = buffered.Flush() }()
	_, _ = io.WriteString(buffered, head("POST", path, id, "Transfer-Encoding: chunked"))
	for len(body) > 0 {
		n := min(size, len(body))
		_, _ = fmt.Fprintf(buffered, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	_, _ = io.WriteString(buffered, "0\r\n\r\n")
}
