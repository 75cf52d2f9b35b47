package hosted

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
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

// Observe returns a source and a directory whose calls are reported to the observer.
func Observe(source Source, directory Directory, observer StoreObserver) (Source, Directory) {
	return observedSource{source, observer}, observedDirectory{directory, observer}
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

func (o StoreObserver) report(call string, began time.Time, err error) {
	o(call, resultOf(err), time.Since(began))
}

type observedSource struct {
	Source
	observer StoreObserver
}

// Read implements Source.
func (s observedSource) Read(ctx context.Context) (Document, Position, error) {
	began := time.Now()
	document, next, err := s.Source.Read(ctx)
	s.observer.report("read", began, err)
	return document, next, err
}

// Watch implements Source.
func (s observedSource) Watch(ctx context.Context, after Position, wait time.Duration) (Watched, error) {
	began := time.Now()
	watched, err := s.Source.Watch(ctx, after, wait)
	s.observer.report("watch", began, err)
	return watched, err
}

type observedDirectory struct {
	Directory
	observer StoreObserver
}

// Grant implements Directory.
func (d observedDirectory) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	began := time.Now()
	lease, err := d.Directory.Grant(ctx, ttl)
	d.observer.report("grant", began, err)
	return lease, err
}

// Replace implements Directory.
func (d observedDirectory) Replace(ctx context.Context, e Entry, lease Lease) (Entry, bool, error) {
	began := time.Now()
	held, replaced, err := d.Directory.Replace(ctx, e, lease)
	if err == nil && !replaced {
		d.observer("replace", resultConflict, time.Since(began))
		return held, false, nil
	}
	d.observer.report("replace", began, err)
	return held, replaced, err
}

// Renew implements Directory.
func (d observedDirectory) Renew(ctx context.Context, lease Lease) error {
	began := time.Now()
	err := d.Directory.Renew(ctx, lease)
	d.observer.report("renew", began, err)
	return err
}

// Withdraw implements Directory.
func (d observedDirectory) Withdraw(ctx context.Context, lease Lease) error {
	began := time.Now()
	err := d.Directory.Withdraw(ctx, lease)
	d.observer.report("withdraw", began, err)
	return err
}

// Remove implements Directory.
func (d observedDirectory) Remove(ctx context.Context, id string, revision uint64) error {
	began := time.Now()
	err := d.Directory.Remove(ctx, id, revision)
	d.observer.report("remove", began, err)
	return err
}

// List implements Directory.
func (d observedDirectory) List(ctx context.Context, stale bool) ([]Entry, error) {
	began := time.Now()
	entries, err := d.Directory.List(ctx, stale)
	d.observer.report("list", began, err)
	return entries, err
}

// ListAll implements Directory.
func (d observedDirectory) ListAll(ctx context.Context) ([]Entry, error) {
	began := time.Now()
	entries, err := d.Directory.ListAll(ctx)
	d.observer.report("list-all", began, err)
	return entries, err
}

// Entry implements Directory.
func (d observedDirectory) Entry(ctx context.Context, id string) (Entry, error) {
	began := time.Now()
	e, err := d.Directory.Entry(ctx, id)
	d.observer.report("entry", began, err)
	return e, err
}
