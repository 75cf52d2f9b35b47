package memory

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/levertide/levertide/pkg/store"
)

// Options configure a Store.
type Options struct {
	// Intercept, when set, is called before each request is carried out, and
	// chooses the request's fault. No lock is held during the call.
	Intercept func(Request) Fault
	// LockDelay is how long a key cannot be acquired after the session that held
	// it has lapsed.
	LockDelay time.Duration
}

// Store is a store.Store in memory. All methods may be called from several goroutines.
type Store struct {
	options Options

	mutex           sync.Mutex
	now             time.Duration
	index           uint64
	records         map[string]store.Record
	sessions        map[string]Session
	lockDelays      map[string]time.Duration
	sessionsCreated uint64
	restores        uint64
	heldWrites      []func() error
	changed         chan struct{}
}

var _ store.Store = (*Store)(nil)

// New returns an empty store.
func New(options Options) *Store {
	return &Store{
		options:    options,
		index:      1,
		records:    make(map[string]store.Record),
		sessions:   make(map[string]Session),
		lockDelays: make(map[string]time.Duration),
		changed:    make(chan struct{}),
	}
}

// Changed returns a channel that is closed at the next change of the content
// and whenever time advances.
func (s *Store) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

func (s *Store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get implements store.Store. A blocked read ends when the key's index exceeds
// WaitIndex, when Advance has advanced time by Wait, at the next Restore, or when
// the context ends.
func (s *Store) Get(ctx context.Context, key string, options store.ReadOptions) (store.Record, uint64, error) {
	fault := s.intercept(Request{Kind: RequestGet, Keys: []string{key}})
	if err := fault.readError(); err != nil {
		return store.Record{}, 0, err
	}
	condition := s.newWaitCondition(options)
	for {
		record, index, changed, err := s.read(key, condition)
		if changed == nil {
			return record, index, err
		}
		select {
		case <-ctx.Done():
			return store.Record{}, 0, store.ErrUnreachable.Wrap(ctx.Err(), "the read was cancelled")
		case <-changed:
		}
	}
}

// waitCondition is what a blocked read waits for.
type waitCondition struct {
	index    uint64
	deadline time.Duration
	restores uint64
}

func (s *Store) newWaitCondition(options store.ReadOptions) waitCondition {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return waitCondition{index: options.WaitIndex, deadline: s.now + options.Wait, restores: s.restores}
}

// read returns the result of a read whose condition is met, or else the channel to
// wait on before reading again.
func (s *Store) read(key string, condition waitCondition) (store.Record, uint64, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	record, found := s.records[key]
	index := s.index
	if found {
		index = record.ModifyIndex
	}
	waitEnded := s.now >= condition.deadline || s.restores != condition.restores
	if index <= condition.index && !waitEnded {
		return store.Record{}, 0, s.changed, nil
	}
	if !found {
		return store.Record{}, index, nil, store.ErrNotFound.New("no record %s", key)
	}
	return copyRecord(record), index, nil, nil
}

// GetMany implements store.Store.
func (s *Store) GetMany(_ context.Context, keys []string, _ bool) ([]store.Record, error) {
	if len(keys) > store.MaxTransactionOperations {
		return nil, store.ErrTooLarge.New("%d keys exceed the limit of %d", len(keys), store.MaxTransactionOperations)
	}
	fault := s.intercept(Request{Kind: RequestGetMany, Keys: keys})
	if err := fault.readError(); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var records []store.Record
	for _, key := range keys {
		if record, found := s.records[key]; found {
			records = append(records, copyRecord(record))
		}
	}
	return records, nil
}

// List implements store.Store.
func (s *Store) List(_ context.Context, prefix string) ([]store.Record, error) {
	fault := s.intercept(Request{Kind: RequestList, Keys: []string{prefix}})
	if err := fault.readError(); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var records []store.Record
	for key, record := range s.records {
		if strings.HasPrefix(key, prefix) {
			records = append(records, copyRecord(record))
		}
	}
	slices.SortFunc(records, func(a, b store.Record) int { return strings.Compare(a.Key, b.Key) })
	return records, nil
}

// ListKeys implements store.Store.
func (s *Store) ListKeys(_ context.Context, prefix string) ([]string, error) {
	fault := s.intercept(Request{Kind: RequestListKeys, Keys: []string{prefix}})
	if err := fault.readError(); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var keys []string
	for key := range s.records {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys, nil
}

// Transact implements store.Store.
func (s *Store) Transact(_ context.Context, operations []store.Operation) error {
	if err := store.CheckTransactionSize(operations); err != nil {
		return err
	}
	request := Request{Kind: RequestTransact, Operations: operations}
	for _, operation := range operations {
		request.Keys = append(request.Keys, operation.Key)
	}
	copied := make([]store.Operation, len(operations))
	for i, operation := range operations {
		copied[i] = operation
		copied[i].Value = slices.Clone(operation.Value)
	}
	return s.write(request, func() error { return s.transactLocked(copied) })
}
