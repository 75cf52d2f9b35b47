package memory

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/levertide/levertide/pkg/store"
)

// Advance sets the store's time to now, counted from its start, and ends the
// sessions that were not renewed in time. An earlier time has no effect.
func (s *Store) Advance(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now <= s.now {
		return
	}
	s.now = now
	for id, session := range s.sessions {
		if session.Deadline <= now {
			s.endSessionLocked(id, s.options.LockDelay)
		}
	}
	s.wakeLocked()
}

// Now returns the store's time, counted from its start.
func (s *Store) Now() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.now
}

// SetLockDelay changes how long a key cannot be acquired after its session lapsed.
func (s *Store) SetLockDelay(delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.options.LockDelay = delay
}

// LapseSessions ends every open session at once, as if none had been renewed
// in time, and returns how many there were.
func (s *Store) LapseSessions() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	lapsed := len(s.sessions)
	for id := range s.sessions {
		s.endSessionLocked(id, s.options.LockDelay)
	}
	return lapsed
}

func (s *Store) endSessionLocked(id string, lockDelay time.Duration) {
	delete(s.sessions, id)
	released := false
	for key, record := range s.records {
		if record.Session != id {
			continue
		}
		record.Session = ""
		record.ModifyIndex = s.index + 1
		s.records[key] = record
		released = true
		if lockDelay > 0 {
			s.lockDelays[key] = s.now + lockDelay
		}
	}
	if released {
		s.index++
	}
	s.wakeLocked()
}

// CreateSession implements store.Store.
func (s *Store) CreateSession(_ context.Context, name string, ttl time.Duration) (string, error) {
	var id string
	err := s.write(Request{Kind: RequestCreateSession}, func() error {
		s.sessionsCreated++
		id = fmt.Sprintf("00000000-0000-4000-8000-%012x", s.sessionsCreated)
		s.sessions[id] = Session{ID: id, Name: name, TTL: ttl, Deadline: s.now + ttl}
		return nil
	})
	if err != nil {
		return "", err
	}
	return id, nil
}

// RenewSession implements store.Store.
func (s *Store) RenewSession(_ context.Context, session string) error {
	return s.write(Request{Kind: RequestRenewSession, Session: session}, func() error {
		renewed, found := s.sessions[session]
		if !found {
			return store.ErrSessionGone.New("no session %s", session)
		}
		renewed.Deadline = s.now + renewed.TTL
		s.sessions[session] = renewed
		return nil
	})
}

// DestroySession implements store.Store. A session that does not exist is no error.
func (s *Store) DestroySession(_ context.Context, session string) error {
	return s.write(Request{Kind: RequestDestroySession, Session: session}, func() error {
		if _, found := s.sessions[session]; found {
			s.endSessionLocked(session, 0)
		}
		return nil
	})
}

// Acquire implements store.Store.
func (s *Store) Acquire(_ context.Context, key string, value []byte, session string) (bool, error) {
	var acquired bool
	copied := slices.Clone(value)
	err := s.write(Request{Kind: RequestAcquire, Keys: []string{key}, Session: session}, func() error {
		if _, found := s.sessions[session]; !found {
			return store.ErrSessionGone.New("no session %s", session)
		}
		acquired = s.acquireLocked(key, copied, session)
		return nil
	})
	return acquired, err
}

func (s *Store) acquireLocked(key string, value []byte, session string) bool {
	record := s.records[key]
	if record.Session != "" && record.Session != session {
		return false
	}
	if record.Session == "" && s.lockDelays[key] > s.now {
		return false
	}
	delete(s.lockDelays, key)
	if record.Session == session && bytes.Equal(record.Value, value) {
		return true
	}
	s.index++
	s.records[key] = store.Record{Key: key, Value: value, ModifyIndex: s.index, Session: session}
	s.wakeLocked()
	return true
}

// Release implements store.Store. The record remains, without a holder.
func (s *Store) Release(_ context.Context, key string, session string) error {
	return s.write(Request{Kind: RequestRelease, Keys: []string{key}, Session: session}, func() error {
		record, found := s.records[key]
		if !found || record.Session != session {
			return nil
		}
		s.index++
		record.Session = ""
		record.ModifyIndex = s.index
		s.records[key] = record
		s.wakeLocked()
		return nil
	})
}
