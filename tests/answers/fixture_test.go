package answers_test

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/levertide/levertide/platform/standin"
)

const (
	host = "ledger.example"
	// here and faulty are the services of the workers beside the first and the second node, elsewhere
	// that of another one.
	here, faulty, elsewhere = "here", "faulty", "elsewhere"

	// memoryMB and descriptors are those of a machine of the deployments.
	memoryMB, descriptors = 284, 4096
	bytesPerMB            = 1 << 20

	headerRequestID = "Levertide-Request-Id"
	headerTimeout   = "Levertide-Timeout-Ms"
	// headerPlay has the number of the play that a request is answered with.
	headerPlay = "Play"
	// markOfOther is in the head of what is played.
	markOfOther = "Played"

	// playTimeout bounds a request that is answered by a play, ordinaryTimeout any other, in
	// milliseconds.
	playTimeout, ordinaryTimeout = 1000, 5000

	readyTime = 20 * time.Second
	// inForceTime is the time by which the operators expect a version to be in force.
	inForceTime = 6 * time.Second
	// endTime is the time by which a node has closed the connection of a play.
	endTime       = 20 * time.Second
	pause         = 20 * time.Millisecond
	ordinaryPause = 100 * time.Millisecond
)

var allForms = flag.Bool("all-forms", false, "play each form alone, too")

var limits = standin.Limits{HeaderBytes: 16384, BodyBytes: 64 << 20, HeaderTimeout: 3000, IdleTimeout: 5000}

var program string

func TestMain(m *testing.M) { standin.Main(m, &program) }

// deployment is a store and two nodes with a worker each, the second of which is faulty.
type deployment struct {
	t       *testing.T
	store   *standin.Store
	network string
	folder  string
	nodes   []*standin.Node
	peaks   *standin.Peaks
	version int
	plays   []play

	mu sync.Mutex
	// begun and ended count, by the name of a play, how often it began and the other side closed its
	// connection.
	begun, ended map[string]int
	// closed has for the id of a request a channel that is closed when the connection of its play is.
	closed map[string]chan struct{}
}

var deployments atomic.Int64

// startStore starts a deployment without nodes.
func startStore(t *testing.T, plays []play) *deployment {
	t.Helper()
	d := &deployment{
		t: t, network: fmt.Sprintf("127.%d.%d", 200+os.Getpid()%48, deployments.Add(1)), folder: t.TempDir(), plays: plays,
		begun: map[string]int{}, ended: map[string]int{}, closed: map[string]chan struct{}{},
	}
	store, err := standin.StartStore(d.network + ".250")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	d.store = store
	d.configure()
	return d
}

// start starts a deployment whose second worker answers as bare says.
func start(t *testing.T, plays []play, bare func(d *deployment, r *http.Request) func(net.Conn)) *deployment {
	t.Helper()
	d := startStore(t, plays)
	d.startNodes(bare)
	return d
}

// startNodes starts the nodes and their workers, the second of which answers as bare says.
func (d *deployment) startNodes(bare func(d *deployment, r *http.Request) func(net.Conn)) {
	d.t.Helper()
	d.startNode(here, nil)
	d.startNode(faulty, bare)
	d.mustServe("/here/")
	d.mustServe("/read/")
	d.peaks = standin.WatchPeaks(d.nodes)
	d.t.Cleanup(func() { d.peaks.Stop() })
}

// startNode starts a node with a worker of a service, and waits until it is ready.
func (d *deployment) startNode(service string, bare func(d *deployment, r *http.Request) func(net.Conn)) {
	d.t.Helper()
	template, err := filepath.Abs("../../deploy/levertide.yaml.tmpl")
	if err != nil {
		d.t.Fatal(err)
	}
	id := "node-" + service
	node, err := standin.StartNode(standin.NodeOptions{
		Program: program, Template: template, Folder: d.folder, ID: id, IP: fmt.Sprintf("%s.%d", d.network, len(d.nodes)+1),
		Service: service, Store: d.store.Address, MemoryMB: memoryMB, Descriptors: descriptors,
	})
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() {
		if err := node.Close(); err != nil {
			d.t.Error(err)
		}
	})
	options := standin.WorkerOptions{Service: service, Instance: "i-" + service, Address: node.Worker, Admin: node.Admin, Slots: 2 * atOnce}
	if bare != nil {
		options.Bare = func(r *http.Request) func(net.Conn) { return bare(d, r) }
	}
	worker, err := standin.NewWorker(options)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(worker.Close)
	d.nodes = append(d.nodes, node)
	d.await(node.Ready, readyTime, id+" is not ready")
}

// configure writes the next version, which has a route of its own, and returns the route's prefix.
func (d *deployment) configure() string {
	d.version++
	prefix := fmt.Sprintf("/v%d/", d.version)
	d.store.Configure(standin.Document(d.version, host, limits, []standin.Route{
		{Kind: "safe", Prefix: "/here/", Service: here, Timeout: ordinaryTimeout, Target: playTimeout},
		{Kind: "safe", Prefix: "/read/", Service: faulty, Timeout: playTimeout, Target: playTimeout},
		{Kind: "unsafe", Prefix: "/write/", Service: faulty, Timeout: playTimeout, Target: playTimeout},
		{Kind: "upload", Prefix: "/upload/", Service: faulty, Timeout: playTimeout, Target: playTimeout},
		{Kind: "safe", Prefix: "/elsewhere/", Service: elsewhere, Timeout: playTimeout, Target: playTimeout},
		{Kind: "unsafe", Prefix: prefix, Service: here, Timeout: ordinaryTimeout, Target: playTimeout},
	}))
	return prefix
}

