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
	// whole is set when what comes first is an answer that is whole without the rest.
	whole bool
}

// Whole reports whether what the form begins with is an answer that is whole without the rest.
func (f Form) Whole() bool { return f.whole }

// chunked begins an answer whose body comes in chunks.
const chunked = "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n"

// Forms are the forms by name. Those that begin with "head" never come to a body.
var Forms = map[string]Form{
	"head: status line":      {first: "HTTP/1.1 200 ", repeated: "O"},
	"head: status":           {first: "HTTP/1.1 2", repeated: "0"},
	"head: no status line":   {repeated: "x"},
	"head: zeros":            {repeated: "\x00"},
	"head: lines":            {repeated: "line\n"},
	"head: blank lines":      {repeated: "\r\n"},
	"head: long line":        {first: "HTTP/1.1 200 OK\r\n%sX-Long: ", repeated: "y"},
	"head: long name":        {first: "HTTP/1.1 200 OK\r\n%sX-", repeated: "y"},
	"head: many lines":       {first: "HTTP/1.1 200 OK\r\n%s", repeated: "X-More: y\r\n"},
	"head: folded lines":     {first: "HTTP/1.1 200 OK\r\n%sX-Long: y", repeated: "\r\n y"},
	"head: interim answers":  {repeated: "HTTP/1.1 103 Early Hints\r\nX-Hint: y\r\n\r\n"},
	"head: continue":         {repeated: "HTTP/1.1 100 Continue\r\n\r\n"},
	"chunk size":             {first: chunked, repeated: "0"},
	"chunk extension":        {first: chunked + "1;a=", repeated: "z"},
	"chunk extensions":       {first: chunked, repeated: "1;a=zzzzzzzz\r\nz\r\n"},
	"chunks":                 {first: chunked, repeated: "4\r\nbody\r\n"},
	"chunk of 2^63-1":        {first: chunked + "7fffffffffffffff\r\n", repeated: "body"},
	"trailer":                {first: chunked + "0\r\n", repeated: "X-Trailer: z\r\n"},
	"trailer: long line":     {first: chunked + "0\r\nX-Trailer: ", repeated: "z"},
	"body without a length":  {first: "HTTP/1.1 200 OK\r\n%s\r\n", repeated: "body"},
	"body of HTTP/1.0":       {first: "HTTP/1.0 200 OK\r\n%s\r\n", repeated: "body"},
	"body of a failure":      {first: "HTTP/1.1 500 Internal Server Error\r\n%s\r\n", repeated: "body"},
	"body of 503":            {first: "HTTP/1.1 503 Service Unavailable\r\n%s\r\n", repeated: "body"},
	"body of 2^63-1":         {first: "HTTP/1.1 200 OK\r\n%sContent-Length: 9223372036854775807\r\n\r\n", repeated: "body"},
	"failure of 9 GB":        {first: "HTTP/1.1 500 Internal Server Error\r\n%sContent-Length: 9000000000\r\n\r\n", repeated: "body"},
	"body behind a length":   {first: "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", repeated: "surplus", whole: true},
	"body behind 204":        {first: "HTTP/1.1 204 No Content\r\n%s\r\n", repeated: "body", whole: true},
	"body behind 304":        {first: "HTTP/1.1 304 Not Modified\r\n%s\r\n", repeated: "body", whole: true},
	"answers behind another": {first: "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", repeated: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", whole: true},
}

// Misdirected is the form of an answer by which a worker says that it is not the one that was asked, with a
// body that never ends. It gets no calls for a while after that.
var Misdirected = Form{first: "HTTP/1.1 421 Misdirected Request\r\n%s\r\n", repeated: "body"}

// Refusal returns the form of a refusal with the given mark and a body that never ends.
func Refusal(mark string) Form {
	return Form{first: "HTTP/1.1 503 Service Unavailable\r\n%s" + mark + "\r\n\r\n", repeated: "body"}
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
