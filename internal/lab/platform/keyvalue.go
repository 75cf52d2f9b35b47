package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/internal/platform/consul/wire"
	"github.com/levertide/levertide/pkg/store"
)

// Waits of blocking reads, as the published API defines them.
const (
	defaultWait = 5 * time.Minute
	maximumWait = 10 * time.Minute
)

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathKeyValue, s.read)
	mux.HandleFunc("PUT "+wire.PathKeyValue, s.write)
	mux.HandleFunc("DELETE "+wire.PathKeyValue, s.remove)
	mux.HandleFunc("PUT "+wire.PathTransaction, s.transaction)
	mux.HandleFunc("PUT "+wire.PathSessionCreate, s.createSession)
	mux.HandleFunc("PUT "+wire.PathSessionRenew+"{session}", s.renewSession)
	mux.HandleFunc("PUT "+wire.PathSessionDestroy+"{session}", s.destroySession)
	mux.HandleFunc("GET "+wire.PathHealthService+"{service}", s.healthService)
	mux.HandleFunc("PUT "+wire.PathServiceRegister, s.registerService)
	mux.HandleFunc("PUT "+wire.PathServiceDeregister+"{id}", s.deregisterService)
	mux.HandleFunc("PUT "+wire.PathServiceMaintenance+"{id}", s.maintainService)
	return s.withFaults(mux)
}

func (s *Server) read(writer http.ResponseWriter, request *http.Request) {
	s.advance()
	key := strings.TrimPrefix(request.URL.Path, wire.PathKeyValue)
	query := request.URL.Query()
	switch {
	case query.Has(wire.QueryKeys):
		s.readKeys(writer, request, key)
	case query.Has(wire.QueryRecurse):
		s.readAll(writer, request, key)
	default:
		s.readOne(writer, request, key)
	}
}

func (s *Server) readOne(writer http.ResponseWriter, request *http.Request, key string) {
	index, wait, err := blocking(request)
	if err != nil {
		http.Error(writer, "invalid index or wait", http.StatusBadRequest)
		return
	}
	record, found, err := s.waitFor(request, key, index, wait)
	if err != nil && !errorx.IsOfType(err, store.ErrNotFound) {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set(wire.HeaderIndex, strconv.FormatUint(found, 10))
	if err != nil {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(writer, http.StatusOK, []wire.KeyValue{wireRecord(record)})
}

// waitFor reads the key once its index has passed the given one, or when the wait ends.
func (s *Server) waitFor(request *http.Request, key string, index uint64, wait time.Duration) (store.Record, uint64, error) {
	if index == 0 {
		return s.store.Get(request.Context(), key, store.ReadOptions{})
	}
	ctx, cancel := s.blockedContext(request, wait)
	defer cancel()
	record, found, err := s.store.Get(ctx, key, store.ReadOptions{WaitIndex: index, Wait: maximumWait})
	if !errorx.IsOfType(err, store.ErrUnreachable) {
		return record, found, err
	}
	if s.faults.current().Outage != OutageNone {
		return store.Record{}, 0, err
	}
	return s.store.Get(request.Context(), key, store.ReadOptions{})
}

// blocking parses the index to wait for and the wait, which it limits to maximumWait.
func blocking(request *http.Request) (uint64, time.Duration, error) {
	query := request.URL.Query()
	if !query.Has(wire.QueryIndex) {
		return 0, 0, nil
	}
	index, err := strconv.ParseUint(query.Get(wire.QueryIndex), 10, 64)
	if err != nil {
		return 0, 0, err
	}
	if !query.Has(wire.QueryWait) {
		return index, defaultWait, nil
	}
	wait, err := time.ParseDuration(query.Get(wire.QueryWait))
	return index, min(wait, maximumWait), err
}

func (s *Server) readAll(writer http.ResponseWriter, request *http.Request, prefix string) {
	records, _ := s.store.List(request.Context(), prefix) // no fault is set on this store
	if len(records) == 0 {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	answers := make([]wire.KeyValue, len(records))
	for i, record := range records {
		answers[i] = wireRecord(record)
	}
	writeJSON(writer, http.StatusOK, answers)
}

func (s *Server) readKeys(writer http.ResponseWriter, request *http.Request, prefix string) {
	keys, _ := s.store.ListKeys(request.Context(), prefix) // no fault is set on this store
	if len(keys) == 0 {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(writer, http.StatusOK, keys)
}

func (s *Server) write(writer http.ResponseWriter, request *http.Request) {
	s.advance()
	value, err := io.ReadAll(io.LimitReader(request.Body, store.MaxTransactionBytes+1))
	if err != nil {
		http.Error(writer, "the body was cut short", http.StatusBadRequest)
		return
	}
	if len(value) > store.MaxTransactionBytes {
		http.Error(writer, "the value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	key := strings.TrimPrefix(request.URL.Path, wire.PathKeyValue)
	query := request.URL.Query()
	switch {
	case query.Has(wire.QueryAcquire):
		acquired, err := s.store.Acquire(request.Context(), key, value, query.Get(wire.QueryAcquire))
		answerDone(writer, acquired, err)
	case query.Has(wire.QueryRelease):
		err := s.store.Release(request.Context(), key, query.Get(wire.QueryRelease))
		answerDone(writer, err == nil, err)
	case query.Has(wire.QueryCAS):
		index, _ := strconv.ParseUint(query.Get(wire.QueryCAS), 10, 64) // zero means that the key must not exist
		s.writeOne(writer, request, store.Operation{Verb: store.VerbCompareAndSwap, Key: key, Value: value, Index: index})
	default:
		s.writeOne(writer, request, store.Operation{Verb: store.VerbSet, Key: key, Value: value})
	}
}

func (s *Server) remove(writer http.ResponseWriter, request *http.Request) {
	key := strings.TrimPrefix(request.URL.Path, wire.PathKeyValue)
	s.writeOne(writer, request, store.Operation{Verb: store.VerbDelete, Key: key})
}

func (s *Server) writeOne(writer http.ResponseWriter, request *http.Request, operation store.Operation) {
	err := s.store.Transact(request.Context(), []store.Operation{operation})
	if errorx.IsOfType(err, store.ErrConflict) {
		answerDone(writer, false, nil)
		return
	}
	answerDone(writer, err == nil, err)
}

func answerDone(writer http.ResponseWriter, done bool, err error) {
	if errorx.IsOfType(err, store.ErrSessionGone) {
		http.Error(writer, wire.TextInvalidSession, http.StatusInternalServerError)
		return
	}
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(writer, http.StatusOK, done)
}

func wireRecord(record store.Record) wire.KeyValue {
	return wire.KeyValue{
		Key:         record.Key,
		Value:       record.Value,
		ModifyIndex: record.ModifyIndex,
		Session:     record.Session,
	}
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value) // a broken connection shows at the client
}
