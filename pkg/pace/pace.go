package pace

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// leastRate is the rate, in requests per second, at which a worker with a lower limit is
	// sent requests: a worker that gets none cannot state that its limit has ended.
	leastRate = 0.1
	// leastBurst starts are saved up at least: where requests come by chance, one that finds the
	// limit unused makes up for one that came too early.
	leastBurst = 2
	// burstTime is the time for which further unused starts are saved up.
	burstTime = 500 * time.Millisecond
	// mostBurst bounds the starts that are saved up.
	mostBurst = 1000
	// longestTurn bounds how far ahead a turn is.
	longestTurn = 2 * time.Second
)

// TimerDelay is by how much the timer for a start may fire late on a busy machine. A request whose
// turn comes that close to its latest start would wait in vain.
const TimerDelay = 10 * time.Millisecond

// Pacer admits starts at a bounded rate. A nil Pacer admits all. It is not safe for concurrent use.
type Pacer struct {
	limiter *rate.Limiter
	// turnAt is the last turn that was given.
	turnAt time.Time
}

// New returns a Pacer for a limit in requests per second.
func New(perSecond float64, now time.Time) *Pacer {
	perSecond = max(perSecond, leastRate)
	burst := burstOf(perSecond)
	limiter := rate.NewLimiter(rate.Limit(perSecond), burst)
	limiter.AllowN(now, burst)
	return &Pacer{limiter: limiter}
}

// burstOf returns how many starts may be saved up.
func burstOf(perSecond float64) int {
	return leastBurst + int(min(perSecond*burstTime.Seconds(), mostBurst))
}

// SetRate changes the limit. The starts that were saved up are kept as far as the new limit allows
// them.
func (p *Pacer) SetRate(perSecond float64, now time.Time) {
	perSecond = max(perSecond, leastRate)
	p.limiter.SetLimitAt(now, rate.Limit(perSecond))
	p.limiter.SetBurstAt(now, burstOf(perSecond))
	p.turnAt = time.Time{}
}

// Ready reports whether a request may start now.
func (p *Pacer) Ready(now time.Time) bool { return p == nil || p.limiter.TokensAt(now) >= 1 }

// Take counts a request that starts now. It must be ready.
func (p *Pacer) Take(now time.Time) {
	if p != nil {
		p.limiter.AllowN(now, 1)
	}
}

// Interval returns the mean time between two starts; zero when all are admitted.
func (p *Pacer) Interval() time.Duration {
	if p == nil {
		return 0
	}
	return p.after(1)
}

// Wait returns how long a request waits that starts after the given number of others.
func (p *Pacer) Wait(ahead int, now time.Time) time.Duration {
	if p == nil {
		return 0
	}
	return max(p.after(float64(ahead)+1-p.limiter.TokensAt(now)), 0)
}

// after returns how long the given number of starts takes.
func (p *Pacer) after(starts float64) time.Duration {
	return time.Duration(starts / float64(p.limiter.Limit()) * float64(time.Second))
}

// Turn returns after which time somebody who was refused is to try again: the next start that was
// not given to another one. Without turns, all nodes of a large mesh would compete for each start,
// and all but one in vain.
func (p *Pacer) Turn(now time.Time) time.Duration {
	if p == nil {
		return 0
	}
	next := now.Add(p.Wait(0, now))
	if p.turnAt.Before(next) {
		p.turnAt = next
	} else {
		p.turnAt = p.turnAt.Add(p.Interval())
	}
	if latest := now.Add(longestTurn); p.turnAt.After(latest) {
		p.turnAt = latest
	}
	return p.turnAt.Sub(now)
}
