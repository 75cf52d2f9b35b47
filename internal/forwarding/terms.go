package forwarding

import (
	"net/http"
	"time"
)

// observeTerms records what the worker states in an answer to a request that was sent at sentAt.
func (w *workerClient) observeTerms(header http.Header, sentAt time.Time) {
	stated, err := w.dialect.workerTerms(header)
	if err != nil {
		w.plane.config.Observer.LimitUnreadable(w.worker.Instance, err)
	}
	w.mutex.Lock()
	changed := w.terms.Observe(stated, sentAt, time.Now())
	known := w.terms.Terms()
	w.mutex.Unlock()
	if !changed {
		return
	}
	w.plane.config.Observer.TermsChanged(TermsReport{
		Service: w.worker.Service, Instance: w.worker.Instance, Terms: known, Source: w.plane.config.Node,
	})
}

// limited reports whether the worker names a limit.
func (w *workerClient) limited() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.terms.Terms().Limit.Set
}

// LimitedWorkers returns how many workers beside this node name a limit.
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
