package platform

import (
	"encoding/json"
	"net/http"

	"github.com/levertide/levertide/pkg/store/memory"
)

// Paths of the admin endpoint.
const (
	// PathFaults: GET and PUT a Faults object.
	PathFaults = "/faults"
	// PathLapseSessions: POST ends all sessions.
	PathLapseSessions = "/lapse-sessions"
	// PathState: GET copies the content out, PUT restores it.
	PathState = "/state"
	// PathCounters: GET the Counters, DELETE resets them.
	PathCounters = "/counters"
)

// lapsedSessions answers PathLapseSessions.
type lapsedSessions struct {
	Lapsed int `json:"lapsed"`
}

// AdminHandler returns the HTTP endpoint through which an experiment sets
// faults. It is to be served on an address of its own.
func (s *Server) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathFaults, func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, s.Faults())
	})
	mux.HandleFunc("PUT "+PathFaults, func(writer http.ResponseWriter, request *http.Request) {
		decodeAndDo(writer, request, s.SetFaults)
	})
	mux.HandleFunc("POST "+PathLapseSessions, func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, lapsedSessions{Lapsed: s.LapseSessions()})
	})
	mux.HandleFunc("GET "+PathState, func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, s.State())
	})
	mux.HandleFunc("PUT "+PathState, func(writer http.ResponseWriter, request *http.Request) {
		decodeAndDo(writer, request, func(state memory.State) { s.Restore(state) })
	})
	mux.HandleFunc("GET "+PathCounters, func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, s.Counters())
	})
	mux.HandleFunc("DELETE "+PathCounters, func(writer http.ResponseWriter, _ *http.Request) {
		s.ResetCounters()
		writer.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func decodeAndDo[Value any](writer http.ResponseWriter, request *http.Request, do func(Value)) {
	var value Value
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	do(value)
	writer.WriteHeader(http.StatusNoContent)
}
