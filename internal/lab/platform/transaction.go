package platform

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/internal/platform/consul/wire"
	"github.com/levertide/levertide/pkg/store"
)

// kindOfTransaction reads the body, restores it for the handler, and distinguishes
// transactions that only read from those that write.
func kindOfTransaction(request *http.Request) RequestKind {
	body, err := io.ReadAll(io.LimitReader(request.Body, store.MaxTransactionBytes+1))
	request.Body = io.NopCloser(bytes.NewReader(body))
	if err != nil {
		return KindOther
	}
	var steps []wire.Operation
	if json.Unmarshal(body, &steps) == nil && onlyReads(steps) {
		return KindReadMany
	}
	return KindTransaction
}

func onlyReads(steps []wire.Operation) bool {
	for _, step := range steps {
		if step.KV.Verb != wire.VerbGetOrEmpty {
			return false
		}
	}
	return true
}

func (s *Server) transaction(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, store.MaxTransactionBytes+1))
	if err != nil {
		http.Error(writer, "the body was cut short", http.StatusBadRequest)
		return
	}
	if len(body) > store.MaxTransactionBytes {
		http.Error(writer, "the request body is too large", http.StatusRequestEntityTooLarge)
		return
	}
	var steps []wire.Operation
	if err := json.Unmarshal(body, &steps); err != nil {
		http.Error(writer, "the body is no list of operations", http.StatusBadRequest)
		return
	}
	if onlyReads(steps) {
		s.readMany(writer, request, steps)
		return
	}
	s.writeMany(writer, request, steps)
}

func (s *Server) readMany(writer http.ResponseWriter, request *http.Request, steps []wire.Operation) {
	keys := make([]string, len(steps))
	for i, step := range steps {
		keys[i] = step.KV.Key
	}
	records, err := s.store.GetMany(request.Context(), keys, true)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	found := make(map[string]store.Record, len(records))
	for _, record := range records {
		found[record.Key] = record
	}
	response := wire.TransactionResponse{Results: make([]wire.TransactionResult, len(keys))}
	for i, key := range keys {
		response.Results[i].KV = wire.KeyValue{Key: key}
		if record, present := found[key]; present {
			response.Results[i].KV = wireRecord(record)
		}
	}
	writeJSON(writer, http.StatusOK, response)
}

func (s *Server) writeMany(writer http.ResponseWriter, request *http.Request, steps []wire.Operation) {
	operations := make([]store.Operation, len(steps))
	for i, step := range steps {
		verb, known := storeVerb(step.KV)
		if !known {
			http.Error(writer, "unknown verb "+step.KV.Verb, http.StatusBadRequest)
			return
		}
		operations[i] = store.Operation{Verb: verb, Key: step.KV.Key, Value: step.KV.Value, Index: step.KV.Index}
	}
	err := s.store.Transact(request.Context(), operations)
	switch {
	case err == nil:
		writeJSON(writer, http.StatusOK, wire.TransactionResponse{})
	case errorx.IsOfType(err, store.ErrConflict):
		response := wire.TransactionResponse{Errors: []wire.TransactionError{{What: err.Error()}}}
		writeJSON(writer, http.StatusConflict, response)
	case errorx.IsOfType(err, store.ErrTooLarge):
		http.Error(writer, err.Error(), http.StatusRequestEntityTooLarge)
	default:
		http.Error(writer, err.Error(), http.StatusBadRequest)
	}
}

func storeVerb(step wire.KeyOperation) (store.Verb, bool) {
	switch step.Verb {
	case wire.VerbSet:
		return store.VerbSet, true
	case wire.VerbCAS:
		return store.VerbCompareAndSwap, true
	case wire.VerbDelete:
		return store.VerbDelete, true
	case wire.VerbCheckIndex:
		return store.VerbCheckIndex, step.Index != 0
	case wire.VerbCheckNotExists:
		return store.VerbCheckIndex, step.Index == 0
	default:
		return "", false
	}
}
