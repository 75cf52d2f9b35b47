package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff computes the pause before an attempt.
type Backoff struct {
	// Base bounds the first pause, Cap every pause.
	Base, Cap time.Duration
}

// DefaultBackoff suits calls between machines of one region.
var DefaultBackoff = Backoff{Base: 4 * time.Millisecond, Cap: 250 * time.Millisecond}

// Pause returns a random time, uniformly distributed from zero to the smaller of
// Cap and Base doubled retry times (full jitter). retry counts from zero.
func (b Backoff) Pause(retry int, random *rand.Rand) time.Duration {
	return b.PauseAt(retry, random.Float64())
}

// PauseAt is Pause with the random fraction, from 0 up to 1, passed in.
func (b Backoff) PauseAt(retry int, fraction float64) time.Duration {
	return time.Duration(fraction * float64(b.bound(retry)))
}

func (b Backoff) bound(retry int) time.Duration {
	bound := b.Base
	for range retry {
		bound *= 2
		if bound >= b.Cap {
			return b.Cap
		}
	}
	return min(bound, b.Cap)
}
