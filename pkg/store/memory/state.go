package memory

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/levertide/levertide/pkg/store"
)

// Session is one open session.
type Session struct {
	ID   string        `json:"id"`
	Name string        `json:"name"`
	TTL  time.Duration `json:"ttl"`
	// Deadline is when the session lapses, counted from the start of the store's
	// time.
	Deadline time.Duration `json:"deadline"`
}

// State is the complete content of a store, as a backup holds it.
type State struct {
	Index    uint64         `json:"index"`
	Records  []store.Record `json:"records"`
	Sessions []Session      `json:"sessions"`
}

// State returns a copy of the complete content.
func (s *Store) State() State {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state := State{Index: s.index}
	for _, record := range s.records {
		state.Records = append(state.Records, copyRecord(record))
	}
	slices.SortFunc(state.Records, func(a, b store.Record) int { return cmp.Compare(a.Key, b.Key) })
	for _, session := range s.sessions {
		state.Sessions = append(state.Sessions, session)
	}
	slices.SortFunc(state.Sessions, func(a, b Session) int { return cmp.Compare(a.ID, b.ID) })
	return state
}

// Restore replaces the complete content; indexes return to those of state. Blocked
// reads return at once.
func (s *Store) Restore(state State) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.index = state.Index
	s.records = make(map[string]store.Record, len(state.Records))
	for _, record := range state.Records {
		s.records[record.Key] = copyRecord(record)
	}
	s.sessions = make(map[string]Session, len(state.Sessions))
	for _, session := range state.Sessions {
		s.sessions[session.ID] = session
	}
	maps.DeleteFunc(s.lockDelays, func(string, time.Duration) bool { return true })
	s.restores++
	s.wakeLocked()
}

func copyRecord(record store.Record) store.Record {
	record.Value = slices.Clone(record.Value)
	return record
}
