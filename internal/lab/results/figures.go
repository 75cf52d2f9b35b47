package results

import "github.com/levertide/levertide/internal/lab/observe"

// Quantiles sums up times in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Spread sums up rates over nodes and windows.
type Spread struct {
	Mean float64 `json:"mean"`
	P99  float64 `json:"p99"`
	Max  float64 `json:"max"`
}

// QuantilesOf returns the quantiles of a distribution; nil stays nil.
func QuantilesOf(distribution *observe.Distribution) *Quantiles {
	if distribution == nil {
		return nil
	}
	return &Quantiles{P50: distribution.P50, P99: distribution.P99, Max: distribution.Max}
}

// SpreadOf returns the spread of a distribution; nil stays nil.
func SpreadOf(distribution *observe.Distribution) *Spread {
	if distribution == nil {
		return nil
	}
	return &Spread{Mean: distribution.Mean, P99: distribution.P99, Max: distribution.Max}
}

// RoleSpreads holds one spread for each role of a node; nil where no node had
// the role for a whole window.
type RoleSpreads struct {
	Leaf        *Spread `json:"leaf"`
	Relay       *Spread `json:"relay"`
	Reader      *Spread `json:"reader"`
	Coordinator *Spread `json:"coordinator"`
}

// The roles of a node, as its counters name them.
const (
	RoleLeaf        = "leaf"
	RoleRelay       = "relay"
	RoleReader      = "reader"
	RoleCoordinator = "coordinator"
)

// Roles returns the names of all roles, from the smallest part to the largest.
func Roles() []string {
	return []string{RoleLeaf, RoleRelay, RoleReader, RoleCoordinator}
}

// Set places the spread of one role; other names are ignored.
func (s *RoleSpreads) Set(role string, spread *Spread) {
	switch role {
	case RoleLeaf:
		s.Leaf = spread
	case RoleRelay:
		s.Relay = spread
	case RoleReader:
		s.Reader = spread
	case RoleCoordinator:
		s.Coordinator = spread
	}
}

// Get returns the spread of one role, or nil.
func (s RoleSpreads) Get(role string) *Spread {
	switch role {
	case RoleLeaf:
		return s.Leaf
	case RoleRelay:
		return s.Relay
	case RoleReader:
		return s.Reader
	case RoleCoordinator:
		return s.Coordinator
	default:
		return nil
	}
}
