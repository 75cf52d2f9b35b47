package dataplane

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

var refusedShapes = map[string]string{
	"both lengths":         "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"both, other order":    "POST / HTTP/1.1\r\nHost: a\r\ntransfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n",
	"two lengths":          "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx",
	"length list":          "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1, 1\r\n\r\nx",
	"signed length":        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\nx",
	"folded coding":        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n",
	"space before colon":   "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
	"bare line feed":       "POST / HTTP/1.1\nHost: a\nContent-Length: 1\n\nx",
	"coding in HTTP/1.0":   "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"no colon":             "POST / HTTP/1.1\r\nHost: a\r\nContent-Length\r\n\r\n",
	"bad chunk size":       "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0x1\r\nx\r\n0\r\n\r\n",
	"chunk without an end": "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n0\r\n\r\n",
}

var acceptedShapes = map[string]string{
	"get":          "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
	"length":       "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
	"chunks":       "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n\r\n3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nX-Sum: 1\r\n\r\n",
	"long header":  "GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("x", 3000) + "\r\n\r\n",
	"empty length": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
}

// feedAll feeds a stream in parts of one size.
func feedAll(stream string, size int) (*framingCheck, bool) {
	check := &framingCheck{}
	for len(stream) > 0 {
		n := min(size, len(stream))
		if !check.feed([]byte(stream[:n])) {
			return check, false
		}
		stream = stream[n:]
	}
	return check, true
}

func TestShapesOfFraming(t *testing.T) {
	for _, size := range []int{1, 2, 7, 1 << 20} {
		for name, stream := range refusedShapes {
			if _, ok := feedAll(stream, size); ok {
				t.Errorf("%s passed in parts of %d", name, size)
			}
		}
		whole := ""
		for name, stream := range acceptedShapes {
			check, ok := feedAll(stream, size)
			if !ok || check.part != partRequestLine {
				t.Errorf("%s in parts of %d: %t, part %d", name, size, ok, check.part)
			}
			whole += stream
		}
		if check, ok := feedAll(whole+whole, size); !ok || check.part != partRequestLine {
			t.Errorf("all in a row in parts of %d: %t", size, ok)
		}
	}
}

func TestRefusedShapesGetAnAnswer(t *testing.T) {
	var served atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) })}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(CheckedListener(listener))
	}()
	defer func() {
		_ = server.Close()
		<-done
	}()
	for _, name := range []string{"both lengths", "two lengths", "bare line feed", "folded coding"} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, acceptedShapes["get"])
		lines := bufio.NewReader(conn)
		if first, err := http.ReadResponse(lines, nil); err != nil || first.StatusCode != http.StatusOK {
			t.Fatalf("%s: the request before it: %v", name, err)
		}
		_, _ = io.WriteString(conn, refusedShapes[name])
		response, err := http.ReadResponse(lines, nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if response.StatusCode != http.StatusBadRequest || response.Header.Get("Levertide-Outcome") != "not-run" || !response.Close {
			t.Errorf("%s: %s %v", name, response.Status, response.Header)
		}
		_ = conn.Close()
	}
	if served.Load() != 4 {
		t.Errorf("%d requests were served, want the 4 good ones", served.Load())
	}
}

// serverRequests reads a stream as net/http does and returns where each whole
// request ends, until the first that it refuses.
func serverRequests(stream []byte) []int {
	source := bytes.NewReader(stream)
	lines := bufio.NewReader(source)
	var ends []int
	for {
		request, err := http.ReadRequest(lines)
		if err != nil {
			return ends
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return ends
		}
		ends = append(ends, len(stream)-source.Len()-lines.Buffered())
	}
}

// FuzzFraming compares the check with net/http: in a stream that the check
// accepts both must agree on where each request ends.
func FuzzFraming(f *testing.F) {
	for _, stream := range refusedShapes {
		f.Add([]byte(stream))
	}
	for _, stream := range acceptedShapes {
		f.Add([]byte(stream + acceptedShapes["chunks"]))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		check := &framingCheck{}
		start := 0
		for _, end := range serverRequests(stream) {
			if !check.feed(stream[start:end]) || check.part == partUnchecked {
				return
			}
			if check.part != partRequestLine {
				t.Fatalf("net/http sees the end of a request at %d, the check is in part %d", end, check.part)
			}
			start = end
		}
	})
}

func BenchmarkFraming(b *testing.B) {
	request := []byte("GET /books/7 HTTP/1.1\r\nHost: books.example\r\nUser-Agent: caller/1.0\r\n" +
		"Accept: */*\r\nAccept-Encoding: gzip\r\nAuthorization: Bearer 0123456789abcdef\r\n\r\n")
	check := &framingCheck{}
	b.ReportAllocs()
	for b.Loop() {
		if !check.feed(request) {
			b.Fatal("refused")
		}
	}
}

func TestCheckedListenerKeepsTheStateOfTLS(t *testing.T) {
	certificate := httptest.NewUnstartedServer(nil)
	certificate.StartTLS()
	defer certificate.Close()
	versions := make(chan uint16, 1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.TLS != nil && r.TLS.HandshakeComplete {
			versions <- r.TLS.Version
			return
		}
		versions <- 0
	}))
	server.Listener = CheckedListener(tls.NewListener(server.Listener, certificate.TLS))
	server.Start()
	defer server.Close()
	client := certificate.Client()
	defer client.CloseIdleConnections()
	response, err := client.Get("https://" + server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if got := <-versions; got != tls.VersionTLS13 {
		t.Errorf("the handler saw TLS version %#x", got)
	}
}
