package process

import (
	"os/exec"
	"runtime"
	"sync"
)

// starter starts programs on one operating system thread that never ends. The
// kernel sends the parent-death signal when the starting thread ends, so a
// thread that ends early would kill its programs.
type starter struct {
	once     sync.Once
	requests chan startRequest
}

// startRequest asks for one program and gets the error of its start.
type startRequest struct {
	command *exec.Cmd
	started chan error
}

// shared is the starter of the lab's process.
var shared = starter{requests: make(chan startRequest)}

// start starts the program.
func (s *starter) start(command *exec.Cmd) error {
	s.once.Do(func() { go s.serve() })
	request := startRequest{command: command, started: make(chan error, 1)}
	s.requests <- request
	return <-request.started
}

// serve handles requests for as long as the lab runs.
func (s *starter) serve() {
	runtime.LockOSThread()
	for request := range s.requests {
		request.started <- request.command.Start()
	}
}
