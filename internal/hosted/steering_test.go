package hosted_test

import (
	"math"
	"sync"
	"time"

	"github.com/levertide/levertide/pkg/canary"
	"github.com/levertide/levertide/pkg/fleet"
)

// steering is a fake of the part of a node that divides requests among versions.
type steering struct {
	mu        sync.Mutex
	decisions map[string]fleet.Rollout
	runs      map[string]canary.Tally
}

// Steer implements hosted.Steering.
func (s *steering) Steer(decisions []fleet.Rollout) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decisions = map[string]fleet.Rollout{}
	for _, d := range decisions {
		s.decisions[d.Service] = d
	}
}

// Runs implements hosted.Steering.
func (s *steering) Runs(string) []fleet.RouteRuns {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []fleet.RouteRuns
	if tally, ran := s.runs["read"]; ran {
		list = append(list, fleet.RouteRuns{Route: "read", Tally: tally})
	}
	return list
}

// LongestCall implements hosted.Steering.
func (s *steering) LongestCall(string) time.Duration { return time.Second }

// share returns the share of requests that this node gives to the target, and whether it knows the
// order.
func (s *steering) share() (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, known := s.decisions["ledger"]
	return d.Share, known
}

// ran counts a request at the node's worker.
func (s *steering) ran(failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = map[string]canary.Tally{}
	}
	did := canary.Tally{Runs: 1}
	if failed {
		did.Failed = 1
	} else {
		did.LogTime = math.Log(0.2)
	}
	s.runs["read"] = s.runs["read"].Plus(did)
}
