package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// storeItem is one key of the store.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

// storeEvent is one change, as a watch reports it.
type storeEvent struct {
	storeItem
	gone bool
}

// MarshalJSON writes a change as the platform's page shows it.
func (e storeEvent) MarshalJSON() ([]byte, error) {
	if e.gone {
		return json.Marshal(map[string]any{"key": e.Key, "revision": e.Revision, "gone": true})
	}
	return json.Marshal(e.storeItem)
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

// store is the platform's metadata store: linearizable, nothing is lost.
type store struct {
	server *http.Server

	// silent has the store answer nothing; nothing that comes meanwhile is done.
	silent atomic.Bool

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeEvent
	leases   map[uint64]storeLease
	next     uint64
	changed  chan struct{}
}

func startStore(address string) (*store, error) {
	s := &store{items: map[string]storeItem{}, leases: map[uint64]storeLease{}, revision: 100, next: 7000, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names["kv_key"], s.key)
	mux.HandleFunc("GET "+names["kv_range"], s.rangeOf)
	mux.HandleFunc("GET "+names["kv_watch"], s.watch)
	mux.HandleFunc("POST "+names["kv_txn"], s.txn)
	mux.HandleFunc("POST "+names["kv_lease"], s.grant)
	mux.HandleFunc("POST "+names["kv_keep"], s.keep)
	mux.HandleFunc("DELETE "+names["kv_end"], s.end)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(2 * time.Millisecond)
		if s.silent.Load() {
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func reply(w http.ResponseWriter, status int, body any) {
	encoded, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

// expire removes the keys of leases that have ended. The mutex is held.
func (s *store) expire() {
	now := time.Now()
	for id, lease := range s.leases {
		if now.After(lease.end) {
			s.dropLease(id)
		}
	}
}

func (s *store) dropLease(id uint64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
}

// endLeases has all leases run out.
func (s *store) endLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.dropLease(id)
	}
}

func (s *store) remove(key string) {
	s.revision++
	delete(s.items, key)
	s.append(storeEvent{storeItem{Key: key, Revision: s.revision}, true})
}

func (s *store) append(e storeEvent) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put is the operator's write; the return is the store's acknowledgement.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value, 0)
}

func (s *store) set(key string, value []byte, lease uint64) {
	created := s.revision
	if held, ok := s.items[key]; ok {
		created = held.Created
	}
	item := storeItem{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = item
	s.append(storeEvent{item, false})
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	item, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"at": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		storeItem
		At uint64 `json:"at"`
	}{item, s.revision})
}

func (s *store) rangeOf(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	items := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("path_prefix")) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
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

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var raw map[string]json.RawMessage
	var expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	}
	var put []struct {
		Key   string      `json:"key"`
		Value []byte      `json:"value"`
		Lease json.Number `json:"lease"`
	}
	var removed []string
	if json.NewDecoder(r.Body).Decode(&raw) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	_ = json.Unmarshal(raw[names["condition"]], &expected)
	_ = json.Unmarshal(raw["put"], &put)
	_ = json.Unmarshal(raw["remove"], &removed)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current, holds := []storeItem{}, true
	for _, e := range expected {
		item, ok := s.items[e.Key]
		if ok {
			current = append(current, item)
		}
		holds = holds && item.Revision == e.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range put {
		id, _ := strconv.ParseUint(p.Lease.String(), 10, 64)
		if _, ok := s.leases[id]; id != 0 && !ok {
			reply(w, http.StatusNotFound, nil)
			return
		}
	}
	s.revision++
	for _, p := range put {
		id, _ := strconv.ParseUint(p.Lease.String(), 10, 64)
		s.set(p.Key, p.Value, id)
	}
	for _, key := range removed {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var asked struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&asked)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	ttl := time.Duration(asked.TTL) * time.Millisecond
	s.leases[s.next] = storeLease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.next, "ttl_ms": asked.TTL})
}

func (s *store) leaseOf(r *http.Request) uint64 {
	id, _ := strconv.ParseUint(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
	return id
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	id := s.leaseOf(r)
	lease, ok := s.leases[id]
	if !ok {
		reply(w, http.StatusNotFound, nil)
		return
	}
	lease.end = time.Now().Add(lease.ttl)
	s.leases[id] = lease
	reply(w, http.StatusOK, map[string]any{"ttl_ms": lease.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLease(s.leaseOf(r))
	reply(w, http.StatusOK, map[string]any{})
}

// keys lists the keys for the record.
func (s *store) keys() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprint(len(s.items), " keys at revision ", s.revision)
}
