package results

import "github.com/levertide/levertide/internal/lab/observe"

// Quantiles summarizes times in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Spread summarizes rates over nodes and windows.
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

// BudgetConvergenceMilliseconds is the longest allowed time from the acceptance of a version
// until it is in force on every node.
const BudgetConvergenceMilliseconds = 4000
