package forwarding

import (
	"net/http"
	"strconv"
	"time"

	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/slotqueue"
	"github.com/levertide/levertide/pkg/workers"
)

// All requests to a worker pass the node beside it, so that one node keeps the limit that the
// worker names, for all nodes. The other nodes know the limit, too: to choose among workers by the
// room that each has, and to tell it to a node that has started since the worker stated it.

const (
	// termsHeader carries the known terms of a worker: to the node beside it, and back from there.
	termsHeader = "Levertide-Hop-Terms"
	// longestLimitedRetryAfter bounds the retry time of callers that a limit has refused.
	longestLimitedRetryAfter = 10 * time.Second
)

// addNews adds what the worker's node tells of the limit to its load.
func addNews(load slotqueue.Load, news workers.TermsNews) slotqueue.Load {
	if news.Terms.Limit.Set {
		load.NextStart, load.Interval = news.NextStart, news.Terms.Limit.Interval()
	}
	return load
}

// startWithLimit begins with the limit that the worker named when it was probed. It is called before
// the client is shared.
func (w *workerClient) startWithLimit(limit workers.Limit) {
	if limit.Set {
		w.adoptTerms(workers.TermsNews{Terms: workers.Terms{Limit: limit}}, w.plane.config.Node)
	}
}

// observeTerms records what the worker states in an answer to a request that was sent at sentAt.
func (w *workerClient) observeTerms(header http.Header, sentAt time.Time) {
	stated, err := w.dialect.workerTerms(header)
	if err != nil {
		w.plane.config.Observer.LimitUnreadable(w.worker.Instance, err)
	}
	before, known := w.terms.Observe(stated, sentAt)
	w.reportTerms(before, known, w.plane.config.Node, 0)
}

// adoptTerms records what the node at an address tells of the worker.
func (w *workerClient) adoptTerms(news workers.TermsNews, address string) {
	before, known := w.terms.Adopt(news)
	w.reportTerms(before, known, address, news.Age)
}

// reportTerms reports terms that have changed.
func (w *workerClient) reportTerms(before, known workers.Terms, source string, age time.Duration) {
	if before == known {
		return
	}
	w.plane.config.Observer.TermsChanged(workers.TermsChange{
		Service: w.worker.Service, Instance: w.worker.Instance, Terms: known, Source: source, Age: age,
	})
	if known.Leaving && !before.Leaving {
		w.plane.config.Leaving(w.incarnation())
	}
}

// followTerms makes the queue follow changed terms. A worker that leaves gets nothing that has not
// started yet: other workers can still take that.
func (w *workerClient) followTerms(before, known workers.Terms) {
	workers.FollowLimit(w.queue, before.Limit, known.Limit)
	if known.Leaving {
		w.queue.Close()
	}
}

// paced returns the failure of a request that found no room in time. Where the worker's limit may
// be the reason, the retry time is the next turn that nobody else was given.
func (w *workerClient) paced(err error) error {
	if outcome.ReasonOf(err) != outcome.Overloaded || !w.terms.Terms().Limit.Set {
		return err
	}
	w.plane.limitRefusals.Add(1)
	return outcome.WithRetryAfter(outcome.Overloaded, max(outcome.RetryAfterOf(err), w.queue.Turn()))
}

// LimitedWorkers returns how many workers beside this node name a limit, and LimitRefusals how many
// requests were refused there.
func (p *Plane) LimitedWorkers() int {
	p.local.mutex.Lock()
	defer p.local.mutex.Unlock()
	var count int
	for _, client := range p.local.clients {
		if client.terms.Terms().Limit.Set {
			count++
		}
	}
	return count
}

// LimitRefusals returns how many requests found no room in time at a worker that names a limit.
func (p *Plane) LimitRefusals() uint64 { return p.limitRefusals.Load() }

// setTerms tells the node beside a worker what this one knows of the worker's limit.
func (o *offers) setTerms(header http.Header, e *endpoint, now time.Time) {
	if news, known := o.call.plane.terms.Of(e.incarnation(), now); known {
		header[termsHeader] = []string{news.Encode()}
	}
}

// observeTerms records what the node beside a worker has told with its response to a request that
// was sent at sentAt. Only an answer of the worker shows by its silence that there is no limit.
func (o *offers) observeTerms(e *endpoint, header http.Header, sentAt time.Time) {
	news, stated := workers.ParseTermsNews(header[termsHeader])
	if !stated && len(header[hopFailureHeader]) > 0 {
		return
	}
	p := o.call.plane
	known, changed := p.terms.Observe(e.incarnation(), news.Terms, sentAt, time.Now())
	if changed {
		p.config.Observer.TermsChanged(workers.TermsChange{
			Service: o.destination.service, Instance: e.instance, Terms: known, Source: e.node, Age: news.Age,
		})
	}
}

// limitRefused reports whether a node had no room because its worker names a limit. That says nothing
// of the other workers of the service, as a refusal for want of a slot does under overload.
func limitRefused(err error) bool {
	load, _ := loadOfRefusal(err)
	return load.Interval > 0
}

// limitText formats the limit that a load shows, for logs; empty when there is none.
func limitText(load slotqueue.Load) string {
	if load.Interval <= 0 {
		return ""
	}
	return strconv.FormatFloat(float64(time.Second)/float64(load.Interval), 'g', 3, 64)
}
