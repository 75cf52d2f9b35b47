package platform

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/levertide/levertide/internal/platform/consul/wire"
)

// maximumSessionTTL is the longest time to live of a session in the published API.
const maximumSessionTTL = 24 * time.Hour

func (s *Server) createSession(writer http.ResponseWriter, request *http.Request) {
	s.advance()
	var requested wire.SessionRequest
	if err := json.NewDecoder(request.Body).Decode(&requested); err != nil {
		http.Error(writer, "the body is no session", http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(requested.TTL)
	if err != nil || ttl < s.config.MinimumSessionTTL || ttl > maximumSessionTTL {
		http.Error(writer, "invalid session TTL "+requested.TTL, http.StatusBadRequest)
		return
	}
	id, _ := s.store.CreateSession(request.Context(), requested.Name, ttl) // no fault is set on this store
	writeJSON(writer, http.StatusOK, wire.SessionResponse{ID: id})
}

func (s *Server) renewSession(writer http.ResponseWriter, request *http.Request) {
	s.advance()
	session := request.PathValue("session")
	if err := s.store.RenewSession(request.Context(), session); err != nil {
		http.Error(writer, "no session "+session, http.StatusNotFound)
		return
	}
	writeJSON(writer, http.StatusOK, []wire.SessionResponse{{ID: session}})
}

func (s *Server) destroySession(writer http.ResponseWriter, request *http.Request) {
	err := s.store.DestroySession(request.Context(), request.PathValue("session"))
	answerDone(writer, err == nil, err)
}
