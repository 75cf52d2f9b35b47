package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store. The value is base64 text, as it travels.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// store is a stand-in for the platform's metadata store: sound, linearizable, never refusing.
type store struct {
	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	history   []item
	leases    map[uint64]*lease
	nextLease uint64
	changed   chan struct{}
}

func newStore() *store {
	s := &store{items: map[string]item{}, leases: map[uint64]*lease{}, nextLease: 100, revision: 10, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.until) {
			s.end(id)
		}
	}
}

// end ends a lease. The mutex is held.
func (s *store) end(id uint64) {
	delete(s.leases, id)
	for key, held := range s.items {
		if held.Lease == id {
			s.removeKey(key)
		}
	}
}

func (s *store) removeKey(key string) {
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Gone: true})
}

func (s *store) record(change item) {
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key. The mutex is held.
func (s *store) put(key, value string, leaseID uint64) uint64 {
	s.revision++
	created := s.revision
	if held, known := s.items[key]; known {
		created = held.Created
	}
	written := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = written
	s.record(written)
	return s.revision
}

// operatorPut writes a key as the operator does; when it returns, the change is acknowledged.
func (s *store) operatorPut(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

func (s *store) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(s.serve)) }()
	return nil
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	body, _ := io.ReadAll(r.Body)
	query := r.URL.Query()
	switch path := r.URL.Path; {
	case path == names["key"]:
		s.mu.Lock()
		held, known := s.items[query.Get("key")]
		at := s.revision
		s.mu.Unlock()
		if !known {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		reply(w, http.StatusOK, map[string]any{"key": held.Key, "value": held.Value, "revision": held.Revision, "created": held.Created, "lease": held.Lease, "at": at})
	case path == names["range"]:
		s.mu.Lock()
		list := []item{}
		for key, held := range s.items {
			if strings.HasPrefix(key, query.Get("path_prefix")) && key > query.Get("after") {
				list = append(list, held)
			}
		}
		at := s.revision
		s.mu.Unlock()
		sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
		reply(w, http.StatusOK, map[string]any{"items": list, "has_more": false, "at": at})
	case path == names["watch"]:
		s.watch(w, r)
	case path == names["txn"]:
		s.transact(w, body)
	case path == names["lease"]:
		var asked struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.Unmarshal(body, &asked)
		ttl := time.Duration(max(asked.TTL, 1000)) * time.Millisecond
		s.mu.Lock()
		s.nextLease++
		id := s.nextLease
		s.leases[id] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
	case strings.HasPrefix(path, names["keep"]):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, names["keep"]), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		held := s.leases[id]
		if held == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		held.until = time.Now().Add(held.ttl)
		reply(w, http.StatusOK, map[string]any{"ttl_ms": held.ttl.Milliseconds()})
	case strings.HasPrefix(path, names["leaseEnd"]):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, names["leaseEnd"]), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.leases[id] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		s.end(id)
		reply(w, http.StatusOK, map[string]any{})
	default:
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		events, at, changed := []item{}, s.revision, s.changed
		for _, change := range s.history {
			if change.Revision > after && strings.HasPrefix(change.Key, query.Get("path_prefix")) {
				events = append(events, change)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, body []byte) {
	var parts map[string]json.RawMessage
	var expected, puts []item
	var removes []string
	if json.Unmarshal(body, &parts) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	_ = json.Unmarshal(parts[names["expected"]], &expected)
	_ = json.Unmarshal(parts["put"], &puts)
	_ = json.Unmarshal(parts["remove"], &removes)
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, each := range expected {
		held, known := s.items[each.Key]
		if known {
			current = append(current, held)
		}
		holds = holds && held.Revision == each.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, each := range puts {
		if each.Lease != 0 && s.leases[each.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		if strings.HasPrefix(each.Key, "op/") || strings.HasPrefix(each.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	for _, each := range puts {
		s.put(each.Key, each.Value, each.Lease)
	}
	for _, key := range removes {
		if _, known := s.items[key]; known {
			s.removeKey(key)
		}
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}
