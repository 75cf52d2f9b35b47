package main

import (
	"fmt"
	"sync"
	"time"
)

// setback has the time of day of one machine jump ahead and back again. The worker there starts
// while the clock is ahead, crashes, and starts again under its id when the clock is right; then it
// leaves as planned.
func setback(trouble bool) bool {
	const drain = 2000 * time.Millisecond
	const contact = 3000 * time.Millisecond
	ahead := int64(0)
	if trouble {
		ahead = 2400
	}
	m := newMesh("listings", "listings", "registry")
	m.configure([]route{{"r-booking", "unsafe", "/booking/", "listings", 2000, 800}, {"r-list", "safe", "/list/", "listings", 1500, 600}}, "listings", "registry")
	m.startAll()
	var others []*worker
	for i, n := range m.nodes[1:] {
		w := newWorker(n.service, fmt.Sprintf("i-%04d", i+2), n.at(portWorker), n.at(portAdmin))
		if err := w.start(); err != nil {
			fail("%v", err)
		}
		others = append(others, w)
	}
	beside := m.nodes[0]
	time.Sleep(contact + 500*time.Millisecond)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]result{}
	for _, n := range m.nodes[1:] {
		for _, q := range []request{{Method: "POST", Host: host, Path: "/booking/1", TimeoutMS: 2000, Body: filler(300)}, {Method: "GET", Host: host, Path: "/list/1", TimeoutMS: 1500}} {
			clients.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
					r := send(n.at(portOutbound), q)
					mu.Lock()
					sent[r.ID] = r
					mu.Unlock()
				}
			})
		}
	}
	if trouble {
		note("the time of day of %s jumps ahead by %d ms", beside.id, ahead)
	}
	first := newWorker("listings", "i-0001", beside.at(portWorker), beside.at(portAdmin))
	first.born += ahead
	if err := first.start(); err != nil {
		fail("%v", err)
	}
	note("worker %s starts, born %d", first.instance, first.born)
	time.Sleep(time.Second)
	first.crash()
	note("worker %s crashes", first.instance)
	time.Sleep(200 * time.Millisecond)
	jumped := time.Now()
	if trouble {
		note("the time of day of %s jumps back", beside.id)
	}
	time.Sleep(300 * time.Millisecond)
	second := newWorker("listings", "i-0001", beside.at(portWorker), beside.at(portAdmin))
	if err := second.start(); err != nil {
		fail("%v", err)
	}
	note("worker %s starts again under its id, born %d", second.instance, second.born)
	time.Sleep(1200 * time.Millisecond)
	before := len(second.ran())
	second.leaving.Store(true)
	second.state.Store("draining")
	status := second.heartbeat()
	acknowledged := time.Now()
	note("worker %s, which has run %d requests, says that it is draining: %d", second.instance, before, status)
	if status != 200 {
		fail("the worker gets no acknowledgement")
	}
	time.Sleep(5 * time.Second)
	close(stop)
	clients.Wait()
	late, counted := 0, 0
	for _, r := range second.ran() {
		if r.At.Sub(acknowledged) <= drain {
			continue
		}
		late++
		if r.At.Sub(jumped) < contact {
			continue
		}
		if counted++; counted <= 10 {
			note("%s reaches %s %v after the acknowledgement", r.ID, r.Instance, r.At.Sub(acknowledged).Round(time.Millisecond))
		}
	}
	ends := map[string]int{}
	for _, r := range sent {
		ends[fmt.Sprint(r.Status)]++
	}
	ran := 0
	for _, w := range others {
		ran += len(w.ran())
	}
	note("%d requests reached the worker later than the drain time after the acknowledgement, %d of them while all machines were in touch; other workers ran %d; answers: %v", late, counted, ran, ends)
	return counted > 0
}
