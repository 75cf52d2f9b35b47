package hosted

import (
	"context"
	"sync"
	"time"
)

// batch collects news and sends them at intervals: the first at once, those that
// come before the interval is over together. However many nodes change at the same
// time, the receivers get no more messages than that.
type batch struct {
	send func(ctx context.Context, what news)
	// interval returns how long after a message the next one may follow.
	interval func() time.Duration
	// background runs the sending until the agent ends.
	background func(work func(ctx context.Context))

	mu sync.Mutex
	// waiting is what is to be sent next; nil when there is nothing.
	waiting *news
	// sending is set while a goroutine looks after what waits.
	sending bool
}

// add has news sent with the next message.
func (b *batch) add(what news) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting == nil {
		b.waiting = &what
	} else {
		b.waiting.add(what)
	}
	if !b.sending {
		b.sending = true
		b.background(b.run)
	}
}

// run sends until nothing waits. A message is not waited for: a node that does not
// answer must not hold up what the others are to know.
func (b *batch) run(ctx context.Context) {
	for next := b.take(); next != nil; next = b.take() {
		b.background(func(ctx context.Context) { b.send(ctx, *next) })
		sleep(ctx, b.interval())
	}
}

// take returns what waits. When that is nothing, the next news start a new run.
func (b *batch) take() *news {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := b.waiting
	b.waiting = nil
	b.sending = next != nil
	return next
}
