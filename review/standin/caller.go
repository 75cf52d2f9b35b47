package main

import (
	"fmt"
	"net/http"
	"time"
)

// callerCase replaces a machine by one of another service at the same address, and then has a heartbeat
// of the former worker arrive there, some seconds late.
func callerCase(l *lab) (int, error) {
	const host = "ledger.example"
	const former, later = "books", "intake"
	services := []string{former, later}
	l.writeConfig(3, host, []route{
		{name: "r-read", kind: "safe", prefix: "/ledger/", service: former},
		{name: "r-up", kind: "unsafe", prefix: "/receipts/", service: later},
	}, services)
	var nodes []*node
	machines := []struct{ id, zone, service string }{
		{"sidecar-zone-a-1", "zone-a", former}, {"sidecar-zone-b-1", "zone-b", former},
		{"sidecar-zone-a-2", "zone-a", later}, {"sidecar-zone-b-2", "zone-b", former},
	}
	for i, each := range machines {
		m := l.machine(i + 1)
		n, err := l.startNode(each.id, each.zone, each.service, m, true)
		if err != nil {
			return 0, err
		}
		nodes = append(nodes, n)
		w, err := l.startWorker(each.service, fmt.Sprintf("i-%s-%d", each.service, i+1), each.zone, m)
		if err != nil {
			return 0, err
		}
		l.workers = append(l.workers, w)
	}
	if err := awaitReady(nodes, 20*time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	if err := l.served(nodes, host, "/ledger/1", former); err != nil {
		return 0, err
	}
	// The last machine goes with its worker, whose last heartbeat is still on its way.
	place, gone := nodes[3].machine, l.workers[3]
	held := gone.beat(gone.sequence.Add(1))
	l.note("worker %s sends a heartbeat that is held up", gone.instance)
	heldAt := time.Now()
	gone.crash()
	nodes[3].kill()
	time.Sleep(2500 * time.Millisecond)
	replaced, err := l.startNode("sidecar-zone-b-3", "zone-b", later, place, false)
	if err != nil {
		return 0, err
	}
	w, err := l.startWorker(later, "i-"+later+"-9", "zone-b", place)
	if err != nil {
		return 0, err
	}
	l.workers = append(l.workers, w)
	if err := awaitReady([]*node{replaced}, 10*time.Second); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	if count := l.wrongCaller(l.request(place, host, http.MethodGet, "/ledger/2", nil), later); count > 0 {
		return 0, fmt.Errorf("wrong caller before the heartbeat")
	}
	if l.trouble {
		status := gone.send(held)
		l.note("the heartbeat of worker %s arrives %.1f s late; answered with %d", gone.instance, time.Since(heldAt).Seconds(), status)
	}
	var broken int
	for range 20 {
		broken += l.wrongCaller(l.request(place, host, http.MethodGet, "/ledger/3", nil), later)
		broken += l.wrongCaller(l.request(place, host, http.MethodPost, "/receipts/3", []byte("a receipt")), later)
		time.Sleep(500 * time.Millisecond)
	}
	return broken, nil
}

// wrongCaller returns how many runs of a request named another service as the one where it started.
func (l *lab) wrongCaller(got answer, service string) int {
	var count int
	for _, did := range l.runsOf(got.id) {
		if did.caller != service {
			count++
			l.note("UNASKED: %s ran with caller service %s, it started beside %s", got.id, did.caller, service)
		}
	}
	return count
}

// served sends a request from each node and returns an error unless the service has run all.
func (l *lab) served(nodes []*node, host, path, service string) error {
	for _, n := range nodes {
		if err := l.ranBy(l.request(n.machine, host, http.MethodGet, path, nil), service); err != nil {
			return err
		}
	}
	return nil
}

func (l *lab) ranBy(got answer, service string) error {
	for _, did := range l.runsOf(got.id) {
		if did.service == service && got.status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("request %s wasn't run by %s, status %d", got.id, service, got.status)
}
