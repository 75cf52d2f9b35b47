package control

import (
	"context"
	"math/rand/v2"
	"time"
)

// backoff returns exponentially growing pauses with full jitter. It is not safe
// for concurrent use.
type backoff struct {
	base     time.Duration
	ceiling  time.Duration
	attempts int
}

// next returns a pause between zero and a limit that doubles with each call.
func (b *backoff) next() time.Duration {
	limit := b.ceiling
	if b.attempts < maximumDoublings {
		limit = min(b.base<<b.attempts, b.ceiling)
	}
	b.attempts++
	return randomBelow(limit)
}

// reset starts again from the shortest pause.
func (b *backoff) reset() { b.attempts = 0 }

const maximumDoublings = 20

// randomBelow returns a random duration below the limit.
func randomBelow(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return rand.N(limit)
}

// sleep waits for the pause. It reports false when the context ended first.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
