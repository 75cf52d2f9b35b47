package process

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// pauseBound bounds the wait for a process to stand still.
	pauseBound    = 10 * time.Second
	pauseInterval = time.Millisecond
)

// Pause suspends the process and waits until all its threads stand still: they run on for as long as
// the system takes to deliver the signal. Resume continues it.
func (p *Process) Pause() {
	p.Signal(syscall.SIGSTOP)
	for end := time.Now().Add(pauseBound); !p.standsStill() && time.Now().Before(end); {
		time.Sleep(pauseInterval)
	}
}

// Resume continues a paused process.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// standsStill reports whether no thread of the process can run. It is true of a process that has
// ended.
func (p *Process) standsStill() bool {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.PID()))
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err == nil && threadRuns(content) {
			return false
		}
	}
	return true
}

// threadRuns reports whether a thread with the given stat file can run. Its state follows the name of
// the command: T is stopped, Z and X have ended.
func threadRuns(stat []byte) bool {
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	return len(fields) > 0 && !bytes.ContainsAny(fields[0], "TZX")
}
