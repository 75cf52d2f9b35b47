package load

import (
	"fmt"
	"github.com/levertide/levertide/internal/lab/results"
	"github.com/levertide/levertide/internal/lab/worker"
	"github.com/levertide/levertide/pkg/outcome"
)

// Report is what a run measured. The embedded figures are those of the last
// step of ModeSteady; what was not measured is nil.
type Report struct {
	results.Load
	// Nodes tells what the calls went through.
	Nodes    string       `json:"nodes"`
	Seed     uint64       `json:"seed"`
	Machine  Machine      `json:"machine"`
	Steady   []Step       `json:"steady"`
	Overload *Overload    `json:"overload"`
	Chain    *Chain       `json:"chain"`
	Upload   *Upload      `json:"upload"`
	Rolling  *Rolling     `json:"rolling"`
	Faults   []FaultPoint `json:"faults"`
	Crash    *Crash       `json:"crash"`
	Failures []string     `json:"failures"`
}

// The values of Report.Nodes.
const (
	NodesProcesses = "levertided processes"
	NodesInside    = "data planes inside the lab"
)

// Machine tells how busy the machine was with this and with other work.
type Machine struct {
	Cores int `json:"cores"`
	// The load averages are those of one minute, at the start and at the end;
	// nil where the system tells none.
	LoadAtStart *float64 `json:"load_average_at_start"`
	LoadAtEnd   *float64 `json:"load_average_at_end"`
}

