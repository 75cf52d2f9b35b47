package dataplane

import (
	"net/http"
	"time"

	"github.com/levertide/levertide/pkg/balance"
	"github.com/levertide/levertide/pkg/workers"
)

const (
	// workerLimitHeader and workerLeavingHeader are written by workers: how many requests per
	// second they take from all nodes together, and that they take no new ones.
	workerLimitHeader   = "Levertide-Worker-Limit"
	workerLeavingHeader = "Levertide-Worker-Leaving"
	workerLeavingMark   = "1"
	// termsHeader carries the known terms of a worker: to the node beside it, and back from there.
	termsHeader = "Levertide-Worker-Terms"
)

// termsOf parses what a worker states in an answer. An error says why the limit cannot be read; the
// rest is valid.
func termsOf(header http.Header) (workers.Terms, error) {
	limit, err := workers.ParseLimit(header[workerLimitHeader])
	leaving := header.Get(workerLeavingHeader) == workerLeavingMark
	return workers.Terms{Limit: limit, Leaving: leaving, LimitUnreadable: err != nil}, err
}

// ObserveWorker records what the worker of this node states in the header of an answer to a request
// that was sent at sentAt: the answer to a health probe, for example.
func (p *Plane) ObserveWorker(header http.Header, sentAt time.Time) {
	if p.worker != nil {
		p.worker.observeTerms(header, sentAt)
	}
}

// observeTerms records what the worker states in an answer to a request that was sent at sentAt.
func (w *workerClient) observeTerms(header http.Header, sentAt time.Time) {
	stated, err := termsOf(header)
	if err != nil {
		w.observer.LimitUnreadable(w.node, err)
	}
	before, known := w.terms.Observe(stated, sentAt)
	w.reportTerms(before, known, w.node, 0)
}

// adoptTerms records what the node at an address tells of the worker.
func (w *workerClient) adoptTerms(header http.Header, address string) {
	if news, told := workers.ParseTermsNews(header[termsHeader]); told {
		before, known := w.terms.Adopt(news)
		w.reportTerms(before, known, address, news.Age)
	}
}

// reportTerms reports terms that have changed.
func (w *workerClient) reportTerms(before, known workers.Terms, source string, age time.Duration) {
	if before != known {
		w.observer.TermsChanged(workers.TermsChange{Service: w.service, Instance: w.node, Terms: known, Source: source, Age: age})
	}
}

// followTerms makes the gate follow changed terms.
func (w *workerClient) followTerms(before, known workers.Terms) {
	workers.FollowLimit(w.gate, before.Limit, known.Limit)
	w.gate.SetLeaving(known.Leaving)
}

// setTerms tells another node what is known of the worker.
func (w *workerClient) setTerms(header http.Header) {
	if news, known := w.terms.News(); known {
		header[termsHeader] = []string{news.Encode()}
	}
}

// workerBeside returns the name of the worker beside a node in the table of known terms. In this
// mode nodes do not know the incarnations of each other's workers.
func workerBeside(endpoint balance.Endpoint) workers.Incarnation {
	return workers.Incarnation{Instance: endpoint.ID}
}

// setTerms tells the node beside a worker what this one knows of it.
func (c *callerCall) setTerms(header http.Header, endpoint balance.Endpoint) {
	if news, known := c.plane.terms.Of(workerBeside(endpoint), time.Now()); known {
		header[termsHeader] = []string{news.Encode()}
	}
}

// observeTerms records what the node beside a worker tells with the response to a request that was
// sent at sentAt, and reports whether the worker leaves. Only an answer of the worker shows by its
// silence that there is no limit.
func (c *callerCall) observeTerms(endpoint balance.Endpoint, header http.Header, answered bool, sentAt time.Time) (leaving bool) {
	news, told := workers.ParseTermsNews(header[termsHeader])
	if !told && !answered {
		return false
	}
	known, changed := c.plane.terms.Observe(workerBeside(endpoint), news.Terms, sentAt, time.Now())
	if changed {
		c.plane.config.Observer.TermsChanged(workers.TermsChange{
			Service: c.route.ServiceName, Instance: endpoint.ID, Terms: known, Source: endpoint.ID, Age: news.Age,
		})
	}
	return known.Leaving
}
