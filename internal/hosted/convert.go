package hosted

import (
	"google.golang.org/protobuf/proto"

	"github.com/levertide/levertide/internal/exchangepb"
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
	}
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
			Instance: worker.Instance,
			Service:  worker.Service,
			Slots:    uint32(worker.Slots),
			Sequence: worker.Sequence,
			State:    exchangepb.WorkerState(worker.State),
			Address:  worker.Address,
		})
	}
	return messages
}

func workersOf(messages []*exchangepb.Worker) []workers.Worker {
	list := make([]workers.Worker, 0, len(messages))
	for _, message := range messages {
		list = append(list, workers.Worker{
			Instance: message.GetInstance(),
			Service:  message.GetService(),
			Slots:    int(message.GetSlots()),
			Sequence: message.GetSequence(),
			State:    workers.State(message.GetState()),
			Address:  message.GetAddress(),
		})
	}
	return list
}

// encodeEntry returns a node's record as its entry in the store. The workers are
// part of it: the same incarnation and sequence must never name two records.
func encodeEntry(node fleet.Node) []byte {
	encoded, err := proto.Marshal(nodeMessage(node))
	if err != nil {
		panic("hosted: a record cannot be encoded: " + err.Error())
	}
	return encoded
}

// decodeEntry reads an entry of the store; false when it is none.
func decodeEntry(entry []byte) (fleet.Node, bool) {
	var message exchangepb.Node
	if err := proto.Unmarshal(entry, &message); err != nil {
		return fleet.Node{}, false
	}
	return nodeOf(&message), message.GetId() != ""
}
