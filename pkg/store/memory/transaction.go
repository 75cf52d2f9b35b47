package memory

import (
	"bytes"

	"github.com/levertide/levertide/pkg/store"
)

// transactLocked checks every operation before it carries out the first, so
// that a transaction takes effect completely or not at all.
func (s *Store) transactLocked(operations []store.Operation) error {
	for _, operation := range operations {
		if err := s.checkLocked(operation); err != nil {
			return err
		}
	}
	index := s.index + 1
	wrote := false
	for _, operation := range operations {
		wrote = s.applyLocked(operation, index) || wrote
	}
	if wrote {
		s.index = index
		s.wakeLocked()
	}
	return nil
}

func (s *Store) checkLocked(operation store.Operation) error {
	switch operation.Verb {
	case store.VerbSet, store.VerbDelete:
		return nil
	case store.VerbCompareAndSwap, store.VerbCheckIndex:
		record := s.records[operation.Key]
		if record.ModifyIndex != operation.Index {
			return store.ErrConflict.New("%s has index %d, not %d", operation.Key, record.ModifyIndex, operation.Index)
		}
		return nil
	default:
		return store.ErrRefused.New("unknown verb %q", operation.Verb)
	}
}

// applyLocked carries out one checked operation and reports whether anything
// changed. As on the platform, setting a record to the value that it already has
// does not raise the record's index.
func (s *Store) applyLocked(operation store.Operation, index uint64) bool {
	record, found := s.records[operation.Key]
	switch operation.Verb {
	case store.VerbDelete:
		delete(s.records, operation.Key)
		return found
	case store.VerbSet, store.VerbCompareAndSwap:
		if found && bytes.Equal(record.Value, operation.Value) {
			return false
		}
		s.records[operation.Key] = store.Record{
			Key:         operation.Key,
			Value:       operation.Value,
			ModifyIndex: index,
			Session:     record.Session,
		}
		return true
	default:
		return false
	}
}
