package control

import (
	"context"
	"time"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/rollout"
)

// Status answers with the coordinator's view of the whole system.
func (r rpc) Status(ctx context.Context, request *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
	return r.node.status(ctx, min(request.GetHops(), maximumStatusHops)), nil
}

// status forwards the request to the parent, and answers itself when there is no
// parent, when no hops are left, or when the parent does not answer.
func (n *Node) status(ctx context.Context, hops uint32) *controlpb.StatusResponse {
	n.mutex.Lock()
	parent, attached := n.upstream.parent, n.upstream.attached
	n.mutex.Unlock()
	if attached && hops > 0 {
		ctx, cancel := context.WithTimeout(ctx, n.config.CallTimeout)
		defer cancel()
		answer, err := n.clients.status(ctx, parent, &controlpb.StatusRequest{Hops: hops - 1})
		if err == nil {
			return answer
		}
	}
	return n.ownStatus()
}

// ownStatus returns the status as this node knows it.
func (n *Node) ownStatus() *controlpb.StatusResponse {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	state := n.participant.State()
	view := n.table.View()
	readiness := n.subtreeReadiness()
	response := &controlpb.StatusResponse{
		Head:                        headMessage(state.Head),
		Live:                        sumMessage(n.table.LiveSum()),
		Readiness:                   readinessMessage(readiness),
		Lagging:                     reasonMessages(readiness.Lagging),
		StoreReachable:              n.storeState.contacted && n.storeState.reachable,
		StoreError:                  n.storeState.lastError,
		StoreSinceUnixNanoseconds:   unixNanoseconds(n.storeState.since),
		InForceSinceUnixNanoseconds: unixNanoseconds(n.inForceEverywhere),
		Leaving:                     uint32(view.Leaving()),
		Lost:                        uint32(view.Lost()),
		Alarms:                      n.allAlarms(state),
		AnsweredBy:                  n.self.ID,
	}
	if n.coordinates() {
		response.Coordinator = n.self.ID
	}
	response.Readers = n.readers()
	return response
}

// readers lists the live nodes that read the store, in the order of their names.
func (n *Node) readers() []*controlpb.Reader {
	var readers []*controlpb.Reader
	for _, record := range n.table.View().Live() {
		if record.Reader {
			readers = append(readers, &controlpb.Reader{Node: record.ID, Slot: uint32(len(readers))})
		}
	}
	return readers
}

func (n *Node) allAlarms(state rollout.ParticipantState) []string {
	alarms := append([]string(nil), n.alarms...)
	if n.storeState.regressed {
		alarms = appendAlarm(alarms, n.storeState.regression)
	}
	for _, text := range state.Alarms {
		alarms = appendAlarm(alarms, text)
	}
	return alarms
}

// updateInForceSince records the time since which every live node runs the
// committed version.
func (n *Node) updateInForceSince() {
	readiness := n.subtreeReadiness()
	head := n.head()
	everywhere := head.Committed != 0 && readiness.Committed == head.Committed &&
		readiness.InForce == n.table.LiveSum()
	switch {
	case !everywhere && n.inForceVersion != head.Committed:
		n.inForceEverywhere = time.Time{}
	case everywhere && n.inForceVersion != head.Committed:
		n.inForceEverywhere, n.inForceVersion = now(), head.Committed
	}
}
