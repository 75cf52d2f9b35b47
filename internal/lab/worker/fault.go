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
	// DieMidAnswer cuts the connection after half of the answer.
	DieMidAnswer FaultKind = "die-mid-answer"
	// DieBeforeFirstByte cuts the connection when the request has come, before it runs.
	DieBeforeFirstByte FaultKind = "die-before-first-byte"
	// DieAfterExecuting cuts the connection when the request has run, before its answer.
	DieAfterExecuting FaultKind = "die-after-executing"
	// Hang takes the request and never answers, until the caller gives up.
	Hang FaultKind = "hang"
	// Shed refuses the request with a not-run, as an overloaded worker does.
	Shed FaultKind = "shed"
	// ServerError runs the request and answers 500.
	ServerError FaultKind = "server-error"
)

// Fault makes some requests fail.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// PathPrefix chooses requests by path; empty means all.
	PathPrefix string `json:"path_prefix,omitempty"`
	// Probability is the part of these requests that fail; zero means all.
	Probability float64 `json:"probability,omitempty"`
	// Count is how many requests fail in all; zero means no bound.
	Count int `json:"count,omitempty"`
	// Exit ends the whole process in place of one connection.
	Exit bool `json:"exit,omitempty"`
}

// faultSet holds the faults in force.
type faultSet struct {
	mutex  sync.Mutex
	faults []Fault
	left   []int
}

func (s *faultSet) set(faults []Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = append([]Fault(nil), faults...)
	s.left = make([]int, len(faults))
	for i, fault := range faults {
		s.left[i] = fault.Count
	}
}

// next returns the fault that a request meets; its Kind is empty for none.
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
	if fault.Count > 0 && s.left[index] == 0 {
		return false
	}
	if fault.Probability > 0 && rand.Float64() >= fault.Probability {
		return false
	}
	s.left[index]--
	return true
}
