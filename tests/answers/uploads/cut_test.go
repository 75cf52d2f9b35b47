package uploads_test

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/levertide/levertide/platform/standin"
)

const (
	host = "ledger.example"
	// service is that of the worker beside the first node, other that of the one beside the second.
	service, other = "here", "there"

	memoryMB, descriptors = 512, 4096
	readyTime             = 20 * time.Second
	callTime              = 20 * time.Second
	pause                 = 20 * time.Millisecond

	idHeader = "Levertide-Request-Id"
	// playHeader has the play of a request: the number of its head, the length of the part in bytes, the
	// pause in milliseconds, and how the connection ends.
	playHeader = "X-Play"

	plays       = 192
	parallel    = 4
	shortest    = 300 << 10
	longest     = 8 << 20
	longestPart = 70_000
	longestWait = 200
)

var program string

func TestMain(m *testing.M) { standin.Main(m, &program) }

var heads = []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n", "HTTP/1.0 200 OK\r\n"}

// playAnswer answers a request that has a play; the others it leaves to the worker.
func playAnswer(w http.ResponseWriter, r *http.Request) bool {
	var head, part, wait int
	var end string
	if n, _ := fmt.Sscan(r.Header.Get(playHeader), &head, &part, &wait, &end); n != 4 {
		return false
	}
	conn, received, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return true
	}
	defer func() { _ = conn.Close() }()
	id := r.Header.Get(idHeader)
	_, _ = fmt.Fprintf(conn, "%s%s: %s\r\nLevertide-Server-Stamp: w.%s\r\n\r\n%s", heads[head], idHeader, id, id, strings.Repeat("p", part))
	time.Sleep(time.Duration(wait) * time.Millisecond)
	switch end {
	case "reset":
		_ = conn.(*net.TCPConn).SetLinger(0)
	case "half":
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.CopyN(io.Discard, received, r.ContentLength)
	case "read":
		_, _ = io.CopyN(io.Discard, received, r.ContentLength)
	}
	return true
}

// startNodes starts a store, a node beside a worker that plays answers, and a node beside another one.
func startNodes(t *testing.T) []*standin.Node {
	t.Helper()
	network, folder := fmt.Sprintf("127.%d.1", 60+os.Getpid()%48), t.TempDir()
	store, err := standin.StartStore(network + ".250")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	limits := standin.Limits{HeaderBytes: 16384, BodyBytes: 64 << 20, HeaderTimeout: 3000, IdleTimeout: 5000}
	store.Configure(standin.Document(1, host, limits, []standin.Route{
		{Kind: "unsafe", Prefix: "/write/", Service: service, Timeout: 15_000, Target: 5000},
		{Kind: "unsafe", Prefix: "/other/", Service: other, Timeout: 5000, Target: 1000},
	}))
	template, err := filepath.Abs("../../../deploy/levertide.yaml.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	var nodes []*standin.Node
	for i, name := range []string{service, other} {
		node, err := standin.StartNode(standin.NodeOptions{
			Program: program, Template: template, Folder: folder, ID: fmt.Sprintf("node-%d", i+1), IP: fmt.Sprintf("%s.%d", network, i+1),
			Service: name, Store: store.Address, MemoryMB: memoryMB, Descriptors: descriptors,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := node.Close(); err != nil {
				t.Error(err)
			}
		})
		worker, err := standin.NewWorker(standin.WorkerOptions{Service: name, Instance: "i-" + name, Address: node.Worker, Admin: node.Admin, Behave: playAnswer})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(worker.Close)
		nodes = append(nodes, node)
	}
	for _, node := range nodes {
		await(t, node.Ready, node.ID()+" is not ready")
		await(t, func() bool { return upload(node, "", 0).whole() }, node.ID()+" does not serve")
	}
	return nodes
}

func await(t *testing.T, holds func() bool, failure string) {
	t.Helper()
	for end := time.Now().Add(readyTime); !holds(); time.Sleep(pause) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

// result is what a client gets.
type result struct {
	status int
	length int
	err    error
}

// whole reports whether it is a success that looks whole.
func (r result) whole() bool { return r.err == nil && r.status == http.StatusOK }

var lastID atomic.Int64

// upload sends a request to a node.
func upload(node *standin.Node, play string, size int) result {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}}
	client := &http.Client{Timeout: callTime, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPost, "http://"+node.Callers+"/write/", bytes.NewReader(make([]byte, size)))
	if err != nil {
		return result{err: err}
	}
	request.Host = host
	request.Header.Set(idHeader, fmt.Sprintf("c%012x", lastID.Add(1)))
	request.Header.Set("Levertide-Timeout-Ms", "12000")
	request.Header.Set(playHeader, play)
	response, err := client.Do(request)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, length: len(body), err: err}
}

// TestPartOfAnAnswerIsNoWholeAnswer guards against the whole 200 of a part where a worker answers an
// upload at once and ends the connection within it, and against the loss of answers to uploads that were
// read.
func TestPartOfAnAnswerIsNoWholeAnswer(t *testing.T) {
	nodes := startNodes(t)
	random := rand.New(rand.NewPCG(75, 3))
	ends := []string{"reset", "close", "reset", "close", "read", "half"}
	var parts, answers, lost, others atomic.Int64
	group := errgroup.Group{}
	group.SetLimit(parallel)
	for i := range plays {
		end, node := ends[i/3%len(ends)], nodes[i%2]
		part, size := random.IntN(longestPart), shortest+random.IntN(longest-shortest)
		play := fmt.Sprintf("%d %d %d %s", i%len(heads), part, random.IntN(longestWait), end)
		group.Go(func() error {
			got := upload(node, play, size)
			read := end == "read" || end == "half"
			switch {
			case read && (!got.whole() || got.length != part):
				lost.Add(1)
				t.Errorf("%s with %d bytes at %s: %+v for a whole answer", play, size, node.ID(), got)
			case read:
				answers.Add(1)
			case got.whole():
				parts.Add(1)
				t.Errorf("%s with %d bytes at %s: a whole 200 with %d bytes", play, size, node.ID(), got.length)
			default:
				others.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait()
	t.Logf("%d parts as whole answers, %d not; %d whole answers, %d lost", parts.Load(), others.Load(), answers.Load(), lost.Load())
}
