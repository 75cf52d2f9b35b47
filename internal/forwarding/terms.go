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
	usual := stated == workers.Terms{}
	if usual && w.heardUsual.Load() && !w.hasTerms.Load() {
		return
	}
	w.heardUsual.Store(usual)
	w.updateTerms(w.plane.config.Node, 0, func(tracker *workers.TermsTracker) bool {
		return tracker.Observe(stated, sentAt, time.Now())
	})
}

// adoptTerms records what the node at an address tells of the worker.
func (w *workerClient) adoptTerms(news workers.TermsNews, address string) {
	w.updateTerms(address, news.Age, func(tracker *workers.TermsTracker) bool {
		return tracker.Adopt(news.Terms, time.Now().Add(-news.Age))
	})
}

// updateTerms makes the queue follow the terms where update has changed them, and reports the
// change.
func (w *workerClient) updateTerms(source string, age time.Duration, update func(*workers.TermsTracker) bool) {
	w.mutex.Lock()
	before := w.terms.Terms()
	changed := update(&w.terms)
	known := w.terms.Terms()
	if changed {
		w.followTerms(before, known)
	}
	w.mutex.Unlock()
	if !changed {
		return
	}
	report := TermsReport{Service: w.worker.Service, Instance: w.worker.Instance, Terms: known, Source: source, Age: age}
	w.plane.config.Observer.TermsChanged(report)
	if known.Leaving && !before.Leaving {
		w.plane.config.Leaving(w.incarnation())
	}
}

// followTerms makes the queue follow changed terms. A worker that leaves gets nothing that has not
// started yet: other workers can still take that. The mutex must be held.
func (w *workerClient) followTerms(before, known workers.Terms) {
	switch {
	case known.Limit == before.Limit:
	case known.Limit.Set:
		w.queue.SetLimit(known.Limit.PerSecond)
	default:
		w.queue.RemoveLimit()
	}
	if known.Leaving {
		w.queue.Close()
	}
	w.hasTerms.Store(known != workers.Terms{})
}

// termsNews returns what other nodes are told of the worker; false when there is nothing to tell.
func (w *workerClient) termsNews(load slotqueue.Load) (workers.TermsNews, bool) {
	if !w.hasTerms.Load() {
		return workers.TermsNews{}, false
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return workers.TermsNews{Terms: w.terms.Terms(), Age: time.Since(w.terms.StatedAt()), NextStart: load.NextStart}, true
}

// limited reports whether the worker names a limit.
func (w *workerClient) limited() bool {
	if !w.hasTerms.Load() {
		return false
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.terms.Terms().Limit.Set
}

// leaves reports whether the worker has stated that it leaves.
func (w *workerClient) leaves() bool {
	if !w.hasTerms.Load() {
		return false
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.terms.Terms().Leaving
}

// paced returns the failure of a request that found no room in time. Where the worker's limit may
// be the reason, the retry time is the next turn that nobody else was given.
func (w *workerClient) paced(err error) error {
	if outcome.ReasonOf(err) != outcome.Overloaded || !w.limited() {
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
		if client.limited() {
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
		p.config.Observer.TermsChanged(TermsReport{
			Service: o.destination.service, Instance: e.instance, Terms: known, Source: e.node, Age: news.Age,
		})
	}
}

// limitText formats the limit that a load shows, for logs; empty when there is none.
func limitText(load slotqueue.Load) string {
	if load.Interval <= 0 {
		return ""
	}
	return strconv.FormatFloat(float64(time.Second)/float64(load.Interval), 'g', 3, 64)
}
