// The stand-ins of this review: the platform with its store, workers, clients, and the days that
// they play with processes of the project.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// mesh is one deployment on loopback addresses.
type mesh struct {
	root, folder string
	storeAddress string
	store        *store
	nodes        []*node
	version      int
}

var (
	recordMu sync.Mutex
	record   *os.File
	began    = time.Now()
)

// note writes a line to the record and to standard output.
func note(format string, values ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(began).Seconds()) + fmt.Sprintf(format, values...) + "\n"
	fmt.Print(line)
	if record != nil {
		_, _ = record.WriteString(line)
	}
}

var running *mesh

// fail ends a case that could not run.
func fail(format string, values ...any) {
	note("could not run: "+format, values...)
	finish(2)
}

// finish ends all processes and this one.
func finish(code int) {
	if running != nil {
		for _, n := range running.nodes {
			if n.command != nil && n.command.Process != nil {
				_ = n.command.Process.Kill()
			}
		}
		running.awaitEnds()
		_ = os.RemoveAll(running.folder)
	}
	os.Exit(code)
}

// awaitEnds waits until the killed processes have ended.
func (m *mesh) awaitEnds() {
	bound := time.After(3 * time.Second)
	for _, n := range m.nodes {
		if n.exited == nil {
			continue
		}
		for open := true; open; {
			select {
			case _, open = <-n.exited:
			case <-bound:
				return
			}
		}
	}
}

// newMesh starts the store with a first configuration, and makes nodes on addresses of their own.
func newMesh(services ...string) *mesh {
	root, err := os.Getwd()
	if err != nil {
		fail("%v", err)
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fail("%v", err)
	}
	m := &mesh{root: root, folder: folder}
	running = m
	network := freeNetwork(len(services), os.Getpid())
	m.storeAddress = network + ".250:8142"
	if m.store, err = startStore(m.storeAddress); err != nil {
		fail("the store: %v", err)
	}
	for i, service := range services {
		m.nodes = append(m.nodes, &node{id: fmt.Sprintf("sidecar-%d", i+1), zone: fmt.Sprintf("z%d", i%2), ip: fmt.Sprintf("%s.%d", network, i+1), service: service, mesh: m})
	}
	return m
}

type route struct {
	Name, Kind, Prefix, Service string
	TimeoutMS, TargetMS         int
}

// configure writes a configuration, as the operator does.
func (m *mesh) configure(routes []route, services ...string) {
	m.version += 3
	policy := []any{}
	for _, r := range routes {
		policy = append(policy, map[string]any{
			"name": r.Name, "kind": r.Kind, names["target_latency"]: r.TargetMS, "priority": 1,
			"match":  map[string]any{"path_prefix": r.Prefix},
			"action": map[string]any{"service": r.Service, "timeout_ms": r.TimeoutMS, "max_attempts": 2},
		})
	}
	clusters := []any{}
	for _, service := range services {
		clusters = append(clusters, map[string]any{"name": service, "health_path": "/healthz", "max_connections": 130, "protocol": "h1", "tls": false})
	}
	encoded, _ := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("%08x", m.version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"listeners": []any{map[string]any{"host": host, "policy": policy}},
		"clusters":  clusters,
	})
	m.store.put(names["config_key"], encoded)
}

const host = "ledger.example"

// startAll starts all nodes for the first time and waits until they are ready.
func (m *mesh) startAll() {
	for _, n := range m.nodes {
		n.start(true)
	}
	for _, n := range m.nodes {
		n.awaitReady()
	}
}

func main() {
	if len(os.Args) < 3 {
		fmt.Println("usage: CASE RECORD")
		os.Exit(2)
	}
	var err error
	if record, err = os.Create(filepath.Clean(os.Args[2])); err != nil {
		fail("%v", err)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	run, known := cases[os.Args[1]]
	if !known {
		fail("no case %q", os.Args[1])
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() { fail("it got the signal %v", <-signals) }()
	time.AfterFunc(110*time.Second, func() { fail("it takes too long") })
	if broken := run(trouble); broken {
		note("the rule was broken")
		finish(1)
	}
	note("the rule held")
	finish(0)
}
