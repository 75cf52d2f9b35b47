package sim

import (
	"slices"
	"time"
)

// process is a running program: a node or an operator's command. Actions that are
// due while it is paused run when it resumes; those due after its end never run.
type process struct {
	world  *World
	name   string
	alive  bool
	paused bool
	// deferred holds the actions that became due during a pause.
	deferred []func()
	store    *storeClient
	// serving lists the calls that have arrived and are not answered yet.
	serving []*exchange
}

func (w *World) newProcess(name string) *process {
	p := &process{world: w, name: name, alive: true}
	p.store = newStoreClient(p)
	return p
}

// after schedules an action of the process.
func (p *process) after(delay time.Duration, name string, run func()) {
	p.world.scheduler.after(delay, name+" "+p.name, func() { p.do(run) })
}

// do runs an action now, or at the end of a pause; never once the process has ended.
func (p *process) do(run func()) {
	switch {
	case !p.alive:
	case p.paused:
		p.deferred = append(p.deferred, run)
	default:
		run()
	}
}

func (p *process) pause() { p.paused = true }

func (p *process) resume() {
	p.paused = false
	waiting := p.deferred
	p.deferred = nil
	for _, run := range waiting {
		p.do(run)
	}
}

// forget removes an answered call from those being served.
func (p *process) forget(answered *exchange) {
	index := slices.Index(p.serving, answered)
	if index >= 0 {
		p.serving = slices.Delete(p.serving, index, index+1)
	}
}

// end stops the process at once.
func (p *process) end() {
	p.alive = false
	p.deferred = nil
	p.world.network.breakConnections(p)
	p.store.abandon()
}
