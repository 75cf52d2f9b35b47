package ratelimit

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/time/rate"

	"github.com/levertide/levertide/pkg/store"
)

// Defaults of Options.
const (
	DefaultRequestsPerSecond = 20
	DefaultBurst             = 40
	DefaultRateLimitRetries  = 8
	DefaultMinimumPause      = 100 * time.Millisecond
	DefaultMaximumPause      = 5 * time.Second
)

// Options configure a Limiter; zero fields take the defaults.
type Options struct {
	// RequestsPerSecond and Burst bound the requests sent. Half of Burst is
	// reserved for normal requests.
	RequestsPerSecond float64
	Burst             int
	// RateLimitRetries is how often a request is retried that the store refused
	// because of its own rate limit. Such a request was not carried out.
	RateLimitRetries int
	// MinimumPause and MaximumPause bound the random pause after such a refusal,
	// which is added to the pause that the store requests, if any. Its bound doubles
	// from MinimumPause with each attempt, up to MaximumPause.
	MinimumPause time.Duration
	MaximumPause time.Duration
}

func (o Options) withDefaults() Options {
	if o.RequestsPerSecond <= 0 {
		o.RequestsPerSecond = DefaultRequestsPerSecond
	}
	if o.Burst <= 0 {
		o.Burst = DefaultBurst
	}
	if o.RateLimitRetries <= 0 {
		o.RateLimitRetries = DefaultRateLimitRetries
	}
	if o.MinimumPause <= 0 {
		o.MinimumPause = DefaultMinimumPause
	}
	if o.MaximumPause <= 0 {
		o.MaximumPause = DefaultMaximumPause
	}
	return o
}

// Limiter bounds the requests to one store. It may be used by several goroutines.
type Limiter struct {
	store         store.Store
	options       Options
	bucket        *rate.Limiter
	waitingNormal atomic.Int64
	// backOffDeadline is the time, in nanoseconds since start, before which no
	// request is sent, because the store refused one for its rate.
	backOffDeadline atomic.Int64
	start           time.Time
	requests        atomic.Uint64
	refused         atomic.Uint64
}

// New returns a limiter in front of inner.
func New(inner store.Store, options Options) *Limiter {
	options = options.withDefaults()
	return &Limiter{
		store:   inner,
		options: options,
		bucket:  rate.NewLimiter(rate.Limit(options.RequestsPerSecond), options.Burst),
		start:   time.Now(),
	}
}

// Normal returns the store for requests whose result a caller waits for.
func (l *Limiter) Normal() *View { return &View{limiter: l, admit: l.admitNormal} }

// Housekeeping returns the store for requests that can wait.
func (l *Limiter) Housekeeping() *View { return &View{limiter: l, admit: l.admitHousekeeping} }

// Requests returns how many requests were sent to the store.
func (l *Limiter) Requests() uint64 { return l.requests.Load() }

// Refused returns how many of them the store refused because of its rate limit.
func (l *Limiter) Refused() uint64 { return l.refused.Load() }

func (l *Limiter) admitNormal(ctx context.Context) error {
	l.waitingNormal.Add(1)
	defer l.waitingNormal.Add(-1)
	if err := l.waitForBackOff(ctx); err != nil {
		return err
	}
	if err := l.bucket.Wait(ctx); err != nil {
		return notSent(err)
	}
	return nil
}

func (l *Limiter) admitHousekeeping(ctx context.Context) error {
	reserve := float64(l.options.Burst) / 2
	refill := time.Duration(float64(time.Second) / l.options.RequestsPerSecond)
	for {
		if err := l.waitForBackOff(ctx); err != nil {
			return err
		}
		if l.waitingNormal.Load() == 0 && l.bucket.Tokens() > reserve && l.bucket.Allow() {
			return nil
		}
		if err := pause(ctx, refill); err != nil {
			return err
		}
	}
}

func (l *Limiter) waitForBackOff(ctx context.Context) error {
	for {
		remaining := time.Duration(l.backOffDeadline.Load()) - time.Since(l.start)
		if remaining <= 0 {
			return nil
		}
		if err := pause(ctx, remaining); err != nil {
			return err
		}
	}
}

// backOff delays every request of the process by at least the given pause from now.
func (l *Limiter) backOff(pause time.Duration) {
	until := int64(time.Since(l.start) + pause)
	for {
		current := l.backOffDeadline.Load()
		if current >= until || l.backOffDeadline.CompareAndSwap(current, until) {
			return
		}
	}
}

// do sends a request, and retries it when the store refused it because of its rate
// limit.
func (l *Limiter) do(ctx context.Context, admit func(context.Context) error, send func() error) error {
	for attempt := 0; ; attempt++ {
		if err := admit(ctx); err != nil {
			return err
		}
		l.requests.Add(1)
		err := send()
		if !errorx.IsOfType(err, store.ErrRateLimited) {
			return err
		}
		l.refused.Add(1)
		if attempt >= l.options.RateLimitRetries {
			return err
		}
		l.backOff(l.pauseAfter(attempt, store.RetryAfter(err)))
	}
}

// pauseAfter returns the pause that the store requested plus full jitter, whose bound
// doubles with each attempt.
func (l *Limiter) pauseAfter(attempt int, requested time.Duration) time.Duration {
	bound := l.options.MaximumPause
	if shifted := l.options.MinimumPause << attempt; shifted > 0 && shifted < bound {
		bound = shifted
	}
	return requested + rand.N(bound)
}

func pause(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return notSent(ctx.Err())
	case <-timer.C:
		return nil
	}
}

func notSent(cause error) error {
	return store.ErrUnreachable.Wrap(cause, "the request was not sent")
}
