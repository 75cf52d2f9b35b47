// Package testendless holds answers that never end, for tests of what reads answers.
package testendless

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// DropPause is the pause between two pieces of an answer that comes by drops.
const DropPause = 2 * time.Millisecond

// pieceRepeats is how often the repeated text stands in one piece of an answer that comes fast.
const pieceRepeats = 4096

// Form is an answer that never ends: what begins it, and what repeats.
type Form struct {
	// first may hold %s, for header lines.
	first, repeated string
}

// Forms are the forms by name. Those that begin with "head" never come to a body.
var Forms = map[string]Form{
	"head: status line":     {"HTTP/1.1 200 ", "O"},
	"head: no status line":  {"", "x"},
	"head: long line":       {"HTTP/1.1 200 OK\r\n%sX-Long: ", "y"},
	"head: many lines":      {"HTTP/1.1 200 OK\r\n%s", "X-More: y\r\n"},
	"head: interim answers": {"", "HTTP/1.1 103 Early Hints\r\nX-Hint: y\r\n\r\n"},
	"chunk extension":       {"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n1;a=", "z"},
	"chunk extensions":      {"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", "1;a=zzzzzzzz\r\nz\r\n"},
	"chunks":                {"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
	"trailer":               {"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: z\r\n"},
	"trailer: long line":    {"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ", "z"},
	"body without a length": {"HTTP/1.1 200 OK\r\n%s\r\n", "body"},
	"body of a failure":     {"HTTP/1.1 500 Internal Server Error\r\n%s\r\n", "body"},
	"body behind a length":  {"HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", "surplus"},
}

// Refusal returns the form of a refusal with the given mark and a body that never ends.
func Refusal(mark string) Form {
	return Form{"HTTP/1.1 503 Service Unavailable\r\n%s" + mark + "\r\n\r\n", "body"}
}

const (
	// wirePerByte is how many bytes net/http reads at most for one byte of a body: a chunk may
	// have 16 bytes beside its size and ends, and two for each of its own.
	wirePerByte = 20
	// slack is what may be read beyond a limit: a piece of an answer, and buffers.
	slack = 256 << 10
)

// MostRead returns how many bytes of the named form may be read where heads and bodies are limited
// to the given numbers of bytes.
func MostRead(name string, head, body int64) int64 {
	if strings.HasPrefix(name, "head:") {
		return head + slack
	}
	return head + wirePerByte*body + slack
}

// Write writes the form with header lines until the connection takes no more, fast or by drops. It
// returns how many bytes the connection has taken.
func (f Form) Write(conn io.Writer, lines string, drops bool) int64 {
	text := f.first
	if strings.Contains(text, "%s") {
		text = fmt.Sprintf(text, lines)
	}
	piece := f.repeated
	if !drops {
		piece = strings.Repeat(piece, pieceRepeats)
	}
	var written int64
	for {
		n, err := io.WriteString(conn, text+piece)
		written += int64(n)
		if err != nil {
			return written
		}
		text = ""
		if drops {
			time.Sleep(DropPause)
		}
	}
}

// Server answers each request with a form, over connections that buffer nothing.
type Server struct {
	form  Form
	drops bool
	// Answered counts the answers that it has begun, Open those that the other side still takes,
	// Written the bytes that were taken.
	Answered, Open, Written atomic.Int64
}

// New returns a server that writes the form fast or by drops.
func New(form Form, drops bool) *Server { return &Server{form: form, drops: drops} }

// Dial opens a connection to the server, whatever the address.
func (s *Server) Dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go s.answer(server)
	return client, nil
}

func (s *Server) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	s.Answered.Add(1)
	s.Open.Add(1)
	s.Written.Add(s.form.Write(conn, "", s.drops))
	s.Open.Add(-1)
}
