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
	// Nodes says what kind of nodes the calls went through, NodesProcesses or NodesInside.
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

// Machine describes the machine and its load, by this run and by other work.
type Machine struct {
	Cores int `json:"cores"`
	// The load averages are those of one minute, at the start and at the end;
	// nil where the system provides none.
	LoadAtStart *float64 `json:"load_average_at_start"`
	LoadAtEnd   *float64 `json:"load_average_at_end"`
}

// Counts are the calls of one kind by their result.
type Counts struct {
	Calls    int `json:"calls"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// Reasons counts the calls that ended as not run or unknown by the reason given.
	Reasons map[outcome.Reason]int `json:"reasons,omitempty"`
	// Wrong counts answers that claim to be complete but are not the complete answer to their
	// own request.
	Wrong int `json:"wrong_answers"`
	// Duplicates counts unrepeatable requests that ran more than once.
	Duplicates int `json:"duplicate_executions"`
	// FalseNotRun counts requests that were refused as not run although a worker started them.
	FalseNotRun int `json:"not_run_but_started"`
	// UnknownCalls lists some of the calls that are counted in Unknown.
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
	// AddedMS is the median over the rounds of the difference between the quantiles of
	// ThroughMS and DirectMS, so that a burst of other work on the machine distorts one
	// round and not the whole step.
	AddedMS *results.Quantiles `json:"added_ms"`
	// AddedRounds are the differences of each round.
	AddedRounds []results.Quantiles `json:"added_rounds_ms"`
	// LatenessMS is how late the lab itself started calls; DirectMS and ThroughMS include it.
	LatenessMS *results.Quantiles `json:"lateness_ms"`
	// CallsPerCoreSecond is the calls for each second of processor time that all
	// node processes used together.
	CallsPerCoreSecond *float64 `json:"calls_per_core_second"`
}

// Overload compares goodput at several multiples of the capacity.
type Overload struct {
	// CapacityPerSecond is computed from slots and mean service time.
	CapacityPerSecond float64         `json:"capacity_per_second"`
	DeadlineMS        float64         `json:"deadline_ms"`
	Admission         []OverloadPoint `json:"with_admission"`
	NoAdmission       []OverloadPoint `json:"without_admission"`
	// The shares are the goodput at the highest load divided by the highest goodput.
	ShareWith    *float64 `json:"share_of_peak_with_admission"`
	ShareWithout *float64 `json:"share_of_peak_without_admission"`
}

// OverloadPoint is one offered load.
type OverloadPoint struct {
	Multiple         float64 `json:"multiple_of_capacity"`
	OfferedPerSecond float64 `json:"offered_per_second"`
	// GoodputPerSecond counts complete answers within the caller's deadline.
	GoodputPerSecond float64            `json:"goodput_per_second"`
	Counts           Counts             `json:"counts"`
	AnsweredMS       *results.Quantiles `json:"answered_ms"`
}

// Chain compares how many calls reach the failing last service of a chain, with and without
// the retry budget.
type Chain struct {
	Levels int         `json:"levels"`
	Cases  []ChainCase `json:"cases"`
}

// ChainCase is one share of failing requests at the last level.
type ChainCase struct {
	FailedShare   float64 `json:"failed_share"`
	RatePerSecond float64 `json:"rate_per_second"`
	// Bound is the highest number of calls at the last level for one call at the top that
	// the retry allowance of a call permits.
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

// Upload is the memory of the nodes for each size of a body.
type Upload struct {
	Points []UploadPoint `json:"points"`
}

// UploadPoint is one size; memory is read while the body is on its way. The
// figures are nil where no node is a process of its own.
type UploadPoint struct {
	Bytes           int64    `json:"bytes"`
	Seconds         float64  `json:"seconds"`
	Complete        bool     `json:"whole"`
	GatewayResident *float64 `json:"gateway_resident_mb"`
	GatewayPeak     *float64 `json:"gateway_peak_mb"`
	WorkerResident  *float64 `json:"worker_node_resident_mb"`
	WorkerPeak      *float64 `json:"worker_node_peak_mb"`
}

// Rolling is what callers observed while every worker and node was replaced. Once counts the
// requests that must not be repeated, Any those that may be.
type Rolling struct {
	Replaced int     `json:"replaced"`
	Seconds  float64 `json:"seconds"`
	Once     Counts  `json:"unrepeatable"`
	Any      Counts  `json:"repeatable"`
	// UploadsStarted counts the slow uploads made during the run, UploadsWhole those of them that
	// were answered.
	UploadsStarted int `json:"uploads_started"`
	UploadsWhole   int `json:"uploads_whole"`
	// UploadReasons are the reasons of uploads that were not answered.
	UploadReasons map[outcome.Reason]int `json:"upload_reasons,omitempty"`
	// Killed counts nodes that did not end by themselves.
	Killed int `json:"killed"`
	// ClosedConnections counts connections that workers closed because they were at their limit.
	// A call on one of them ends with an unknown outcome, whatever the nodes do.
	ClosedConnections int `json:"closed_connections"`
}

// Crash is what callers observed while machines crashed. Once counts the requests that must not
// be repeated, Any those that may be.
type Crash struct {
	Events []CrashEvent `json:"events"`
	Once   Counts       `json:"unrepeatable"`
	Any    Counts       `json:"repeatable"`
}

// CrashEvent is the simultaneous crash of Machines out of Of machines, worker and node together.
type CrashEvent struct {
	Machines int `json:"machines"`
	Of       int `json:"of"`
	// FailingMS is the time from the crash to the last failed call of either kind.
	FailingMS float64 `json:"calls_failed_for_ms"`
}

// FaultPoint is what callers observed while workers failed in one way. Once counts the requests
// that must not be repeated, Any those that may be.
type FaultPoint struct {
	Fault worker.FaultKind `json:"fault"`
	// Share is the part of the requests at each worker that fail.
	Share float64 `json:"share"`
	Once  Counts  `json:"unrepeatable"`
	Any   Counts  `json:"repeatable"`
}
