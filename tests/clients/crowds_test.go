package clients_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/levertide/levertide/platform/standin"
)

// The machines of these tests are small, so that a small crowd is too large for them.
const (
	machineMB = 96
	// fewDescriptors is less than the connections of a crowd, manyDescriptors more than any holds.
	fewDescriptors  = 256
	manyDescriptors = 4096
	members         = 200
	manyMembers     = 700
)

// sendChunks sends a body in chunks of a size, up to a number of bytes, and no end of it.
func sendChunks(conn net.Conn, path, id string, size, total int) {
	if _, err := io.WriteString(conn, head("POST", path, id, "Transfer-Encoding: chunked")); err != nil {
		return
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	// Small chunks go out many at a time, as a client with a buffer sends them.
	const buffered = 16 << 10
	together := max(buffered/len(chunk), 1)
	text := strings.Repeat(chunk, together)
	for sent := 0; sent < total; sent += together * size {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

func TestLargeChunksWithoutEnd(t *testing.T) {
	d := deploy(t, machineMB, manyDescriptors)
	crowd{d: d, address: d.nodes[0].Callers, clients: members, reads: true, play: func(conn net.Conn, id string) {
		sendChunks(conn, "/write/", id, 64<<10, 1000<<10)
	}}.run()
}

func TestSmallChunksWithoutEnd(t *testing.T) {
	d := deploy(t, machineMB, manyDescriptors)
	crowd{d: d, address: d.nodes[0].Callers, clients: members, reads: true, play: func(conn net.Conn, id string) {
		sendChunks(conn, "/write/", id, 8, 1000<<10)
	}}.run()
}

func TestUploadsWithoutEnd(t *testing.T) {
	d := deploy(t, machineMB, manyDescriptors)
	crowd{d: d, address: d.nodes[0].Callers, clients: members, reads: true, play: func(conn net.Conn, id string) {
		sendChunks(conn, "/upload/", id, 32<<10, 1500<<10)
	}}.run()
}

func TestUploadsThatGoOn(t *testing.T) {
	d := deploy(t, machineMB, manyDescriptors)
	crowd{d: d, address: d.nodes[0].Callers, clients: members, reads: true, play: func(conn net.Conn, id string) {
		sendChunks(conn, "/upload/", id, 32<<10, 32<<20)
	}}.run()
}

func TestBodiesThatLackAByte(t *testing.T) {
	d := deploy(t, machineMB, manyDescriptors)
	crowd{d: d, address: d.nodes[0].Callers, clients: members, reads: true, play: func(conn net.Conn, id string) {
		const length = 1 << 20
		_, _ = io.WriteString(conn, head("POST", "/write/", id, fmt.Sprint("Content-Length: ", length))+strings.Repeat("x", length-1))
	}}.run()
}

// pipeline sends requests in a row for answers of a size, and reads none.
func pipeline(conn net.Conn, path, id string, requests, answerBytes int) {
	asked := fmt.Sprint(standin.AnswerBytesHeader, ": ", answerBytes)
	for n := range requests {
		if _, err := io.WriteString(conn, head("GET", path, fmt.Sprint(id, "-", n), asked)); err != nil {
			return
		}
	}
}

func TestAnswersThatNobodyReads(t *testing.T) {
	d := deploy(t, machineMB, manyDescriptors)
	crowd{d: d, address: d.nodes[0].Callers, clients: members, play: func(conn net.Conn, id string) {
		pipeline(conn, "/read/", id, 200, 200<<10)
	}}.run()
}

func TestLongAnswersThatNobodyReads(t *testing.T) {
	d := deploy(t, machineMB, fewDescriptors)
	crowd{d: d, address: d.nodes[0].Callers, clients: members, play: func(conn net.Conn, id string) {
		pipeline(conn, "/read/", id, 1, 8<<20)
	}}.run()
}

func TestPipelinesTakeDescriptors(t *testing.T) {
	d := deploy(t, machineMB, fewDescriptors)
	crowd{d: d, address: d.nodes[0].Callers, clients: members, play: func(conn net.Conn, id string) {
		pipeline(conn, "/read/", id, 200, 20<<10)
	}}.run()
}

// TestHeadsWithoutEnd has a machine with less memory than the others: heads are smaller than bodies.
func TestHeadsWithoutEnd(t *testing.T) {
	const smallMachineMB = 64
	d := deploy(t, smallMachineMB, manyDescriptors)
	crowd{d: d, address: d.nodes[0].Callers, clients: manyMembers, reads: true, play: func(conn net.Conn, id string) {
		_, _ = io.WriteString(conn, "GET /read/ HTTP/1.1\r\nHost: "+host+"\r\nLong: "+strings.Repeat("x", 60000))
	}}.run()
}

func TestSilentConnections(t *testing.T) {
	d := deploy(t, machineMB, fewDescriptors)
	crowd{d: d, address: d.nodes[0].Callers, clients: 2 * members, reads: true, play: func(net.Conn, string) {}}.run()
}

func TestContinueThatNothingFollows(t *testing.T) {
	d := deploy(t, machineMB, fewDescriptors)
	crowd{d: d, address: d.nodes[0].Callers, clients: 2 * members, reads: true, play: func(conn net.Conn, id string) {
		_, _ = io.WriteString(conn, head("POST", "/write/", id, "Content-Length: 1048576", "Expect: 100-continue"))
	}}.run()
}

// TestPlannedStopBesideACrowd stops a node as planned while clients keep it waiting in every way.
func TestPlannedStopBesideACrowd(t *testing.T) {
	d := deploy(t, machineMB, manyDescriptors)
	ctx, leave := context.WithCancel(t.Context())
	var crowds sync.WaitGroup
	for _, play := range []func(conn net.Conn, id string){
		func(net.Conn, string) {},
		func(conn net.Conn, id string) { sendChunks(conn, "/write/", id, 64<<10, 1000<<10) },
		func(conn net.Conn, id string) { sendChunks(conn, "/upload/", id, 32<<10, 1500<<10) },
		func(conn net.Conn, id string) { pipeline(conn, "/read/", id, 200, 200<<10) },
	} {
		c := crowd{d: d, address: d.nodes[0].Callers, clients: members / 4, play: play}
		crowds.Go(func() { c.stay(ctx) })
	}
	time.Sleep(holdTime)
	d.check()
	d.nodes[0].Signal(syscall.SIGTERM)
	d.await(d.nodes[0].Ended, "the node does not end")
	leave()
	crowds.Wait()
	if code := d.nodes[0].ExitCode(); code != 0 {
		t.Errorf("the node ended with %d:\n%s", code, d.nodes[0].Log())
	}
}

// TestCrowdAtAnyListener has silent connections at the listeners that are not for callers.
func TestCrowdAtAnyListener(t *testing.T) {
	for _, listener := range []struct {
		name    string
		address func(n *standin.Node) string
	}{
		{"calls", func(n *standin.Node) string { return n.Calls }},
		{"readiness", func(n *standin.Node) string { return n.Readiness }},
		{"admin", func(n *standin.Node) string { return n.Admin }},
		{"control", func(n *standin.Node) string { return n.Control }},
	} {
		t.Run(listener.name, func(t *testing.T) {
			d := deploy(t, machineMB, fewDescriptors)
			crowd{d: d, address: listener.address(d.nodes[0]), clients: 2 * members, reads: true, play: func(net.Conn, string) {}}.run()
			d.await(d.nodes[0].Ready, "the first node is not ready")
		})
	}
}
