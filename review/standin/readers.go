package main

import (
	"fmt"
	"net/http"
	"time"
)

// readersCase replaces three of six machines, one after the other, by machines of another service at the
// same addresses, and then changes the configuration.
func readersCase(l *lab) (int, error) {
	const host = "ledger.example"
	const books, intake = "books", "intake"
	services := []string{books, intake}
	routes := []route{{name: "r-read", kind: "safe", prefix: "/ledger/", service: books}, {name: "r-up", kind: "unsafe", prefix: "/receipts/", service: intake}}
	l.writeConfig(3, host, routes, services)
	var nodes []*node
	for i, each := range []struct{ zone, service string }{{"hal-a", books}, {"hal-b", books}, {"hal-c", books}, {"hal-a", intake}, {"hal-b", books}, {"hal-c", intake}} {
		m := l.machine(i + 1)
		n, err := l.startNode(fmt.Sprintf("sidecar-%s-%d", each.zone, 1+i/3), each.zone, each.service, m, true)
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
	if err := l.served(nodes, host, "/ledger/1", books); err != nil {
		return 0, err
	}
	for i, zone := range []string{"hal-a", "hal-b", "hal-c"} {
		if !l.trouble {
			break
		}
		l.workers[i].crash()
		nodes[i].kill()
		time.Sleep(2500 * time.Millisecond)
		n, err := l.startNode(fmt.Sprintf("sidecar-%s-3", zone), zone, intake, nodes[i].machine, false)
		if err != nil {
			return 0, err
		}
		w, err := l.startWorker(intake, fmt.Sprintf("i-%s-%d", intake, 10+i), zone, nodes[i].machine)
		if err != nil {
			return 0, err
		}
		l.workers = append(l.workers, w)
		if err := awaitReady([]*node{n}, 10*time.Second); err != nil {
			return 0, err
		}
		time.Sleep(3 * time.Second)
	}
	// All machines are in touch, well beyond contact_ms after the last start.
	time.Sleep(8 * time.Second)
	l.writeConfig(7, host, append(routes, route{name: "r-new", kind: "safe", prefix: "/year/", service: books}), services)
	acked := time.Now()
	time.Sleep(configApply + time.Second)
	var broken int
	for range 10 {
		for _, n := range nodes[3:] {
			got := l.request(n.machine, host, http.MethodGet, "/year/1", nil)
			if got.status == http.StatusNotFound {
				broken++
				l.note("CONFIG: %s got 404, the route was acknowledged %.1f s before", got.id, time.Since(acked).Seconds())
			}
		}
		time.Sleep(2 * time.Second)
	}
	return broken, nil
}
