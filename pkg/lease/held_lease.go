package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/store"
)

const (
	// renewalsPerTTL is the number of renewals in one time to live.
	renewalsPerTTL = 3
	// retriesPerTTL is the number of attempts in one time to live after a renewal has failed.
	retriesPerTTL = 10
)

// heldLease is a lease with the goroutine that renews it.
type heldLease struct {
	options Options
	key     string
	session string
	cancel  context.CancelFunc
	lost    chan struct{}
	done    chan struct{}

	mutex   sync.Mutex
	renewed time.Time
	ended   bool
}

func (l *StoreLessor) hold(key, session string, sent time.Time) *heldLease {
	ctx, cancel := context.WithCancel(context.Background())
	held := &heldLease{
		options: l.options,
		key:     key,
		session: session,
		cancel:  cancel,
		lost:    make(chan struct{}),
		done:    make(chan struct{}),
		renewed: sent,
	}
	go held.maintain(ctx)
	return held
}

// Key implements Lease.
func (h *heldLease) Key() string { return h.key }

// Lost implements Lease.
func (h *heldLease) Lost() <-chan struct{} { return h.lost }

// Valid implements Lease.
func (h *heldLease) Valid() bool {
	if h.remaining() > 0 {
		return true
	}
	h.end()
	return false
}

// remaining returns how long the lease may be trusted without another renewal;
// zero once it has ended. It checks the wall clock as well as the monotonic one,
// which may stand still while a machine is suspended.
func (h *heldLease) remaining() time.Duration {
	now := h.options.Now()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.ended {
		return 0
	}
	elapsed := max(now.Sub(h.renewed), now.Round(0).Sub(h.renewed.Round(0)))
	return h.options.TTL - elapsed
}

// end ends the lease and reports whether it had not ended before.
func (h *heldLease) end() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.ended {
		return false
	}
	h.ended = true
	h.cancel()
	close(h.lost)
	return true
}

// maintain renews the lease until it has ended. A panic ends it: nobody renews it any more.
func (h *heldLease) maintain(ctx context.Context) {
	defer close(h.done)
	if !contain.Run(contain.Task, "lease", h.options.Panicked, func() { h.renewUntilEnded(ctx) }) {
		h.end()
	}
}

func (h *heldLease) renewUntilEnded(ctx context.Context) {
	pause := h.renewalPause()
	for {
		if !sleep(ctx, min(pause, h.remaining())) || !h.Valid() {
			return
		}
		switch err := h.renew(ctx); {
		case err == nil:
			pause = h.renewalPause()
		case errorx.IsOfType(err, store.ErrSessionGone):
			h.end()
			return
		default:
			pause = jitter(h.options.TTL / retriesPerTTL)
		}
	}
}

// renew extends the session. The lease counts from when the request was sent: the
// store cannot have started the time to live before that.
func (h *heldLease) renew(ctx context.Context) error {
	sent := h.options.Now()
	ctx, cancel := context.WithTimeout(ctx, h.remaining())
	defer cancel()
	if err := h.options.Store.RenewSession(ctx, h.session); err != nil {
		return err
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.renewed = sent
	return nil
}

func (h *heldLease) renewalPause() time.Duration { return jitter(h.options.TTL / renewalsPerTTL) }

// jitter returns between three quarters of a duration and all of it.
func jitter(duration time.Duration) time.Duration {
	return duration - rand.N(duration/4+1)
}

// Release implements Lease.
func (h *heldLease) Release(ctx context.Context) error {
	valid := h.Valid()
	ended := h.end()
	<-h.done
	err := h.options.Store.DestroySession(ctx, h.session)
	if !valid || !ended {
		return ErrLeaseLost.New("the lease on %s had ended before it was released", h.key)
	}
	return err
}

// sleep waits for the duration and returns false when the context ended first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
