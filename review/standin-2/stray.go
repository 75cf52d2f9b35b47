package main

import (
	"sync"
	"time"
)

// stray is another way into the fault of setback: one heartbeat of another writer, which lacks
// fields and numbers its calls by the time of day, and then a planned leave of the worker.
func stray(trouble bool) bool {
	const drain = 2000 * time.Millisecond
	m, ws := deploy([]route{{"r-order", "unsafe", "/order/", "orders", 3000, 500}}, "orders", "orders", "proofs")
	x := ws[0]
	time.Sleep(3 * time.Second)
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
	time.Sleep(time.Second)
	if trouble {
		status := x.call(names["call_heartbeat"], map[string]any{
			"address": x.address, "born": x.born, "info": map[string]any{"service": x.service, "slots": x.slots},
			"status": map[string]any{"state": "ready", "sequence": time.Now().UnixMilli()},
		})
		note("a heartbeat of another writer, without a version, a zone and the time that is cold: %d", status)
	}
	time.Sleep(500 * time.Millisecond)
	x.leaving.Store(true)
	x.state.Store("draining")
	status := x.heartbeat()
	acknowledged := time.Now()
	note("worker %s says that it is draining: %d", x.instance, status)
	if status != 200 {
		fail("the worker gets no acknowledgement")
	}
	time.Sleep(8 * time.Second)
	close(stop)
	clients.Wait()
	late := 0
	var last time.Duration
	for _, r := range x.ran() {
		if after := r.At.Sub(acknowledged); after > drain {
			late, last = late+1, after
		}
	}
	note("%d requests reached the worker later than the drain time after the acknowledgement, the last after %v", late, last.Round(time.Millisecond))
	return late > 0
}
