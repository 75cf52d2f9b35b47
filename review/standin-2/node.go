package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// node is one process of the project, started by the command of the deploy file.
type node struct {
	id, zone, ip, service string
	mesh                  *mesh
	settings              string
	command               *exec.Cmd
	exited                chan error
}

// Ports are alike on all machines.
const (
	portInbound, portOutbound, portReadiness, portAdmin, portWorker, portControl = 8146, 8147, 8141, 8144, 8145, 7380
)

func (n *node) at(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// fill fills the template of the deploy file as far as that is needed here.
func (n *node) fill(bootstrap bool) string {
	template, err := os.ReadFile(filepath.Join(n.mesh.root, "deploy", "levertide.yaml.tmpl"))
	if err != nil {
		fail("the template cannot be read: %v", err)
	}
	values := map[string]string{
		"node": n.id, "region": "r", "zone": n.zone, "service": n.service, "local_app": n.at(portWorker),
		"listen_addresses.outbound": n.at(portOutbound), "listen_addresses.inbound": n.at(portInbound),
		"listen_addresses.readiness": n.at(portReadiness), "listen_addresses.admin": n.at(portAdmin),
		"ip": n.ip, "ephemeral_ports.0": fmt.Sprint(portControl), "provider.address": n.mesh.storeAddress,
		"heartbeat_ms": "1500", "bounds.grace_s": "6", "bounds.retry_budget_ratio": "0.2", "bounds.retry_budget_slack": "64",
		"bounds.retry_window_s": "10", "limits.memory_mb": "284", "limits.bandwidth_mbps": "1000.0",
	}
	if bootstrap {
		values["bootstrap"] = "true"
	}
	var out []string
	for _, line := range strings.Split(string(template), "\n") {
		if strings.HasPrefix(line, "{{#") {
			name := line[3:strings.Index(line, "}}")]
			if values[name] == "" {
				continue
			}
			line = strings.TrimSuffix(line[strings.Index(line, "}}")+2:], "{{/"+name+"}}")
		}
		for name, value := range values {
			line = strings.ReplaceAll(line, "{{"+name+"}}", value)
		}
		out = append(out, line)
	}
	return strings.Join(out, "\n")
}

// start starts the process with the settings of this moment.
func (n *node) start(bootstrap bool) {
	n.settings = filepath.Join(n.mesh.folder, n.id+".yaml")
	if err := os.WriteFile(n.settings, []byte(n.fill(bootstrap)), 0o600); err != nil {
		fail("settings: %v", err)
	}
	log, err := os.OpenFile(filepath.Join(n.mesh.folder, n.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	words := n.mesh.runWords(n.settings)
	n.command = exec.Command(filepath.Join(n.mesh.root, words[0]), words[1:]...)
	n.command.Dir = n.mesh.root
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=/tmp", names["boot_variable"] + "=" + n.settings}
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starts <- func() { started <- n.command.Start() }
	if err := <-started; err != nil {
		fail("a node does not start: %v", err)
	}
	exited := make(chan error, 1)
	n.exited = exited
	command := n.command
	go func() {
		exited <- command.Wait()
		close(exited)
	}()
}

// runWords returns the command of the deploy file, with the settings file of this process.
func (m *mesh) runWords(settings string) []string {
	file, err := os.ReadFile(filepath.Join(m.root, "deploy", "system.toml"))
	if err != nil {
		fail("the deploy file cannot be read: %v", err)
	}
	for _, line := range strings.Split(string(file), "\n") {
		if text, ok := strings.CutPrefix(line, `run = "`); ok {
			text = strings.ReplaceAll(strings.TrimSuffix(text, `"`), "/etc/levertide/local.json", settings)
			return strings.Fields(text)
		}
	}
	fail("the deploy file names no command")
	return nil
}

// starts are the starts of processes. They are made on one thread that never ends: the processes
// end with the thread that has started them.
var starts = func() chan func() {
	c := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range c {
			start()
		}
	}()
	return c
}()

func (n *node) signal(s syscall.Signal) { _ = n.command.Process.Signal(s) }

// kill ends the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
}

func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.at(portReadiness) + names["readiness_path"])
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == 200
}

func (n *node) awaitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.ready() {
			return
		}
	}
	fail("node %s does not become ready", n.id)
}
