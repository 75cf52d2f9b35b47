package hosted

import (
	"context"

	"github.com/levertide/levertide/pkg/contain"
)

// pendingCommitments are the drain commitments that are being replicated. A worker may ask for one
// while another cause has already made it, such as an answer that says that the worker leaves: it
// is told that the commitment is kept only once it is.
type pendingCommitments struct {
	mu contain.Mutex
	// done holds, by instance, a channel that is closed at the end of the last call that began.
	done map[string]chan struct{}
	// unheld holds the instances whose commitment nobody but this node holds yet.
	unheld map[string]bool
}

// begin marks a call that may make a commitment to a worker. It returns a function that waits for
// the calls that began before, and one that must be called at the end.
func (p *pendingCommitments) begin(instance string) (wait func(ctx context.Context), end func()) {
	own := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done == nil {
		p.done = map[string]chan struct{}{}
	}
	earlier := p.done[instance]
	p.done[instance] = own
	wait = func(ctx context.Context) {
		if earlier == nil {
			return
		}
		select {
		case <-earlier:
		case <-ctx.Done():
		}
	}
	return wait, func() { p.end(instance, own) }
}

func (p *pendingCommitments) end(instance string, own chan struct{}) {
	close(own)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done[instance] == own {
		delete(p.done, instance)
	}
}

// isUnheld reports whether nobody but this node holds the commitment to a worker yet.
func (p *pendingCommitments) isUnheld(instance string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unheld[instance]
}

func (p *pendingCommitments) setUnheld(instance string, unheld bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !unheld {
		delete(p.unheld, instance)
		return
	}
	if p.unheld == nil {
		p.unheld = map[string]bool{}
	}
	p.unheld[instance] = true
}
