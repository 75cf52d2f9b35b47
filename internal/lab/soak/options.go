package soak

import (
	"time"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("levertide.soak").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrViolations tells that something that must always hold did not.
var ErrViolations = namespace.NewType("violations")

// ErrStart tells that the deployment could not be started.
var ErrStart = namespace.NewType("start")

// Options set up a run.
type Options struct {
	// Seed decides the faults.
	Seed uint64
	// Duration is how long faults strike.
	Duration time.Duration
	// Machines is how many nodes there are, each beside a worker.
	Machines int
	// Callers is how many callers send requests, one at a time each.
	Callers int
	// RunTime is how long a worker runs a request.
	RunTime time.Duration
	// Network connects the machines; nil takes Loopback.
	Network Network
	// Log is told of faults; nil means that nobody is.
	Log func(format string, arguments ...any)
}

// The defaults of Options.
const (
	DefaultDuration = 20 * time.Second
	DefaultMachines = 6
	DefaultCallers  = 12
	DefaultRunTime  = 10 * time.Millisecond
)

func (o Options) withDefaults() Options {
	if o.Duration <= 0 {
		o.Duration = DefaultDuration
	}
	if o.Machines <= 0 {
		o.Machines = DefaultMachines
	}
	if o.Callers <= 0 {
		o.Callers = DefaultCallers
	}
	if o.RunTime <= 0 {
		o.RunTime = DefaultRunTime
	}
	if o.Network == nil {
		o.Network = Loopback{}
	}
	if o.Log == nil {
		o.Log = func(string, ...any) {}
	}
	return o
}

// Report is what a run has shown.
type Report struct {
	Seed    uint64 `json:"seed"`
	Calls   int    `json:"calls"`
	Served  int    `json:"served"`
	Refused int    `json:"refused"`
	Unknown int    `json:"unknown"`
	// Unauthenticated are the tries that were refused for their key.
	Unauthenticated  int `json:"unauthenticated"`
	Runs             int `json:"runs"`
	Faults           int `json:"faults"`
	Documents        int `json:"documents"`
	DrainCommitments int `json:"promises"`
	// Crashes are workers that ended under a request, Quarantined the tries of such
	// requests that were refused for good.
	Crashes     int `json:"crashes"`
	Quarantined int `json:"quarantined"`
	// QuarantinedWrongly are the tries of innocent requests that were.
	QuarantinedWrongly int      `json:"wronged"`
	Violations         []string `json:"violations"`
}
