package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// forgetting has a worker sign off, all nodes killed at once while the store is silent, and a
// heartbeat of the worker arrive late. With lapse the sign-off is acknowledged in calm, one second
// before the store falls silent and its leases run out; without, while it is silent, and no lease
// runs out.
func forgetting(lapse bool) func(trouble bool) bool {
	return func(trouble bool) bool { return forgets(lapse, trouble) }
}

func forgets(lapse, trouble bool) bool {
	const drain = 2000 * time.Millisecond
	const contact = 3000 * time.Millisecond
	m, ws := deploy([]route{{"r-order", "unsafe", "/order/", "orders", 3000, 500}}, "orders", "orders", "proofs", "orders")
	x := ws[0]
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]result{}
	for _, n := range m.nodes {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(25 * time.Millisecond):
				}
				r := send(n.at(portOutbound), request{Method: "POST", Host: host, Path: "/order/1", TimeoutMS: 3000, Body: filler(300)})
				mu.Lock()
				sent[r.ID] = r
				mu.Unlock()
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble && !lapse {
		m.store.silent.Store(true)
		note("the store falls silent")
	}
	x.beating.Store(false)
	time.Sleep(1200 * time.Millisecond)
	late := x.sequence.Add(1)
	note("a heartbeat of %s (ready, number %d) sets out, and is held up", x.instance, late)
	time.Sleep(100 * time.Millisecond)
	x.leaving.Store(true)
	status := x.leave()
	acknowledged := time.Now()
	note("worker %s signs off: %d", x.instance, status)
	if status != 200 {
		fail("the sign-off is not acknowledged")
	}
	if lapse {
		time.Sleep(time.Second)
	}
	if trouble && lapse {
		m.store.silent.Store(true)
		m.store.endLeases()
		note("the store falls silent, and its leases run out")
		time.Sleep(500 * time.Millisecond)
	}
	if trouble {
		for _, n := range m.nodes {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range m.nodes {
			<-n.exited
		}
		note("all nodes are killed")
		time.Sleep(time.Second)
		for _, n := range m.nodes {
			n.start(false)
		}
		note("all nodes start again")
	}
	time.Sleep(1500 * time.Millisecond)
	if m.store.silent.Swap(false) {
		note("the store answers again")
	}
	stable := time.Now().Add(contact)
	for _, n := range m.nodes {
		n.awaitReady()
	}
	time.Sleep(300 * time.Millisecond)
	back := x.sequence.Load()
	x.sequence.Store(late - 1)
	note("the late heartbeat of %s (ready, number %d) arrives: %d", x.instance, late, x.heartbeat())
	x.sequence.Store(back)
	time.Sleep(time.Until(stable.Add(1500 * time.Millisecond)))
	close(stop)
	clients.Wait()
	after, judged := 0, 0
	for _, r := range x.ran() {
		if r.At.Sub(acknowledged) <= drain {
			continue
		}
		after++
		if r.At.After(stable) {
			judged++
			if judged <= 10 {
				note("%s reaches %s %v after the acknowledgement", r.ID, x.instance, r.At.Sub(acknowledged).Round(time.Millisecond))
			}
		}
	}
	ends := map[string]int{}
	for _, r := range sent {
		ends[fmt.Sprint(r.Status)]++
	}
	note("%d requests reached the worker later than the drain time after the acknowledgement, %d of them from machines in touch; answers: %v", after, judged, ends)
	return judged > 0
}
