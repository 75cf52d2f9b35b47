package inputs_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/levertide/levertide/platform/standin"
)

const (
	host = "ledger.example"
	// here and beside are the services of the workers beside the first and the second node.
	here, beside = "here", "beside"

	memoryMB, descriptors = 512, 4096

	// inForceTime is the time by which the operators expect a version to be in force.
	inForceTime = 6 * time.Second
	readyTime   = 20 * time.Second
	tryTime     = 2 * time.Second
	pause       = 20 * time.Millisecond
)

var limits = standin.Limits{HeaderBytes: 16384, BodyBytes: 64 << 20, HeaderTimeout: 3000, IdleTimeout: 5000}

var program string

func TestMain(m *testing.M) { standin.Main(m, &program) }

// deployment is a store and two nodes with a worker each.
type deployment struct {
	t       *testing.T
	store   *standin.Store
	network string
	folder  string
	nodes   []*standin.Node
	// version is the last one that was written.
	version int
}

var deployments atomic.Int64

// startStore starts a deployment without nodes.
func startStore(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, network: fmt.Sprintf("127.%d.%d", 8+os.Getpid()%48, deployments.Add(1)), folder: t.TempDir()}
	store, err := standin.StartStore(d.network + ".250")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	d.store = store
	d.configure()
	return d
}

// startNodes starts the nodes and their workers.
func (d *deployment) startNodes() {
	d.t.Helper()
	for _, service := range []string{here, beside} {
		d.startNode(service, len(d.nodes)+1)
	}
	d.mustServe("/write/")
}

// startNode starts a node with a worker of a service, and waits until it is ready.
func (d *deployment) startNode(service string, number int) {
	d.t.Helper()
	template, err := filepath.Abs("../../deploy/levertide.yaml.tmpl")
	if err != nil {
		d.t.Fatal(err)
	}
	id := nodeID(number)
	node, _ := standin.MustStart(d.t, standin.NodeOptions{
		Program: program, Template: template, Folder: d.folder, ID: id, IP: fmt.Sprintf("%s.%d", d.network, number),
		Service: service, Store: d.store.Address, MemoryMB: memoryMB, Descriptors: descriptors,
	}, "i-"+id)
	d.nodes = append(d.nodes, node)
	d.await(node.Ready, readyTime, id+" is not ready")
}

func nodeID(number int) string { return fmt.Sprintf("node-%d", number) }

// configure writes the next good version, which has a route of its own, and returns the route's prefix.
func (d *deployment) configure() string {
	d.version++
	prefix := fmt.Sprintf("/v%d/", d.version)
	d.store.Configure(standin.Document(d.version, host, limits, []standin.Route{
		{Kind: "unsafe", Prefix: "/write/", Service: beside, Timeout: 5000, Target: 1000},
		{Kind: "unsafe", Prefix: "/here/", Service: here, Timeout: 5000, Target: 1000},
		{Kind: "unsafe", Prefix: prefix, Service: beside, Timeout: 5000, Target: 1000},
	}))
	return prefix
}

// mustFollow checks that all nodes live and put the next good version in force in time, and that an
// ordinary request on it is answered.
func (d *deployment) mustFollow(after string) {
	d.t.Helper()
	prefix := d.configure()
	for i := range d.nodes {
		served := func() bool { return d.try(i, prefix) == nil }
		d.await(served, inForceTime, fmt.Sprintf("%s: version %d is not in force at node %d: %v", after, d.version, i+1, d.try(i, prefix)))
	}
	d.mustLive(after)
}

// mustServe checks that an ordinary request is answered at each node.
func (d *deployment) mustServe(path string) {
	d.t.Helper()
	for i := range d.nodes {
		d.await(func() bool { return d.try(i, path) == nil }, readyTime, fmt.Sprintf("%s is not answered at node %d", path, i+1))
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

// try sends a request to a node; nil when it is answered whole.
func (d *deployment) try(node int, path string) error {
	return standin.Request{Method: http.MethodPost, Host: host, Path: path, Timeout: tryTime}.Send(d.nodes[node].Callers)
}
