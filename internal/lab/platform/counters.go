package platform

import (
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/platform/consul/wire"
)

// RequestKind names one kind of request for counting.
type RequestKind string

// The kinds of request.
const (
	KindRead        RequestKind = "read"
	KindBlockedRead RequestKind = "blocked-read"
	KindList        RequestKind = "list"
	KindReadMany    RequestKind = "read-many"
	KindTransaction RequestKind = "transaction"
	KindWrite       RequestKind = "write"
	KindSession     RequestKind = "session"
	KindMachines    RequestKind = "machines"
	KindRegister    RequestKind = "register"
	KindOther       RequestKind = "other"
)

// isWrite reports whether requests of this kind change the store.
func (k RequestKind) isWrite() bool {
	return k == KindTransaction || k == KindWrite || k == KindSession
}

// kindOf returns the kind of a request. The body of a transaction shows whether it
// only reads or also writes.
func kindOf(request *http.Request) RequestKind {
	path, query := request.URL.Path, request.URL.Query()
	switch {
	case path == wire.PathTransaction:
		return kindOfTransaction(request)
	case strings.HasPrefix(path, wire.PathKeyValue) && request.Method != http.MethodGet:
		return KindWrite
	case strings.HasPrefix(path, wire.PathKeyValue) && (query.Has(wire.QueryRecurse) || query.Has(wire.QueryKeys)):
		return KindList
	case strings.HasPrefix(path, wire.PathKeyValue) && query.Has(wire.QueryIndex):
		return KindBlockedRead
	case strings.HasPrefix(path, wire.PathKeyValue):
		return KindRead
	case strings.HasPrefix(path, "/v1/session/"):
		return KindSession
	case strings.HasPrefix(path, wire.PathHealthService):
		return KindMachines
	case strings.HasPrefix(path, "/v1/agent/"):
		return KindRegister
	default:
		return KindOther
	}
}

// Counters counts the requests to the stand-in since the last reset.
type Counters struct {
	Since time.Time `json:"since"`
	// Total counts all requests, refused ones included.
	Total uint64 `json:"total"`
	// Refused counts those answered with status 429.
	Refused uint64                 `json:"refused"`
	ByKind  map[RequestKind]uint64 `json:"byKind"`
	// ByClient counts by "user-agent@host".
	ByClient map[string]uint64 `json:"byClient"`
	// StoreReaders counts the clients that sent blocked reads.
	StoreReaders int `json:"storeReaders"`
}

type counters struct {
	mutex   sync.Mutex
	values  Counters
	readers map[string]bool
}

func (c *counters) init() { c.reset() }

func (c *counters) reset() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readers = make(map[string]bool)
	c.values = Counters{
		Since:    time.Now(),
		ByKind:   make(map[RequestKind]uint64),
		ByClient: make(map[string]uint64),
	}
}

func (c *counters) count(kind RequestKind, request *http.Request) {
	client := clientOf(request)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.values.Total++
	c.values.ByKind[kind]++
	c.values.ByClient[client]++
	if kind == KindBlockedRead {
		c.readers[client] = true
	}
}

func (c *counters) countRefused() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.values.Refused++
}

func (c *counters) copy() Counters {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	values := c.values
	values.ByKind = maps.Clone(values.ByKind)
	values.ByClient = maps.Clone(values.ByClient)
	values.StoreReaders = len(c.readers)
	return values
}

func clientOf(request *http.Request) string {
	host, _, err := net.SplitHostPort(request.RemoteAddr)
	if err != nil {
		host = request.RemoteAddr
	}
	return request.UserAgent() + "@" + host
}

// Counters returns what was counted since the last reset.
func (s *Server) Counters() Counters { return s.counters.copy() }

// ResetCounters sets all counters to zero.
func (s *Server) ResetCounters() { s.counters.reset() }
