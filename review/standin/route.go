package main

import (
	"net/http"
	"time"
)

// routeCase has the operator add a route whose prefix is longer by one segment than that of a route
// that is there. A request whose path is that segment without the slash isn't begun by the new
// prefix, and still belongs to the former route.
func routeCase(l *lab) (int, error) {
	const host = "ledger.example"
	const book, filing = "books", "filing"
	services := []string{book, filing}
	routes := []route{
		{name: "r-read", kind: "safe", prefix: "/ledger/", service: book},
		{name: "r-book", kind: "unsafe", prefix: "/booking/", service: book},
	}
	l.writeConfig(3, host, routes, services)
	var nodes []*node
	for i, each := range []struct{ zone, service string }{{"zone-a", book}, {"zone-b", book}, {"zone-a", filing}, {"zone-b", filing}} {
		m := l.machine(i + 1)
		n, err := l.startNode("sidecar-"+each.zone+"-"+string(rune('1'+i)), each.zone, each.service, m, true)
		if err != nil {
			return 0, err
		}
		nodes = append(nodes, n)
		w, err := l.startWorker(each.service, "i-"+each.service+string(rune('1'+i)), each.zone, m)
		if err != nil {
			return 0, err
		}
		l.workers = append(l.workers, w)
	}
	if err := awaitReady(nodes, 20*time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	if err := l.served(nodes, host, "/ledger/year", book); err != nil {
		return 0, err
	}
	if l.trouble {
		routes = append(routes,
			route{name: "r-year", kind: "safe", prefix: "/ledger/year/", service: filing},
			route{name: "r-vat", kind: "unsafe", prefix: "/booking/vat/", service: filing},
		)
	}
	l.writeConfig(8, host, routes, services)
	time.Sleep(configApply + time.Second)
	var broken int
	for range 5 {
		for _, n := range nodes {
			broken += l.wronglyRun(l.request(n.machine, host, http.MethodGet, "/ledger/year", nil), filing)
			broken += l.wronglyRun(l.request(n.machine, host, http.MethodPost, "/booking/vat", []byte("book it once")), filing)
			if l.trouble {
				// The new routes are in force: what their prefixes begin goes to their service.
				if err := l.ranBy(l.request(n.machine, host, http.MethodGet, "/ledger/year/2", nil), filing); err != nil {
					return 0, err
				}
			}
		}
	}
	return broken, nil
}

// wronglyRun returns how many workers of a service have run a request that no configuration lets it run.
func (l *lab) wronglyRun(got answer, service string) int {
	var count int
	for _, did := range l.runsOf(got.id) {
		if did.service == service {
			count++
			l.note("ROUTE: %s was run by %s, no route leads there", got.id, did.service)
		}
	}
	return count
}
