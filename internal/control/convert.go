package control

import (
	"time"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/snapshot"
)

func memberMessage(record membership.Record) *controlpb.Member {
	return &controlpb.Member{
		Id:             record.ID,
		Incarnation:    record.Incarnation,
		Attachment:     record.Attachment,
		State:          uint32(record.State),
		Region:         record.Region,
		Zone:           record.Zone,
		Service:        record.Service,
		ControlAddress: record.ControlAddress,
		CallAddress:    record.CallAddress,
		Reader:         record.Reader,
	}
}

func memberRecord(message *controlpb.Member) membership.Record {
	return membership.Record{
		ID:             message.GetId(),
		Incarnation:    message.GetIncarnation(),
		Attachment:     message.GetAttachment(),
		State:          membership.State(message.GetState()),
		Region:         message.GetRegion(),
		Zone:           message.GetZone(),
		Service:        message.GetService(),
		ControlAddress: message.GetControlAddress(),
		CallAddress:    message.GetCallAddress(),
		Reader:         message.GetReader(),
	}
}

func memberMessages(records []membership.Record) []*controlpb.Member {
	messages := make([]*controlpb.Member, len(records))
	for index, record := range records {
		messages[index] = memberMessage(record)
	}
	return messages
}

// memberRecords converts the valid messages and skips the others.
func memberRecords(messages []*controlpb.Member) []membership.Record {
	records := make([]membership.Record, 0, len(messages))
	for _, message := range messages {
		if checkMember(message) == nil {
			records = append(records, memberRecord(message))
		}
	}
	return records
}

func headMessage(head rollout.Head) *controlpb.Head {
	message := &controlpb.Head{
		Generation:  head.Generation,
		Committed:   head.Committed,
		Proposed:    head.Proposed,
		HighestUsed: head.HighestUsed,
		ApplyId:     head.ApplyID,
	}
	message.ChangedAtUnixNanoseconds = unixNanoseconds(head.ChangedAt)
	if rejected := head.LastRejected; rejected != nil {
		message.LastRejected = &controlpb.Rejection{
			Version:           rejected.Version,
			ApplyId:           rejected.ApplyID,
			Node:              rejected.Node,
			Reason:            rejected.Reason,
			AtUnixNanoseconds: unixNanoseconds(rejected.At),
		}
	}
	return message
}

// unixNanoseconds returns zero for the zero time, whose UnixNano is undefined.
func unixNanoseconds(moment time.Time) int64 {
	if moment.IsZero() {
		return 0
	}
	return moment.UnixNano()
}

func sumMessage(sum rollout.MemberSum) *controlpb.MemberSum {
	return &controlpb.MemberSum{Count: sum.Count, Hash: sum.Hash}
}

func sumOf(message *controlpb.MemberSum) rollout.MemberSum {
	return rollout.MemberSum{Count: message.GetCount(), Hash: message.GetHash()}
}

func reasonMessages(reasons []rollout.NodeReason) []*controlpb.NodeReason {
	messages := make([]*controlpb.NodeReason, len(reasons))
	for index, reason := range reasons {
		messages[index] = &controlpb.NodeReason{Node: reason.Node, Reason: reason.Reason}
	}
	return messages
}

func reasonsOf(messages []*controlpb.NodeReason) []rollout.NodeReason {
	messages = messages[:min(len(messages), rollout.MaxListedNodes)]
	var reasons []rollout.NodeReason
	for _, message := range messages {
		reasons = append(reasons, rollout.NodeReason{Node: message.GetNode(), Reason: message.GetReason()})
	}
	return reasons
}

func readinessMessage(readiness rollout.Readiness) *controlpb.Readiness {
	return &controlpb.Readiness{
		Proposed:  readiness.Proposed,
		Ready:     sumMessage(readiness.Ready),
		Refused:   reasonMessages(readiness.Refused),
		Committed: readiness.Committed,
		InForce:   sumMessage(readiness.InForce),
		Lagging:   reasonMessages(readiness.Lagging),
	}
}

func readinessOf(message *controlpb.Readiness) rollout.Readiness {
	return rollout.Readiness{
		Proposed:  message.GetProposed(),
		Ready:     sumOf(message.GetReady()),
		Refused:   reasonsOf(message.GetRefused()),
		Committed: message.GetCommitted(),
		InForce:   sumOf(message.GetInForce()),
		Lagging:   reasonsOf(message.GetLagging()),
	}
}

func scopeMessage(scope snapshot.Scope) *controlpb.Scope {
	return &controlpb.Scope{All: scope.All, Service: scope.Service}
}

func scopeOf(message *controlpb.Scope) snapshot.Scope {
	if message.GetAll() {
		return snapshot.Scope{All: true}
	}
	return snapshot.Scope{Service: message.GetService()}
}

// digestOf returns false for bytes that do not have the length of a digest.
func digestOf(encoded []byte) (model.Digest, bool) {
	var digest model.Digest
	if len(encoded) != len(digest) {
		return digest, false
	}
	copy(digest[:], encoded)
	return digest, true
}