// Counts are the calls of one kind by how they ended.
type Counts struct {
	Calls    int `json:"calls"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// Reasons counts the calls of both kinds by the reason that was given.
	Reasons map[outcome.Reason]int `json:"reasons,omitempty"`
	// Wrong answers are not the whole answer to their own request, and said to be.
	Wrong int `json:"wrong_answers"`
	// Duplicates are requests that ran more than once although they must not.
	Duplicates int `json:"duplicate_executions"`
	// FalseNotRun are requests refused as not run that a worker has started.
	FalseNotRun int `json:"not_run_but_started"`
	// UnknownCalls names some of the calls that are counted in Unknown.
	UnknownCalls []UnknownCall `json:"unknown_calls,omitempty"`
}

// UnknownCall is a call whose caller cannot tell whether it ran.
type UnknownCall struct {
	ID     string         `json:"id"`
	Reason outcome.Reason `json:"reason"`
	// Detail is the error that the caller saw, if it got no answer.
	Detail string `json:"detail,omitempty"`
	// Milliseconds is how long the caller had waited.
	Milliseconds int64 `json:"milliseconds"`
}

// String names the call and what its caller saw.
func (u UnknownCall) String() string {
	return fmt.Sprintf("%s after %d ms: %s %s", u.ID, u.Milliseconds, u.Reason, u.Detail)
}

// Step is one rate of ModeSteady.
type Step struct {
	RatePerNode float64            `json:"rate_per_node"`
	Seconds     float64            `json:"seconds"`
	Direct      Counts             `json:"direct"`
	Through     Counts             `json:"through"`
	DirectMS    *results.Quantiles `json:"direct_ms"`
	ThroughMS   *results.Quantiles `json:"through_ms"`
	// AddedMS is the median over the rounds of the difference between the
	// quantiles of the two; a burst of other work on the machine spoils one
	// round and not the step.
	AddedMS *results.Quantiles `json:"added_ms"`
	// AddedRounds are the differences of each round.
	AddedRounds []results.Quantiles `json:"added_rounds_ms"`
	// LatenessMS is how late the lab itself started calls; it is part of both times.
	LatenessMS *results.Quantiles `json:"lateness_ms"`
	// CallsPerCoreSecond is the calls for each second of processor time that all
	// node processes used together.
	CallsPerCoreSecond *float64 `json:"calls_per_core_second"`
}

// Overload compares goodput at several multiples of the capacity.
type Overload struct {
	// CapacityPerSecond is worked out from slots and mean service time.
	CapacityPerSecond float64         `json:"capacity_per_second"`
	DeadlineMS        float64         `json:"deadline_ms"`
	Admission         []OverloadPoint `json:"with_admission"`
	NoAdmission       []OverloadPoint `json:"without_admission"`
	// The shares are the goodput at the highest load over the best goodput.
	ShareWith    *float64 `json:"share_of_peak_with_admission"`
	ShareWithout *float64 `json:"share_of_peak_without_admission"`
}

// OverloadPoint is one offered load.
type OverloadPoint struct {
	Multiple         float64 `json:"multiple_of_capacity"`
	OfferedPerSecond float64 `json:"offered_per_second"`
	// GoodputPerSecond counts whole answers within the caller's deadline.
	GoodputPerSecond float64            `json:"goodput_per_second"`
	Counts           Counts             `json:"counts"`
	AnsweredMS       *results.Quantiles `json:"answered_ms"`
}

// Chain compares calls that reach the failing end of a chain of services.
type Chain struct {
	Levels int         `json:"levels"`
	Cases  []ChainCase `json:"cases"`
}

// ChainCase is one share of failing requests at the last level.
type ChainCase struct {
	FailedShare   float64 `json:"failed_share"`
	RatePerSecond float64 `json:"rate_per_second"`
	// Bound is the most calls at the last level for one call that the allowance
	// of a call permits.
	Bound    float64    `json:"bound_per_call"`
	Budget   ChainPoint `json:"with_budget"`
	NoBudget ChainPoint `json:"without_budget"`
}

// ChainPoint counts calls at the top and at the bottom of a chain.
type ChainPoint struct {
	Top      Counts  `json:"top"`
	Bottom   int     `json:"bottom_calls"`
	PerCall  float64 `json:"bottom_calls_per_call"`
	Answered float64 `json:"answered_share"`
}

// Upload is the memory of the nodes against the size of a body.
type Upload struct {
	Points []UploadPoint `json:"points"`
}

// UploadPoint is one size; memory is read while the body is on its way. The
// figures are nil where no node is a process of its own.
type UploadPoint struct {
	Bytes           int64    `json:"bytes"`
	Seconds         float64  `json:"seconds"`
	Complete           bool     `json:"whole"`
	GatewayResident *float64 `json:"gateway_resident_mb"`
	GatewayPeak     *float64 `json:"gateway_peak_mb"`
	WorkerResident  *float64 `json:"worker_node_resident_mb"`
	WorkerPeak      *float64 `json:"worker_node_peak_mb"`
}

// Rolling is what callers saw while every worker and node was replaced.
type Rolling struct {
	Replaced int     `json:"replaced"`
	Seconds  float64 `json:"seconds"`
	Once     Counts  `json:"unrepeatable"`
	Any      Counts  `json:"repeatable"`
	// UploadsStarted and UploadsWhole count long uploads that were in flight.
	UploadsStarted int `json:"uploads_started"`
	UploadsWhole   int `json:"uploads_whole"`
	// UploadReasons are the reasons of uploads that were not answered.
	UploadReasons map[outcome.Reason]int `json:"upload_reasons,omitempty"`
	// Killed counts nodes that did not end by themselves.
	Killed int `json:"killed"`
	// ClosedConnections counts connections that workers closed for want of room. A call on
	// one of them ends with an unknown outcome, whatever the nodes do.
	ClosedConnections int `json:"closed_connections"`
}

// Crash is what callers saw while machines crashed.
type Crash struct {
	Events []CrashEvent `json:"events"`
	Once   Counts       `json:"unrepeatable"`
	Any    Counts       `json:"repeatable"`
}

// CrashEvent is the crash of some machines, worker and node together, at once.
type CrashEvent struct {
	Machines int `json:"machines"`
	Of       int `json:"of"`
	// FailingMS is how long after it calls of either kind went on failing.
	FailingMS float64 `json:"calls_failed_for_ms"`
}

// FaultPoint is what callers saw while workers failed in one way.
type FaultPoint struct {
	Fault worker.FaultKind `json:"fault"`
	// Share is the part of the requests at each worker that fail.
	Share float64 `json:"share"`
	Once  Counts  `json:"unrepeatable"`
	Any   Counts  `json:"repeatable"`
}
