package process

import (
	"sync"
	"time"
)

// Group holds the processes of one experiment, so that all of them can be stopped together. Its
// methods are safe for concurrent use.
type Group struct {
	mutex     sync.Mutex
	processes []*Process
	closed    bool
}

// Start starts a program as part of the group. It fails with ErrStart, also
// when the group was stopped already.
func (g *Group) Start(options Options) (*Process, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed {
		return nil, ErrStart.New("start %s: the experiment is stopping", options.Name)
	}
	started, err := Start(options)
	if err != nil {
		return nil, err
	}
	g.processes = append(g.processes, started)
	return started, nil
}

// StopAll stops all processes concurrently, kills those that have not ended within the bound, and
// waits for all of them. It returns how many had to be killed. No process can be started in the
// group afterwards.
func (g *Group) StopAll(bound time.Duration) int {
	g.mutex.Lock()
	g.closed = true
	processes := g.processes
	g.mutex.Unlock()
	results := make(chan bool, len(processes))
	for _, running := range processes {
		go func() { results <- running.Stop(bound) }()
	}
	killed := 0
	for range processes {
		if !<-results {
			killed++
		}
	}
	return killed
}

// Running returns the processes that have not ended.
func (g *Group) Running() []*Process {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var running []*Process
	for _, candidate := range g.processes {
		select {
		case <-candidate.Done():
		default:
			running = append(running, candidate)
		}
	}
	return running
}
