package addresses_test

import (
	"cmp"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/levertide/levertide/platform/standin"
)

const (
	host = "ledger.example"

	memoryMB, descriptors = 284, 4100

	// servedTime is the time by which the users expect each service to be served after all nodes were lost,
	// the store included.
	servedTime = 10 * time.Second
	// heldTime is for how long it must then stay served: a few heartbeats of each writer.
	heldTime  = 2500 * time.Millisecond
	readyTime = 30 * time.Second
	tryTime   = time.Second
	pause     = 20 * time.Millisecond
	// lastBytes is how much of the end of a log is shown.
	lastBytes = 6000
)

// services are those of the workers, one beside each node.
var services = []string{"ledger", "parcels", "stock"}

// Flags of the long form, and for a program that was built before, as of another commit.
var (
	seeds     = flag.Int("seeds", 1, "number of drawn plays")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first one")
	restarts  = flag.Int("restarts", 2, "losses of all nodes in each of them")
	program   = flag.String("program", "", "path of a levertided that was built before")
)

// TestMain builds the program with the race detector when the test has it.
func TestMain(m *testing.M) {
	var flags []string
	if info, ok := debug.ReadBuildInfo(); ok && slices.Contains(info.Settings, debug.BuildSetting{Key: "-race", Value: "true"}) {
		flags = append(flags, "-race")
	}
	standin.Main(m, program, flags...)
}

// place is a machine: a node and the worker beside it.
type place struct {
	node   *standin.Node
	worker *standin.Worker
	// instance is the identifier of the worker.
	instance string
}

// deployment is a store and the machines.
type deployment struct {
	t      *testing.T
	store  *standin.Store
	places []*place
	// plain is how long a restart without another writer took.
	plain time.Duration
}

var deployments atomic.Int64

// deploy starts a deployment in which all services are served, and loses all nodes once.
func deploy(t *testing.T) *deployment {
	t.Helper()
	network := fmt.Sprintf("127.%d.%d", 192+os.Getpid()%32, deployments.Add(1))
	store, err := standin.StartStore(network + ".250")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	d := &deployment{t: t, store: store}
	template, err := filepath.Abs("../../deploy/levertide.yaml.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	d.configure(1)
	folder := t.TempDir()
	t.Cleanup(d.close)
	for i, service := range services {
		node, err := standin.StartNode(standin.NodeOptions{
			Program: *program, Template: template, Folder: folder, ID: fmt.Sprintf("node-%d", i+1), IP: fmt.Sprintf("%s.%d", network, i+1),
			Service: service, Store: store.Address, MemoryMB: memoryMB, Descriptors: descriptors,
		})
		if err != nil {
			t.Fatal(err)
		}
		p := &place{node: node, instance: fmt.Sprintf("i-%08x", i+1)}
		d.places = append(d.places, p)
		if p.worker, err = standin.StartWorker(service, p.instance, node.Worker, node.Admin); err != nil {
			t.Fatal(err)
		}
	}
	d.mustBeServed("the start", readyTime)
	d.plain = d.mustReturn("a plain restart")
	return d
}

func (d *deployment) close() {
	for _, p := range d.places {
		if err := p.node.Close(); err != nil {
			d.t.Error(err)
		}
		p.worker.Close()
	}
}

// configure writes a version with a route to each service.
func (d *deployment) configure(version int) {
	var routes []standin.Route
	for _, service := range services {
		routes = append(routes, standin.Route{Kind: "safe", Prefix: "/" + service + "/", Service: service, Timeout: 5000, Target: 1000})
	}
	d.store.Configure(standin.Document(version, host, standin.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderTimeout: 3000, IdleTimeout: 5000}, routes))
}

// killAll ends all nodes at once.
func (d *deployment) killAll() {
	for _, p := range d.places {
		p.node.Signal(syscall.SIGKILL)
	}
	for _, p := range d.places {
		<-p.node.Done()
	}
}

// startAll starts all nodes that have been killed.
func (d *deployment) startAll() {
	d.t.Helper()
	for _, p := range d.places {
		next, err := p.node.Next()
		if err != nil {
			d.t.Fatal(err)
		}
		p.node = next
	}
}

// mustReturn kills all nodes and starts them again. It returns how long it took from the loss until each
// service was served at each node, and checks that they stay served.
func (d *deployment) mustReturn(what string) time.Duration {
	d.t.Helper()
	killed := time.Now()
	d.killAll()
	d.startAll()
	d.mustBeServed(what, servedTime)
	took := time.Since(killed).Round(time.Millisecond)
	d.mustStayServed(what)
	d.t.Logf("%s: served again after %v (a plain restart: %v)", what, took, cmp.Or(d.plain, took))
	return took
}

// mustBeServed waits until each service is served at each node.
func (d *deployment) mustBeServed(what string, bound time.Duration) {
	d.t.Helper()
	end := time.Now().Add(bound)
	for {
		failures := d.tryAll()
		if len(failures) == 0 {
			return
		}
		d.mustLive(what)
		if time.Now().After(end) {
			d.showLogs()
			d.t.Fatalf("%s: not served within %v: %s", what, bound, strings.Join(failures, "; "))
		}
		time.Sleep(pause)
	}
}

// mustStayServed checks for a while that each service is served at each node.
func (d *deployment) mustStayServed(what string) {
	d.t.Helper()
	tried, failed := 0, []string(nil)
	for end := time.Now().Add(heldTime); time.Now().Before(end); time.Sleep(pause) {
		tried += len(services) * len(d.places)
		failed = append(failed, d.tryAll()...)
	}
	d.mustLive(what)
	if len(failed) > 0 {
		d.showLogs()
		d.t.Fatalf("%s: does not stay served, %d of %d requests: %s", what, len(failed), tried, failed[0])
	}
}

func (d *deployment) mustLive(what string) {
	d.t.Helper()
	for _, p := range d.places {
		if p.node.Ended() {
			d.showLogs()
			d.t.Fatalf("%s: %s has ended by itself, exit code %d", what, p.node.ID(), p.node.ExitCode())
		}
		for _, sign := range []string{"panic", "DATA RACE"} {
			if strings.Contains(p.node.Log(), sign) {
				d.showLogs()
				d.t.Fatalf("%s: %s says %s", what, p.node.ID(), sign)
			}
		}
	}
}

func (d *deployment) showLogs() {
	for _, p := range d.places {
		log := p.node.Log()
		d.t.Logf("end of the log of %s:\n%s", p.node.ID(), log[max(0, len(log)-lastBytes):])
	}
}

// tryAll sends a request for each service to each node at once, and returns what failed.
func (d *deployment) tryAll() []string {
	var mu sync.Mutex
	var failures []string
	var trying sync.WaitGroup
	for _, p := range d.places {
		for _, service := range services {
			trying.Go(func() {
				if err := try(p.node.Callers, "/"+service+"/"); err != nil {
					mu.Lock()
					defer mu.Unlock()
					failures = append(failures, fmt.Sprintf("%s at %s: %v", service, p.node.ID(), err))
				}
			})
		}
	}
	trying.Wait()
	return failures
}

// try sends a request to a node, once; nil when it is answered whole.
func try(address, path string) error {
	return standin.Request{Method: http.MethodGet, Host: host, Path: path, Timeout: tryTime}.Send(address)
}
