package hosted

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/contain"
)

// StoreObserver is called for each call to the store with its kind, its result and its duration. It
// must not block.
type StoreObserver func(call, result string, took time.Duration)

// Results of calls to the store.
const (
	resultDone       = "done"
	resultRefused    = "refused"
	resultUnanswered = "unanswered"
	resultMissing    = "missing"
	resultConflict   = "conflict"
)

// Observe returns a source and a directory whose calls are reported to the observer. A call that
// panics on what the store has answered is reported as such, too, and counts as one without an
// answer.
func Observe(source Source, directory Directory, observer StoreObserver, panicked contain.Report) (Source, Directory) {
	calls := observedCalls{observer: observer, panicked: panicked}
	return observedSource{source, calls}, observedDirectory{directory, calls}
}

// resultOf returns the result of a call.
func resultOf(err error) string {
	switch {
	case err == nil:
		return resultDone
	case errorx.IsOfType(err, ErrRefused):
		return resultRefused
	case errorx.IsOfType(err, ErrHistoryGone), errorx.IsOfType(err, ErrLeaseEnded), errorx.IsOfType(err, ErrNoDocument):
		return resultMissing
	default:
		return resultUnanswered
	}
}

// observedCalls makes calls to the store.
type observedCalls struct {
	observer StoreObserver
	panicked contain.Report
}

// make makes one call, and reports it.
func (o observedCalls) make(call string, work func() error) error {
	began := time.Now()
	err := o.attempt(call, work)
	o.observer(call, resultOf(err), time.Since(began))
	return err
}

// attempt makes one call.
func (o observedCalls) attempt(call string, work func() error) error {
	err := contain.Read("answer of the store", o.panicked, work)
	if errorx.IsOfType(err, contain.ErrPanic) {
		return ErrUnanswered.Wrap(err, "%s: cannot read the answer", call)
	}
	return err
}

type observedSource struct {
	Source
	calls observedCalls
}

// Read implements Source.
func (s observedSource) Read(ctx context.Context) (document Document, next Position, err error) {
	err = s.calls.make("read", func() (err error) {
		document, next, err = s.Source.Read(ctx)
		return err
	})
	return document, next, err
}

// Watch implements Source.
func (s observedSource) Watch(ctx context.Context, after Position, wait time.Duration) (watched Watched, err error) {
	err = s.calls.make("watch", func() (err error) {
		watched, err = s.Source.Watch(ctx, after, wait)
		return err
	})
	return watched, err
}

type observedDirectory struct {
	Directory
	calls observedCalls
}

// Grant implements Directory.
func (d observedDirectory) Grant(ctx context.Context, ttl time.Duration) (lease Lease, err error) {
	err = d.calls.make("grant", func() (err error) {
		lease, err = d.Directory.Grant(ctx, ttl)
		return err
	})
	return lease, err
}

// Replace implements Directory.
func (d observedDirectory) Replace(ctx context.Context, e Entry, lease Lease) (held Entry, replaced bool, err error) {
	began := time.Now()
	err = d.calls.attempt("replace", func() (err error) {
		held, replaced, err = d.Directory.Replace(ctx, e, lease)
		return err
	})
	result := resultOf(err)
	if err == nil && !replaced {
		result = resultConflict
	}
	d.calls.observer("replace", result, time.Since(began))
	return held, replaced, err
}

// Renew implements Directory.
func (d observedDirectory) Renew(ctx context.Context, lease Lease) error {
	return d.calls.make("renew", func() error { return d.Directory.Renew(ctx, lease) })
}

// Withdraw implements Directory.
func (d observedDirectory) Withdraw(ctx context.Context, lease Lease) error {
	return d.calls.make("withdraw", func() error { return d.Directory.Withdraw(ctx, lease) })
}

// Remove implements Directory.
func (d observedDirectory) Remove(ctx context.Context, id string, revision uint64) error {
	return d.calls.make("remove", func() error { return d.Directory.Remove(ctx, id, revision) })
}

// List implements Directory.
func (d observedDirectory) List(ctx context.Context, stale bool) (entries []Entry, err error) {
	err = d.calls.make("list", func() (err error) {
		entries, err = d.Directory.List(ctx, stale)
		return err
	})
	return entries, err
}

// ListAll implements Directory.
func (d observedDirectory) ListAll(ctx context.Context) (entries []Entry, err error) {
	err = d.calls.make("list-all", func() (err error) {
		entries, err = d.Directory.ListAll(ctx)
		return err
	})
	return entries, err
}

// Entry implements Directory.
func (d observedDirectory) Entry(ctx context.Context, id string) (e Entry, err error) {
	err = d.calls.make("entry", func() (err error) {
		e, err = d.Directory.Entry(ctx, id)
		return err
	})
	return e, err
}
