package soak

import (
	"time"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("levertide.soak").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrViolations is returned when a rule that must always hold was violated.
var ErrViolations = namespace.NewType("violations")

// ErrStart is returned when the deployment could not be started.
var ErrStart = namespace.NewType("start")

// Options set up a run.
type Options struct {
	// Seed decides the faults.
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Machines is how many nodes there are, each beside a worker.
	Machines int
	// Callers is how many callers send requests, one at a time each.
	Callers int
	// Crowd is how many clients outside the limits come to the machines, which then have few
	// descriptors.
	Crowd int
	// RunTime is how long a worker runs a request.
	RunTime time.Duration
	// Network connects the machines; nil takes Loopback.
	Network Network
	// Log receives a line for each fault; nil discards them.
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

// Report is the result of a run.
type Report struct {
	Seed    uint64 `json:"seed"`
	Calls   int    `json:"calls"`
	Served  int    `json:"served"`
	Refused int    `json:"refused"`
	Unknown int    `json:"unknown"`
	// Unauthenticated counts the attempts that were refused because of their key.
	Unauthenticated int `json:"unauthenticated"`
	// NoRoute counts the attempts that were refused since no route takes their path.
	NoRoute          int `json:"no_route"`
	Runs             int `json:"runs"`
	Faults           int `json:"faults"`
	Documents        int `json:"documents"`
	DrainCommitments int `json:"promises"`
	// Limits counts the limits that workers have named.
	Limits int `json:"limits"`
	// Crashes counts the workers that crashed under a crashing request, Quarantined the
	// attempts of such requests that were refused as quarantined.
	Crashes     int `json:"crashes"`
	Quarantined int `json:"quarantined"`
	// QuarantinedWrongly counts the attempts of other requests that were refused as
	// quarantined.
	QuarantinedWrongly int `json:"wronged"`
	// Panics counts the panics that nodes were made to raise.
	Panics     int      `json:"panics"`
	Violations []string `json:"violations"`
}
