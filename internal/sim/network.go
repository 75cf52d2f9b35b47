package sim

import (
	"errors"
	"time"
)

// Errors of a simulated call.
var (
	// errNotConnected is returned when the request has certainly not arrived.
	errNotConnected = errors.New("no connection")
	// errNoAnswer is returned when the request may have arrived.
	errNoAnswer = errors.New("no answer")
)

// Delays of messages, and the chances that one is slow or lost.
const (
	inZoneDelay         = 500 * time.Microsecond
	betweenZonesDelay   = 3 * time.Millisecond
	slowDelay           = 400 * time.Millisecond
	refusalDelay        = time.Millisecond
	slowPercent         = 2
	requestLossPerMille = 3
	answerLossPerMille  = 3
)

// link is one direction of the connection between two zones.
type link struct{ from, to string }

// network carries messages between nodes, unless a link is cut.
type network struct {
	world *World
	cut   map[link]bool
}

func (n *network) delay(from, to *node) time.Duration {
	base := inZoneDelay
	if from.zone != to.zone {
		base = betweenZonesDelay
	}
	if n.world.random.percent(slowPercent) {
		base += n.world.random.duration(slowDelay)
	}
	return base + n.world.random.duration(base)
}

func (n *network) passes(from, to *node) bool {
	return !n.cut[link{from.zone, to.zone}]
}

// exchange is one call from one node to another.
type exchange struct {
	from, to    *node
	fromProcess *process
	name        string
	timeout     time.Duration
	serve       func(answer func(reply any))
	done        func(reply any, err error)
	finished    bool
}

// call sends a request. serve runs at the receiver, which answers at once or
// later; done runs at the sender exactly once, or never if its process ends first.
func (n *network) call(from, to *node, name string, timeout time.Duration,
	serve func(answer func(reply any)), done func(reply any, err error)) {
	e := &exchange{
		from: from, to: to, fromProcess: from.process, name: name, timeout: timeout,
		serve: serve, done: done,
	}
	e.fromProcess.after(timeout, name+" timeout", func() { e.finish(nil, errNoAnswer) })
	lost := !n.passes(from, to) || n.world.losesMessage(requestLossPerMille)
	if lost {
		return
	}
	n.world.scheduler.after(n.delay(from, to), name+" request "+to.id, func() { n.arrive(e) })
}

func (n *network) arrive(e *exchange) {
	server := e.to.process
	if server == nil || !server.alive {
		e.fromProcess.after(refusalDelay, e.name+" refused", func() { e.finish(nil, errNotConnected) })
		return
	}
	server.serving = append(server.serving, e)
	server.do(func() {
		e.serve(func(reply any) { n.answer(e, server, reply) })
	})
}

// breakConnections ends the calls that a process was serving when it ended: their
// senders learn that no answer will come, unless a cut hides it from them.
func (n *network) breakConnections(server *process) {
	for _, e := range server.serving {
		if n.passes(e.to, e.from) {
			e.fromProcess.after(refusalDelay, e.name+" broken", func() { e.finish(nil, errNoAnswer) })
		}
	}
	server.serving = nil
}

// answer sends the reply back, unless the server has ended or the link back is cut.
func (n *network) answer(e *exchange, server *process, reply any) {
	server.forget(e)
	if !server.alive || !n.passes(e.to, e.from) {
		return
	}
	if n.world.losesMessage(answerLossPerMille) {
		e.fromProcess.after(n.delay(e.to, e.from), e.name+" broken", func() { e.finish(nil, errNoAnswer) })
		return
	}
	e.fromProcess.after(n.delay(e.to, e.from), e.name+" answer", func() { e.finish(reply, nil) })
}

func (e *exchange) finish(reply any, err error) {
	if e.finished {
		return
	}
	e.finished = true
	e.done(reply, err)
}
