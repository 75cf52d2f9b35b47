package process

import (
	"os/exec"
	"runtime"
	"sync"
)

// starter starts programs from one operating system thread that never ends. The kernel sends the
// parent-death signal when the thread that started a program ends, so a thread that ends early
// would kill its programs.
type starter struct {
	once     sync.Once
	requests chan startRequest
}

// startRequest is a request to start one program; started receives the error of the start.
type startRequest struct {
	command *exec.Cmd
	started chan error
}

// sharedStarter is the only starter of the lab's process.
var sharedStarter = starter{requests: make(chan startRequest)}

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
