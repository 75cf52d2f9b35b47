// Package testheads holds answers whose heads are not HTTP, for tests of what reads answers.
package testheads

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
)

// oddBytes are bytes that no name of a field has.
const oddBytes = "\x00\x01\x02\x03\x04\x05\x06\x07\x08\x09\x0a\x0b\x0c\x0d\x0e\x0f\x10\x11\x12\x13\x14\x15\x16\x17\x18\x19\x1a\x1b\x1c\x1d\x1e\x1f " +
	"\"(),/:;<=>?@[\\]{}\x7f\x80\xff"

// taken are the odd lines that net/http takes as they are.
var taken = []string{
	"Na me: odd", "X-Odd : odd", "Content-Length : 1", "Transfer-Encoding : chunked", "Set-Cookie : odd", "Content Length: 1",
	"X-Limit : 1", "X-Not-Run : 1",
}

// folded are lines of which the last is folded.
var folded = []string{"X-Odd: odd\r\n b", "X-Odd: odd\r\n\tb", "X-Odd: odd\r\n ", "X-Odd: odd\r\n  X-Limit: 1", "X-Odd: odd\n b", "X-Odd:\r\n odd", "X-Odd: odd\r\n\t\r\nX-B: b"}

// Places are the parts of an answer that have lines.
var Places = []string{"final head", "interim head", "trailer"}

// Statuses are statuses that no final answer has, and no interim one that a request without an upgrade
// may get.
func Statuses() []string {
	statuses := []string{"101", "600", "999"}
	for status := range 100 {
		statuses = append(statuses, fmt.Sprintf("%03d", status))
	}
	return statuses
}

// Answer is an answer whose head is not HTTP.
type Answer struct {
	// Name says what is odd, and where.
	Name string
	// Text is the whole answer.
	Text string
}

// Answers returns answers with each odd line at each place. The fields, each with its line end, and the
// body are those of an answer that is HTTP but for that.
func Answers(fields, body string) []Answer {
	var answers []Answer
	for _, line := range slices.Concat(lines(), taken) {
		for _, place := range Places {
			answers = append(answers, at(place, fields, line, body))
		}
	}
	for _, line := range folded {
		answers = append(answers, at(Places[0], fields, line, body), at(Places[1], fields, line, body))
	}
	return answers
}

// Taken returns those of Answers that net/http takes as they are.
func Taken(fields, body string) []Answer {
	var answers []Answer
	for _, line := range taken {
		for _, place := range Places {
			answers = append(answers, at(place, fields, line, body))
		}
	}
	for _, line := range folded {
		answers = append(answers, at(Places[0], fields, line, body), at(Places[1], fields, line, body))
	}
	return answers
}

// lines are lines with an odd byte at the start, in the middle and at the end of a name.
func lines() []string {
	var lines []string
	for i := range len(oddBytes) {
		odd := oddBytes[i : i+1]
		if odd != "\n" { // ends the head
			lines = append(lines, odd+"Name: odd")
		}
		if odd != ":" { // ends the name
			lines = append(lines, "Na"+odd+"me: odd", "Name"+odd+": odd")
		}
	}
	return lines
}

func at(place, fields, line, body string) Answer {
	a := Answer{Name: fmt.Sprintf("%q in the %s", line, place)}
	final := "HTTP/1.1 200 OK\r\n" + fields
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	switch place {
	case Places[0]:
		a.Text = final + line + "\r\n" + length
	case Places[1]:
		a.Text = "HTTP/1.1 103 Early Hints\r\nX-Early: 1\r\n" + line + "\r\n\r\n" + final + length
	default:
		a.Text = final + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n\r\n", len(body), body, line)
	}
	return a
}

// WithStatus returns an answer with the given status.
func WithStatus(status, fields, body string) Answer {
	text := fmt.Sprintf("HTTP/1.1 %s Odd\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
	return Answer{Name: "status " + status, Text: text}
}

// Serve answers each request with a text, and returns the address at which it does until the test ends.
func Serve(t testing.TB, answer func(r *http.Request) string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn, answer)
		}
	}()
	return listener.Addr().String()
}

func serve(conn net.Conn, answer func(r *http.Request) string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if _, err := io.Copy(conn, strings.NewReader(answer(r))); err != nil {
			return
		}
	}
}

// RequestLines are the odd lines for the head of a request.
func RequestLines() []string { return slices.Concat(lines(), taken, folded) }

// ServeTLS is Serve over TLS, with a certificate that no authority has signed. It returns the server.
func ServeTLS(t testing.TB, answer func(r *http.Request) string) *httptest.Server {
	t.Helper()
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, answer(r))
	}))
	t.Cleanup(server.Close)
	return server
}
