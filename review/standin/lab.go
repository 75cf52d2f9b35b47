package main

import (
	"bytes"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// names are the platform's names, from names.json.
var names map[string]string

const healthPath = "/healthz"

// bounds are those of the smaller deployments.
var bounds = map[string]any{
	"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_timeout_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
	"grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000, "downgrade_slack_ms": 250, "max_stretch_ms": 5000,
	"retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_budget_slack": 64, "recovery_s": 15,
}

const configApply = 2 * time.Second

// lab holds the stand-ins and the processes of one case.
type lab struct {
	root, temporary string
	trouble         bool
	store           *store
	storeAddress    string
	subnet          string
	ports           map[string]int

	mu      sync.Mutex
	started time.Time
	record  *os.File
	runs    []run
	nodes   []*node
	workers []*worker
}

// machine is one loopback address with the ports that are alike on all machines.
type machine struct {
	ip    string
	ports map[string]int
}

func (m machine) address(use string) string {
	return net.JoinHostPort(m.ip, strconv.Itoa(m.ports[use]))
}

// node is one process of the system.
type node struct {
	lab     *lab
	id      string
	machine machine
	command *exec.Cmd
	ended   chan struct{}
}

func newLab(root, folder string) (*lab, error) {
	l := &lab{root: root, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), ports: map[string]int{}}
	var err error
	if l.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		return nil, err
	}
	if l.temporary, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	l.subnet = fmt.Sprintf("127.%d.%d.", 20+mathrand.IntN(200), 1+mathrand.IntN(250))
	uses := []string{"inbound", "outbound", "readiness", "admin", "app", "control", "store"}
	base := 20000 + 10*mathrand.IntN(1000)
	for i, use := range uses {
		l.ports[use] = base + i
		for last := 1; last <= 40; last++ {
			probe, err := net.Listen("tcp", net.JoinHostPort(l.subnet+strconv.Itoa(last), strconv.Itoa(base+i)))
			if err != nil {
				return nil, err
			}
			_ = probe.Close()
		}
	}
	l.store = newStore()
	l.storeAddress = l.machine(40).address("store")
	l.note("trouble: %v", l.trouble)
	return l, l.store.listen(l.storeAddress)
}

func (l *lab) machine(last int) machine {
	return machine{ip: l.subnet + strconv.Itoa(last), ports: l.ports}
}

// note writes a line to the record.
func (l *lab) note(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, values...))
}

func (l *lab) ran(did run) {
	l.note("  worker %s of %s runs %s: %s %s, caller service %s", did.instance, did.service, did.id, did.method, did.path, did.caller)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, did)
}

// runsOf returns the runs of a request.
func (l *lab) runsOf(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []run
	for _, did := range l.runs {
		if did.id == id {
			found = append(found, did)
		}
	}
	return found
}

// fill fills the gaps of a settings template: sections that stand once for a given value, and values.
func fill(text string, fields map[string]any) string {
	look := func(name string) any {
		var value any = fields
		for _, part := range strings.Split(name, ".") {
			switch held := value.(type) {
			case map[string]any:
				value = held[part]
			case []any:
				index, _ := strconv.Atoi(part)
				if index >= len(held) {
					return nil
				}
				value = held[index]
			default:
				return nil
			}
		}
		return value
	}
	for {
		before, rest, found := strings.Cut(text, "{{#")
		if !found {
			break
		}
		name, rest, _ := strings.Cut(rest, "}}")
		inside, after, _ := strings.Cut(rest, "{{/"+name+"}}")
		if value := look(name); value == nil || value == false || value == "" {
			inside = ""
		}
		text = before + inside + after
	}
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String()
		}
		name, after, _ := strings.Cut(rest, "}}")
		if value := look(name); value != nil {
			fmt.Fprint(&out, value)
		}
		text = after
	}
}

