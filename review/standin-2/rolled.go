package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// rolled is the entry of KNOWN-RED.txt on a node that nobody knows, with real processes and a store
// that loses nothing: a node is stopped as planned and started again while the store is silent, its
// worker signs off there, the node is killed, and a heartbeat of the worker arrives late.
func rolled(trouble bool) bool {
	const drain = 2000 * time.Millisecond
	const contact = 3000 * time.Millisecond
	m, ws := deploy([]route{{"r-order", "unsafe", "/order/", "orders", 3000, 500}}, "orders", "orders", "proofs", "orders")
	x, beside := ws[0], m.nodes[0]
	time.Sleep(contact)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, n := range m.nodes {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(25 * time.Millisecond):
				}
				send(n.at(portOutbound), request{Method: "POST", Host: host, Path: "/order/1", TimeoutMS: 3000, Body: filler(300)})
			}
		})
	}
	note("SIGTERM to %s", beside.id)
	beside.signal(syscall.SIGTERM)
	time.Sleep(2200 * time.Millisecond)
	m.store.silent.Store(true)
	note("the store falls silent")
	<-beside.exited
	beside.start(false)
	note("%s has ended, and starts again", beside.id)
	time.Sleep(700 * time.Millisecond)
	x.beating.Store(false)
	late := x.sequence.Add(1)
	note("a heartbeat of %s (ready, number %d) sets out, and is held up", x.instance, late)
	x.leaving.Store(true)
	status := x.leave()
	acknowledged := time.Now()
	note("worker %s signs off: %d", x.instance, status)
	if status != 200 {
		fail("the sign-off is not acknowledged")
	}
	if trouble {
		beside.kill()
		note("%s is killed", beside.id)
		time.Sleep(700 * time.Millisecond)
		beside.start(false)
		note("%s starts again", beside.id)
	} else {
		time.Sleep(700 * time.Millisecond)
	}
	time.Sleep(700 * time.Millisecond)
	m.store.silent.Store(false)
	note("the store answers again")
	stable := time.Now().Add(contact)
	beside.awaitReady()
	back := x.sequence.Load()
	x.sequence.Store(late - 1)
	note("the late heartbeat of %s arrives: %d", x.instance, x.heartbeat())
	x.sequence.Store(back)
	time.Sleep(time.Until(stable.Add(1500 * time.Millisecond)))
	close(stop)
	clients.Wait()
	after, counted := 0, 0
	for _, r := range x.ran() {
		if r.At.Sub(acknowledged) <= drain {
			continue
		}
		after++
		if r.At.After(stable) {
			counted++
		}
	}
	note("%s", fmt.Sprintf("%d requests reached the worker later than the drain time after the acknowledgement, %d of them from machines in touch", after, counted))
	return counted > 0
}
