package hosted

import (
	"math"
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/levertide/levertide/internal/evidencewire"
	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/pkg/canary"
	"github.com/levertide/levertide/pkg/endpoint"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/workers"
)

func nodeMessage(node fleet.Node) *exchangepb.Node {
	return &exchangepb.Node{
		Id:             node.ID,
		Incarnation:    node.Incarnation,
		Sequence:       node.Sequence,
		Region:         node.Region,
		Zone:           node.Zone,
		ControlAddress: node.ControlAddress,
		CallAddress:    node.CallAddress,
		State:          exchangepb.NodeState(node.State),
		ReadsStore:     node.ReadsStore,
		Workers:        workerMessages(node.Workers),
		Capacity:       uint32(node.Capacity),
		Rollouts:       rolloutMessages(node.Rollouts),
		Quarantined:    evidencewire.EncodeVerdicts(node.Quarantined),
		StoreEra:       node.StoreEra,
	}
}

func nodeOf(message *exchangepb.Node) fleet.Node {
	return fleet.Node{
		ID:             message.GetId(),
		Incarnation:    message.GetIncarnation(),
		Sequence:       message.GetSequence(),
		Region:         message.GetRegion(),
		Zone:           message.GetZone(),
		ControlAddress: message.GetControlAddress(),
		CallAddress:    message.GetCallAddress(),
		State:          fleet.State(message.GetState()),
		ReadsStore:     message.GetReadsStore(),
		Workers:        workersOf(message.GetWorkers()),
		Capacity:       int(message.GetCapacity()),
		Rollouts:       rolloutsOf(message.GetRollouts()),
		Quarantined:    evidencewire.DecodeVerdicts(message.GetQuarantined()),
		StoreEra:       eraOf(message.GetStoreEra()),
	}
}

// maximumEra bounds eras: no store is restored from a copy more often.
const maximumEra = 1 << 32

// eraOf returns the era that a record names; zero, for none, if no store has come to it.
func eraOf(era uint64) uint64 {
	if era > maximumEra {
		return 0
	}
	return era
}

func nodeMessages(nodes []*fleet.Node) []*exchangepb.Node {
	messages := make([]*exchangepb.Node, 0, len(nodes))
	for _, node := range nodes {
		messages = append(messages, nodeMessage(*node))
	}
	return messages
}

func nodesOf(messages ...*exchangepb.Node) []fleet.Node {
	nodes := make([]fleet.Node, 0, len(messages))
	for _, message := range messages {
		if message != nil {
			nodes = append(nodes, nodeOf(message))
		}
	}
	return nodes
}

func workerMessages(list []workers.Worker) []*exchangepb.Worker {
	messages := make([]*exchangepb.Worker, 0, len(list))
	for _, worker := range list {
		messages = append(messages, &exchangepb.Worker{
			Instance:   worker.Instance,
			Service:    worker.Service,
			Slots:      uint32(worker.Slots),
			Sequence:   worker.Sequence,
			State:      exchangepb.WorkerState(worker.State),
			Address:    endpoint.String(worker.Address),
			Version:    worker.Version,
			BornUnixMs: worker.StartedAt,

			SupersededBornUnixMs: worker.DisorderedPredecessors(),
		})
	}
	return messages
}

// workersOf decodes the workers of a record. One whose address is none cannot be called, and is left out
// unless it is draining or gone, which needs no address.
func workersOf(messages []*exchangepb.Worker) []workers.Worker {
	list := make([]workers.Worker, 0, len(messages))
	for _, message := range messages {
		address, err := endpoint.Parse(message.GetAddress())
		if err != nil && !workers.State(message.GetState()).DrainCommitted() {
			continue
		}
		list = append(list, workers.Worker{
			Instance:  message.GetInstance(),
			Service:   message.GetService(),
			Slots:     int(message.GetSlots()),
			Sequence:  message.GetSequence(),
			State:     workers.State(message.GetState()),
			Address:   address,
			Version:   message.GetVersion(),
			StartedAt: message.GetBornUnixMs(),

			Predecessors: message.GetSupersededBornUnixMs(),
		})
	}
	return list
}

// shareUnits is the unit of a share in messages: thousandths.
const shareUnits = 1000

