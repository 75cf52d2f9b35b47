package sim

import (
	"math/rand/v2"
	"time"
)

// random is the only source of randomness of a world, so that the seed decides a run.
type random struct{ *rand.Rand }

func newRandom(seed uint64) random {
	const stream = 0x6c657665
	return random{rand.New(rand.NewPCG(seed, stream))}
}

func (r random) percent(chance int) bool  { return r.IntN(100) < chance }
func (r random) perMille(chance int) bool { return r.IntN(1000) < chance }

// duration returns a time from zero up to, but not including, limit.
func (r random) duration(limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}

// pick returns one of the items; there must be one.
func pick[T any](r random, items []T) T { return items[r.IntN(len(items))] }
