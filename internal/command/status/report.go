package status

import (
	"time"

	"github.com/levertide/levertide/internal/command/connect"
	"github.com/levertide/levertide/internal/command/console"
	"github.com/levertide/levertide/internal/command/exit"
	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/rollout"
)

// Report is the answer of the command.
type Report struct {
	console.Outcome
	// AnsweredBy is the node whose view this is. It is the coordinator, unless the
	// queried node cannot reach one.
	AnsweredBy  string   `json:"answeredBy"`
	Coordinator string   `json:"coordinator"`
	Readers     []string `json:"readers"`
	// Committed is the version that every node should run; zero before the first one.
	Committed uint64 `json:"committed"`
	// InForceOn is how many of the Live nodes run the committed version.
	InForceOn uint32 `json:"inForceOn"`
	Live      uint32 `json:"live"`
	Leaving   uint32 `json:"leaving"`
	Lost      uint32 `json:"lost"`
	// InForceSince is when the committed version was first observed in force on every
	// live node; it is left out until then.
	InForceSince *time.Time `json:"inForceSince,omitempty"`
	// Rollout is set while a version is proposed.
	Rollout      *Rollout   `json:"rollout,omitempty"`
	Lagging      []Node     `json:"lagging"`
	Store        Store      `json:"store"`
	LastRejected *Rejection `json:"lastRejected,omitempty"`
	Alarms       []string   `json:"alarms"`
}

// Rollout is the version that is being staged.
type Rollout struct {
	Version uint64 `json:"version"`
	ApplyID string `json:"applyId"`
	ReadyOn uint32 `json:"readyOn"`
	Refused []Node `json:"refused"`
}

// Node is a node that lags or has refused a version, with the reason.
type Node struct {
	Node   string `json:"node"`
	Reason string `json:"reason"`
}

// Store reports whether the platform's store can be reached, since when, and the
// error if it cannot.
type Store struct {
	Reachable bool       `json:"reachable"`
	Since     *time.Time `json:"since,omitempty"`
	Error     string     `json:"error,omitempty"`
}

// Rejection is the version that was rejected last.
type Rejection struct {
	Version uint64     `json:"version"`
	ApplyID string     `json:"applyId"`
	Node    string     `json:"node"`
	Reason  string     `json:"reason"`
	At      *time.Time `json:"at,omitempty"`
}

func reportOf(answer *controlpb.StatusResponse) Report {
	head := controlpb.HeadOf(answer.GetHead())
	return Report{
		Outcome:      console.Done(exit.Accepted, ""),
		AnsweredBy:   answer.GetAnsweredBy(),
		Coordinator:  answer.GetCoordinator(),
		Readers:      readersOf(answer),
		Committed:    head.Committed,
		InForceOn:    connect.ProgressOf(answer, head.Committed).InForce,
		Live:         answer.GetLive().GetCount(),
		Leaving:      answer.GetLeaving(),
		Lost:         answer.GetLost(),
		InForceSince: instant(answer.GetInForceSinceUnixNanoseconds()),
		Rollout:      rolloutOf(answer, head),
		Lagging:      nodesOf(answer.GetLagging()),
		Store: Store{
			Reachable: answer.GetStoreReachable(),
			Since:     instant(answer.GetStoreSinceUnixNanoseconds()),
			Error:     answer.GetStoreError(),
		},
		LastRejected: rejectionOf(head.LastRejected),
		Alarms:       append([]string{}, answer.GetAlarms()...),
	}
}

func readersOf(answer *controlpb.StatusResponse) []string {
	readers := []string{}
	for _, reader := range answer.GetReaders() {
		readers = append(readers, reader.GetNode())
	}
	return readers
}

func rolloutOf(answer *controlpb.StatusResponse, head rollout.Head) *Rollout {
	if head.Proposed == 0 {
		return nil
	}
	current := &Rollout{Version: head.Proposed, ApplyID: head.ApplyID, Refused: []Node{}}
	if readiness := answer.GetReadiness(); readiness.GetProposed() == head.Proposed {
		current.ReadyOn = readiness.GetReady().GetCount()
		current.Refused = nodesOf(readiness.GetRefused())
	}
	return current
}

func rejectionOf(rejection *rollout.Rejection) *Rejection {
	if rejection == nil {
		return nil
	}
	rejected := &Rejection{Version: rejection.Version, ApplyID: rejection.ApplyID, Node: rejection.Node, Reason: rejection.Reason}
	if !rejection.At.IsZero() {
		rejected.At = &rejection.At
	}
	return rejected
}

func nodesOf(reasons []*controlpb.NodeReason) []Node {
	nodes := []Node{}
	for _, reason := range reasons {
		nodes = append(nodes, Node{Node: reason.GetNode(), Reason: reason.GetReason()})
	}
	return nodes
}

func instant(unixNanoseconds int64) *time.Time {
	if unixNanoseconds == 0 {
		return nil
	}
	value := time.Unix(0, unixNanoseconds)
	return &value
}