// startNode starts a node with the command of the deploy file, on a machine and beside a worker of a
// service. It returns at once.
func (l *lab) startNode(id, zone, service string, m machine, first bool) (*node, error) {
	template, err := os.ReadFile(filepath.Join(l.root, "deploy", "levertide.yaml.tmpl"))
	if err != nil {
		return nil, err
	}
	host, port, _ := net.SplitHostPort(l.storeAddress)
	fields := map[string]any{
		"node": id, "region": "region-1", "zone": zone, "ip": m.ip, "service": service, "local_app": m.address("app"),
		"listen_addresses": map[string]any{"inbound": m.address("inbound"), "outbound": m.address("outbound"), "readiness": m.address("readiness"), "admin": m.address("admin")},
		"ephemeral_ports":  []any{m.ports["control"], m.ports["control"]},
		"provider":         map[string]any{"address": net.JoinHostPort(host, port)},
		"heartbeat_ms":     beatEvery.Milliseconds(), "bounds": bounds, "bootstrap": first,
		"limits": map[string]any{"memory_mb": 284, "bandwidth_mbps": 1000.0},
	}
	settings := filepath.Join(l.temporary, id+".yaml")
	if err := os.WriteFile(settings, []byte(fill(string(template), fields)), 0o600); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(l.temporary, id+".log"))
	if err != nil {
		return nil, err
	}
	words, err := runWords(filepath.Join(l.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for i := range words {
		if words[i] == names["settingsPath"] {
			words[i] = settings
		}
	}
	command := exec.Command(words[0], words[1:]...)
	command.Dir, command.Stdout, command.Stderr = l.root, output, output
	command.Env = []string{"PATH=" + os.Getenv("PATH"), names["settingsVariable"] + "=" + settings}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, err
	}
	n := &node{lab: l, id: id, machine: m, command: command, ended: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(n.ended)
	}()
	l.mu.Lock()
	l.nodes = append(l.nodes, n)
	l.mu.Unlock()
	l.note("node %s starts on %s beside %s", id, m.ip, service)
	return n, nil
}

// runWords returns the words of the command of the deploy file.
func runWords(path string) ([]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		if name, value, found := strings.Cut(line, "="); found && strings.TrimSpace(name) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, errors.New("the deploy file has no command")
}

// kill ends a node as a loss of its machine does, as far as others on this machine can see.
func (n *node) kill() {
	_ = n.command.Process.Kill()
	<-n.ended
	n.lab.note("node %s is killed", n.id)
}

// ready reports whether the node answers its readiness check with 200.
func (n *node) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.machine.address("readiness") + names["ready"])
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all given nodes are ready.
func awaitReady(nodes []*node, bound time.Duration) error {
	end := time.Now().Add(bound)
	for _, n := range nodes {
		for !n.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("node %s isn't ready", n.id)
			}
			time.Sleep(50 * time.Millisecond)
		}
		n.lab.note("node %s is ready", n.id)
	}
	return nil
}

// close ends everything that was started.
func (l *lab) close() {
	for _, n := range l.nodes {
		_ = n.command.Process.Kill()
		<-n.ended
	}
	for _, w := range l.workers {
		w.stopOnce.Do(func() { close(w.stop) })
		_ = w.server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.temporary)
	}
	_ = l.record.Close()
}

// route is one route of a configuration.
type route struct{ name, kind, prefix, service string }

// writeConfig writes a configuration as the operator does. When it returns, it is acknowledged.
func (l *lab) writeConfig(version uint64, host string, routes []route, services []string) {
	var rules, clusters []any
	for _, each := range routes {
		rules = append(rules, map[string]any{
			"name": each.name, "kind": each.kind, names["aim"]: 300, "priority": 1,
			"match":  map[string]any{"path_prefix": each.prefix},
			"action": map[string]any{"service": each.service, "timeout_ms": 1500, "max_attempts": 2},
		})
	}
	for _, service := range services {
		clusters = append(clusters, map[string]any{"name": service, "health_path": healthPath, "max_connections": 130, "protocol": "h1", "tls": false})
	}
	body, _ := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("%08x", version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"listeners": []any{map[string]any{"host": host, "policy": rules}}, "clusters": clusters,
	})
	l.store.operatorPut(names["config"], base64.StdEncoding.EncodeToString(body))
	l.note("the operator writes version %08x: %v; acknowledged", version, routes)
}

// answer is what a client got.
type answer struct {
	id, stamp string
	status    int
}

// request sends a request as a client on a machine does, over a new connection.
func (l *lab) request(m machine, host, method, path string, body []byte) answer {
	raw := make([]byte, 8)
	_, _ = rand.Read(raw)
	id := hex.EncodeToString(raw)
	r, err := http.NewRequest(method, "http://"+m.address("outbound")+path, bytes.NewReader(body))
	if err != nil {
		return answer{id: id}
	}
	r.Host = host
	r.Header.Set(names["requestId"], id)
	r.Header.Set(names["timeout"], "1500")
	l.note("client at %s sends %s: %s %s", m.ip, id, method, path)
	client := http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		l.note("client gets no answer to %s: %v", id, err)
		return answer{id: id}
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	got := answer{id: id, status: response.StatusCode, stamp: response.Header.Get(names["stamp"])}
	l.note("client gets %d to %s, stamp %q", got.status, id, got.stamp)
	return got
}
