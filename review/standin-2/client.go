package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// request is one attempt of a client.
type request struct {
	Method, Host, Path string
	TimeoutMS          int
	Extra              []string
	Body               []byte
	Chunked            bool
	ID                 string
}

// result is what the client has seen.
type result struct {
	ID             string
	Status         int
	Header         http.Header
	Body           []byte
	Err            error
	Sent, Answered time.Time
}

func (r result) String() string {
	if r.Err != nil {
		return fmt.Sprintf("%d, then %v", r.Status, r.Err)
	}
	return fmt.Sprintf("%d", r.Status)
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("c%07x%08x", time.Now().UnixNano()&0xfffffff, lastID.Add(1)) }

// bytes returns the request as it is sent.
func (q *request) bytes() []byte {
	if q.ID == "" {
		q.ID = newID()
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", q.Method, q.Path, q.Host, names["request_id"], q.ID, names["timeout"], q.TimeoutMS)
	for _, line := range q.Extra {
		b.WriteString(line + "\r\n")
	}
	switch {
	case q.Chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for rest := q.Body; len(rest) > 0; {
			part := rest[:min(len(rest), 4096)]
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
			rest = rest[len(part):]
		}
		b.WriteString("0\r\n\r\n")
	case q.Body != nil:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(q.Body))
		b.Write(q.Body)
	default:
		b.WriteString("\r\n")
	}
	return b.Bytes()
}

// send sends one request on a new connection and waits for its answer.
func send(address string, q request) result {
	raw := q.bytes()
	out := result{ID: q.ID, Sent: time.Now()}
	deadline := out.Sent.Add(time.Duration(q.TimeoutMS)*time.Millisecond + 2*time.Second)
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		out.Err = err
		return out
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(deadline)
	go func() { _, _ = c.Write(raw) }()
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.Method})
	if err != nil {
		out.Err, out.Answered = err, time.Now()
		return out
	}
	out.Status, out.Header = response.StatusCode, response.Header
	out.Body, out.Err = io.ReadAll(response.Body)
	out.Answered = time.Now()
	return out
}

func filler(n int) []byte { return []byte(strings.Repeat("0123456789abcdef", n/16+1)[:n]) }
