package worker

import (
	"math/rand/v2"
	"strings"
	"sync"
)

// FaultKind is a way in which a worker fails.
type FaultKind string

// The kinds of fault.
const (
	// DieMidAnswer closes the connection after half of the answer.
	DieMidAnswer FaultKind = "die-mid-answer"
	// DieBeforeFirstByte closes the connection when the request has arrived, before it runs.
	DieBeforeFirstByte FaultKind = "die-before-first-byte"
	// DieAfterExecuting closes the connection when the request has run, before its answer.
	DieAfterExecuting FaultKind = "die-after-executing"
	// Hang accepts the request and does not answer until the caller gives up.
	Hang FaultKind = "hang"
	// Shed refuses the request with the outcome not-run, as an overloaded worker does.
	Shed FaultKind = "shed"
	// ServerError runs the request and answers 500.
	ServerError FaultKind = "server-error"
)

// Fault makes some requests fail.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// PathPrefix selects requests by path; empty selects all.
	PathPrefix string `json:"path_prefix,omitempty"`
	// Probability is the share of the selected requests that fail; zero means all.
	Probability float64 `json:"probability,omitempty"`
	// Count is the total number of requests that fail; zero means no limit.
	Count int `json:"count,omitempty"`
	// Exit ends the whole process instead of one connection.
	Exit bool `json:"exit,omitempty"`
}

// faultSet holds the active faults, and for each how often it is still injected.
type faultSet struct {
	mutex     sync.Mutex
	faults    []Fault
	remaining []int
}

func (s *faultSet) set(faults []Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = append([]Fault(nil), faults...)
	s.remaining = make([]int, len(faults))
	for i, fault := range faults {
		s.remaining[i] = fault.Count
	}
}

// next returns the fault to inject into a request; its Kind is empty for none.
func (s *faultSet) next(path string) Fault {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i, fault := range s.faults {
		if s.applies(i, path) {
			return fault
		}
	}
	return Fault{}
}

func (s *faultSet) applies(index int, path string) bool {
	fault := s.faults[index]
	if !strings.HasPrefix(path, fault.PathPrefix) {
		return false
	}
	if fault.Count > 0 && s.remaining[index] == 0 {
		return false
	}
	if fault.Probability > 0 && rand.Float64() >= fault.Probability {
		return false
	}
	s.remaining[index]--
	return true
}
