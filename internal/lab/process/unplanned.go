package process

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
)

// keptErrorLines is how many of the last lines of a process's standard error are kept, and keptLineBytes
// how much of each.
const (
	keptErrorLines = 40
	keptLineBytes  = 1 << 10
)

// ending knows whether a process was to end, and the last of what it wrote. Its methods are safe for
// concurrent use.
type ending struct {
	mu sync.Mutex
	// asked is set with the first signal that ends the process, expected when its user has waited for an
	// end that the process finds by itself.
	asked, expected bool
	lines           []string
}

// observeSignal records a signal before it is sent.
func (e *ending) observeSignal(signal syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch signal {
	case syscall.SIGTERM, syscall.SIGKILL, syscall.SIGINT, syscall.SIGQUIT:
		e.asked = true
	}
}

// observeLine records a line of standard error.
func (e *ending) observeLine(line []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lines = append(e.lines, string(line[:min(len(line), keptLineBytes)]))
	e.lines = e.lines[max(len(e.lines)-keptErrorLines, 0):]
}

// unplanned returns how a process has ended that was not to; empty when it was.
func (e *ending) unplanned(name string, code int) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.expected || e.asked && code <= 0 {
		return ""
	}
	how := "by itself"
	if e.asked {
		how = "when asked to"
	}
	return fmt.Sprintf("%s ended %s, with exit code %d; the end of its standard error:\n%s", name, how, code, strings.Join(e.lines, "\n"))
}

// ExpectEnd records that the process may end by itself, with any exit code.
func (p *Process) ExpectEnd() {
	p.ending.mu.Lock()
	defer p.ending.mu.Unlock()
	p.ending.expected = true
}

// Unplanned returns how the process has ended, with the end of its standard error, if it has ended by
// itself, or with a failure when it was asked to end. It is empty otherwise.
func (p *Process) Unplanned() string {
	select {
	case <-p.done:
		return p.ending.unplanned(p.options.Name, p.state.ExitCode())
	default:
		return ""
	}
}

// Unplanned returns how each of the processes has ended that was not to, as Process.Unplanned does.
func (g *Group) Unplanned() []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var found []string
	for _, p := range g.processes {
		if text := p.Unplanned(); text != "" {
			found = append(found, text)
		}
	}
	return found
}