// mustFollow checks that the nodes put the next version in force in time.
func (d *deployment) mustFollow(after string) {
	d.t.Helper()
	prefix := d.configure()
	for i := range d.nodes {
		d.await(func() bool { return d.try(i, prefix) == nil }, inForceTime, fmt.Sprintf("%s: version %d is not in force at node %d", after, d.version, i+1))
	}
}

// mustServe checks that an ordinary request is answered at each node.
func (d *deployment) mustServe(path string) {
	d.t.Helper()
	for i := range d.nodes {
		d.await(func() bool { return d.try(i, path) == nil }, readyTime, fmt.Sprintf("%s is not answered at node %d", path, i+1))
	}
}

// await waits for a condition while all nodes live.
func (d *deployment) await(holds func() bool, bound time.Duration, failure string) {
	d.t.Helper()
	for end := time.Now().Add(bound); !holds(); time.Sleep(pause) {
		d.mustLive(failure)
		if time.Now().After(end) {
			for i, node := range d.nodes {
				d.t.Logf("log of node %d:\n%s", i+1, node.Log())
			}
			d.t.Fatal(failure)
		}
	}
}

func (d *deployment) mustLive(after string) {
	d.t.Helper()
	for i, node := range d.nodes {
		if node.Ended() {
			d.t.Fatalf("%s: node %d has ended with exit code %d:\n%s", after, i+1, node.ExitCode(), node.Log())
		}
		if log := node.Log(); strings.Contains(log, "panic") {
			d.t.Fatalf("%s: node %d has panicked:\n%s", after, i+1, log)
		}
	}
}

// check checks that the nodes live and have stayed within their machines, and that all connections of
// plays are closed.
func (d *deployment) check() {
	d.t.Helper()
	d.mustLive("after the plays")
	d.checkPeaks()
	d.mustClose()
}

// checkPeaks ends the watch of what the nodes hold, and checks that they have stayed within their machines.
func (d *deployment) checkPeaks() {
	d.t.Helper()
	for i, peak := range d.peaks.Stop() {
		held := peak.Memory + peak.Queued
		d.t.Logf("node %d: peak of memory %d MB, of queued bytes %d MB, of descriptors %d", i+1, peak.Memory/bytesPerMB, peak.Queued/bytesPerMB, peak.Descriptors)
		if held > memoryMB*bytesPerMB {
			d.t.Errorf("node %d held %d MB, its machine has %d", i+1, held/bytesPerMB, memoryMB)
		}
		if peak.Descriptors >= descriptors {
			d.t.Errorf("node %d had %d descriptors, all there are", i+1, peak.Descriptors)
		}
	}
}

// mustClose checks that all connections of plays are closed in the end.
func (d *deployment) mustClose() {
	d.t.Helper()
	var open []string
	closed := func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		open = open[:0]
		for name, begun := range d.begun {
			if d.ended[name] < begun {
				open = append(open, name)
			}
		}
		return len(open) == 0
	}
	for end := time.Now().Add(endTime); !closed(); time.Sleep(pause) {
		if time.Now().After(end) {
			d.t.Fatalf("connections are still open: %q", open)
		}
	}
}

// mustHavePlayed checks that each play was begun.
func (d *deployment) mustHavePlayed() {
	d.t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.plays {
		if d.begun[p.name] == 0 {
			d.t.Errorf("%s was never played", p.name)
		}
	}
}

// perform plays on a connection until the other side closes it. Lines are those of the head.
func (d *deployment) perform(p play, id, lines string) func(net.Conn) {
	return func(conn net.Conn) {
		d.mu.Lock()
		d.begun[p.name]++
		d.mu.Unlock()
		p.form.Write(conn, markOfOther+": 1\r\n"+lines, p.drops)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.ended[p.name]++
		if closed, waited := d.closed[id]; waited {
			close(closed)
			delete(d.closed, id)
		}
	}
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("c%012x", lastID.Add(1)) }

// dial opens a connection of a client, from an address that no node has.
func dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}}
	return dialer.Dial("tcp", address)
}

// head returns the head of a request.
func head(method, path, id string, extra ...string) string {
	lines := append([]string{
		method + " " + path + " HTTP/1.1", "Host: " + host, headerRequestID + ": " + id, fmt.Sprintf("%s: %d", headerTimeout, ordinaryTimeout),
	}, extra...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// try sends an ordinary request to a node; nil when it is answered whole and in time.
func (d *deployment) try(node int, path string) error {
	conn, err := dial(d.nodes[node].Callers)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(ordinaryTimeout * time.Millisecond))
	id := newID()
	if _, err := io.WriteString(conn, head(http.MethodGet, path, id)); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	answer, err := io.ReadAll(response.Body)
	if err == nil && (response.StatusCode != http.StatusOK || string(answer) != id) {
		err = fmt.Errorf("status %d, %q", response.StatusCode, answer)
	}
	return err
}
