package platform

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/platform/consul/wire"
)

// agentName names the one agent that all machines are registered with.
const agentName = "platform"

// machine is one registration.
type machine struct {
	registration wire.ServiceRegistration
	leaving      bool
}

// catalogueChange is a change of the machine list that may not be visible yet.
type catalogueChange struct {
	at    time.Time
	apply func(machines map[string]machine)
}

// catalogue is the machine list: its visible state, and the changes that are not visible yet.
type catalogue struct {
	mutex   sync.Mutex
	shown   map[string]machine
	pending []catalogueChange
}

func (c *catalogue) init() { c.shown = make(map[string]machine) }

func (c *catalogue) change(at time.Time, apply func(map[string]machine)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pending = append(c.pending, catalogueChange{at: at, apply: apply})
}

// list returns the machines of a service with all changes made up to a moment.
func (c *catalogue) list(until time.Time, service string) []machine {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	due := 0
	for due < len(c.pending) && !c.pending[due].at.After(until) {
		c.pending[due].apply(c.shown)
		due++
	}
	c.pending = slices.Delete(c.pending, 0, due)
	var machines []machine
	for _, id := range slices.Sorted(maps.Keys(c.shown)) {
		if c.shown[id].registration.Name == service {
			machines = append(machines, c.shown[id])
		}
	}
	return machines
}

func (s *Server) registerService(writer http.ResponseWriter, request *http.Request) {
	var registration wire.ServiceRegistration
	if err := json.NewDecoder(request.Body).Decode(&registration); err != nil || registration.Name == "" {
		http.Error(writer, "the body is no registration", http.StatusBadRequest)
		return
	}
	s.Register(registration)
	writer.WriteHeader(http.StatusOK)
}

// Register puts a machine on the list, or replaces it.
func (s *Server) Register(registration wire.ServiceRegistration) {
	registration.ID = cmp.Or(registration.ID, registration.Name)
	s.catalogue.change(s.config.Now(), func(machines map[string]machine) {
		machines[registration.ID] = machine{registration: registration}
	})
}

func (s *Server) deregisterService(writer http.ResponseWriter, request *http.Request) {
	s.Deregister(request.PathValue("id"))
	writer.WriteHeader(http.StatusOK)
}

// Deregister takes a machine off the list.
func (s *Server) Deregister(id string) {
	s.catalogue.change(s.config.Now(), func(machines map[string]machine) { delete(machines, id) })
}

func (s *Server) maintainService(writer http.ResponseWriter, request *http.Request) {
	leaving, err := strconv.ParseBool(request.URL.Query().Get(wire.QueryEnable))
	if err != nil {
		http.Error(writer, "enable must be true or false", http.StatusBadRequest)
		return
	}
	s.SetLeaving(request.PathValue("id"), leaving)
	writer.WriteHeader(http.StatusOK)
}

// SetLeaving marks a machine as leaving, or takes the mark off.
func (s *Server) SetLeaving(id string, leaving bool) {
	s.catalogue.change(s.config.Now(), func(machines map[string]machine) {
		if found, present := machines[id]; present {
			found.leaving = leaving
			machines[id] = found
		}
	})
}

func (s *Server) healthService(writer http.ResponseWriter, request *http.Request) {
	until := s.config.Now().Add(-s.faults.current().MachineListLag)
	machines := s.catalogue.list(until, request.PathValue("service"))
	entries := make([]wire.ServiceEntry, len(machines))
	for i, item := range machines {
		entries[i] = entryOf(item)
	}
	writeJSON(writer, http.StatusOK, entries)
}

func entryOf(item machine) wire.ServiceEntry {
	registration := item.registration
	entry := wire.ServiceEntry{
		Node: wire.Node{Node: agentName, Address: registration.Address},
		Service: wire.AgentService{
			ID:      registration.ID,
			Service: registration.Name,
			Address: registration.Address,
			Port:    registration.Port,
			Meta:    registration.Meta,
		},
		Checks: []wire.HealthCheck{{CheckID: "service:" + registration.ID, Status: wire.StatusPassing}},
	}
	if item.leaving {
		entry.Checks = append(entry.Checks, wire.HealthCheck{
			CheckID: wire.CheckServiceMaintenance + ":" + registration.ID,
			Status:  wire.StatusCritical,
		})
	}
	return entry
}