func rolloutMessages(list []fleet.Rollout) []*exchangepb.Rollout {
	var messages []*exchangepb.Rollout
	for _, r := range list {
		message := &exchangepb.Rollout{
			Service:          r.Service,
			Target:           r.Target,
			Era:              r.Era,
			Revision:         r.Revision,
			OrderedUnixMs:    r.Ordered.UnixMilli(),
			DeadlineUnixMs:   r.Deadline.UnixMilli(),
			Step:             r.Step,
			ShareThousandths: uint32(math.Round(shareUnits * r.Share)),
			State:            exchangepb.RolloutState(r.State),
		}
		for _, runs := range r.Runs {
			message.Runs = append(message.Runs, &exchangepb.RouteRuns{
				Route: runs.Route, Runs: uint64(runs.Runs), Failed: uint64(runs.Failed), LogTime: runs.LogTime,
			})
		}
		messages = append(messages, message)
	}
	return messages
}

func rolloutsOf(messages []*exchangepb.Rollout) []fleet.Rollout {
	var list []fleet.Rollout
	for _, message := range messages {
		r := fleet.Rollout{
			Service:  message.GetService(),
			Target:   message.GetTarget(),
			Era:      message.GetEra(),
			Revision: message.GetRevision(),
			Ordered:  time.UnixMilli(message.GetOrderedUnixMs()),
			Deadline: time.UnixMilli(message.GetDeadlineUnixMs()),
			Step:     message.GetStep(),
			Share:    float64(min(message.GetShareThousandths(), shareUnits)) / shareUnits,
			State:    canary.State(message.GetState()),
		}
		for _, runs := range message.GetRuns() {
			if !validRuns(runs) {
				continue
			}
			r.Runs = append(r.Runs, fleet.RouteRuns{
				Route: runs.GetRoute(),
				Tally: canary.Tally{Runs: float64(runs.GetRuns()), Failed: float64(runs.GetFailed()), LogTime: runs.GetLogTime()},
			})
		}
		list = append(list, r)
	}
	return list
}

// maximumLogTime bounds the logarithm of a run time in seconds: times from a nanosecond to years are
// within it.
const maximumLogTime = 30

// validRuns reports whether runs can have happened. The judge of a roll-out adds all of them up: sums
// with one that is no number would tell nothing any more.
func validRuns(runs *exchangepb.RouteRuns) bool {
	return runs.GetFailed() <= runs.GetRuns() && math.Abs(runs.GetLogTime()) <= maximumLogTime*float64(runs.GetRuns())
}

// encodeEntry encodes a node's record as its entry in the store. The workers are part of it: the
// same incarnation and sequence must never identify two different records.
func encodeEntry(node fleet.Node) ([]byte, error) {
	encoded, err := proto.Marshal(nodeMessage(node))
	if err != nil {
		return nil, ErrUnencodable.Wrap(err, "the record of %s", node.ID)
	}
	return encoded, nil
}

// decodeEntry decodes an entry of the store; false when it is not a record of the node that its key
// names: another program may write there, or have left bytes that cannot be decoded. Workers with
// missing fields, or with an unknown state, are left out.
func decodeEntry(e Entry) (fleet.Node, bool) {
	var message exchangepb.Node
	if err := proto.Unmarshal(e.Content, &message); err != nil {
		return fleet.Node{}, false
	}
	node := nodeOf(&message)
	_, _, addressErr := net.SplitHostPort(node.ControlAddress)
	known := node.State >= fleet.StateLive && node.State <= fleet.StateLeft
	if node.ID == "" || node.ID != e.ID || node.Incarnation == 0 || !node.IncarnationInRange() || node.Zone == "" || addressErr != nil || !known {
		return fleet.Node{}, false
	}
	node.Workers = slices.DeleteFunc(node.Workers, func(w workers.Worker) bool { return !usable(w) })
	return node, true
}

// usable reports whether a worker of an entry has the fields that its state requires: what is
// needed to call it, or only its instance if it is draining or gone.
func usable(w workers.Worker) bool {
	switch w.State {
	case workers.StateReady, workers.StateUnresponsive:
		return w.Instance != "" && w.Service != "" && w.Address.IsValid() && w.Slots > 0
	case workers.StateDraining, workers.StateGone:
		return w.Instance != ""
	default:
		return false
	}
}
