package hosted

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/joomcode/errorx"
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
		ControlAddress: endpoint.String(node.ControlAddress),
		CallAddress:    endpoint.String(node.CallAddress),
		State:          exchangepb.NodeState(node.State),
		ReadsStore:     node.ReadsStore,
		Workers:        workerMessages(node.Workers),
		Capacity:       uint32(node.Capacity),
		Rollouts:       rolloutMessages(node.Rollouts),
		Quarantined:    evidencewire.EncodeVerdicts(node.Quarantined),
		StoreEra:       node.StoreEra,
	}
}

// nodeOf decodes a record. A record whose control or call address is none names no node: it is returned
// without addresses, with an error of type endpoint.ErrInvalid that says which one it is.
func nodeOf(message *exchangepb.Node) (fleet.Node, error) {
	control, call, err := addressesOf(message)
	return fleet.Node{
		ID:             message.GetId(),
		Incarnation:    message.GetIncarnation(),
		Sequence:       message.GetSequence(),
		Region:         message.GetRegion(),
		Zone:           message.GetZone(),
		ControlAddress: control,
		CallAddress:    call,
		State:          fleet.State(message.GetState()),
		ReadsStore:     message.GetReadsStore(),
		Workers:        workersOf(message.GetWorkers()),
		Capacity:       int(message.GetCapacity()),
		Rollouts:       rolloutsOf(message.GetRollouts()),
		Quarantined:    evidencewire.DecodeVerdicts(message.GetQuarantined()),
		StoreEra:       eraOf(message.GetStoreEra()),
	}, err
}

// addressesOf parses the addresses of a record.
func addressesOf(message *exchangepb.Node) (control, call netip.AddrPort, err error) {
	if control, err = endpoint.Parse(message.GetControlAddress()); err != nil {
		return netip.AddrPort{}, netip.AddrPort{}, errorx.Decorate(err, "control address")
	}
	if call, err = endpoint.Parse(message.GetCallAddress()); err != nil {
		return netip.AddrPort{}, netip.AddrPort{}, errorx.Decorate(err, "call address")
	}
	return control, call, nil
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

// rankOf decodes what says which of two records of a node is newer.
func rankOf(message *exchangepb.Node) fleet.Node {
	return fleet.Node{ID: message.GetId(), Incarnation: message.GetIncarnation(), Sequence: message.GetSequence()}
}

// naming returns the records that name a node, to be forwarded.
func naming(messages []*exchangepb.Node) []*exchangepb.Node {
	return slices.DeleteFunc(slices.Clone(messages), func(message *exchangepb.Node) bool {
		_, _, err := addressesOf(message)
		return err != nil
	})
}

// nodesOf decodes records, without those that name no node.
func nodesOf(messages ...*exchangepb.Node) []fleet.Node {
	nodes := make([]fleet.Node, 0, len(messages))
	for _, message := range messages {
		if n, err := nodeOf(message); message != nil && err == nil {
			nodes = append(nodes, n)
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

// decodeEntry decodes an entry of the store. An error of type ErrInvalidEntry says why it is not a record
// of the node that its key names: another program may write there, or have left bytes that cannot be
// decoded. Of a record whose addresses are none the rest is returned, too. Workers with missing fields,
// or with an unknown state, are left out.
func decodeEntry(e Entry) (fleet.Node, error) {
	var message exchangepb.Node
	if err := proto.Unmarshal(e.Content, &message); err != nil {
		return fleet.Node{}, ErrInvalidEntry.New("%d bytes that are no record of a node", len(e.Content))
	}
	node, addressErr := nodeOf(&message)
	switch {
	case node.ID == "" || node.ID != e.ID:
		return fleet.Node{}, ErrInvalidEntry.New("the node is %q, want that of the key", shortened(node.ID))
	case node.Incarnation == 0 || !node.IncarnationInRange():
		return fleet.Node{}, ErrInvalidEntry.New("the incarnation is %d, want a time in nanoseconds since 1970", node.Incarnation)
	case node.Zone == "":
		return fleet.Node{}, ErrInvalidEntry.New("the zone is empty, want a name")
	case node.State < fleet.StateLive || node.State > fleet.StateLeft:
		return fleet.Node{}, ErrInvalidEntry.New("the state is %d, want %d to %d", node.State, fleet.StateLive, fleet.StateLeft)
	}
	node.Workers = slices.DeleteFunc(node.Workers, func(w workers.Worker) bool { return !usable(w) })
	if addressErr != nil {
		return node, ErrInvalidEntry.Wrap(addressErr, "an address that is none")
	}
	return node, nil
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
