package control

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/endpoint"
	"github.com/levertide/levertide/pkg/lease"
	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/topology"
	"github.com/levertide/levertide/pkg/versionstore"
)

// readerLeasePrefix precedes the slot number in the keys of leases.
const readerLeasePrefix = versionstore.DefaultPrefix + "reader/"

// readerHolder is the value that a reader stores with its lease.
type readerHolder struct {
	Node           string `json:"node"`
	ControlAddress string `json:"controlAddress"`
}

// tenure is the right to read the store. Without a lease it lasts until the
// next attempt to get one.
type tenure struct {
	lease lease.Lease
	slot  int
}

// acquireReader tries to get the lease of each slot in turn, starting with the
// one that corresponds to the node's place in the tree. If the holders of all
// slots are gone, it grants a tenure without a lease.
func (n *Node) acquireReader(ctx context.Context) (tenure, error) {
	value, err := json.Marshal(readerHolder{Node: n.ID(), ControlAddress: n.config.Self.ControlAddress})
	if err != nil {
		return tenure{}, ErrMalformed.Wrap(err, "value of the reader's lease cannot be encoded")
	}
	first := n.preferredSlot()
	absent := 0
	for offset := range topology.DefaultReaders {
		slot := (first + offset) % topology.DefaultReaders
		held, err := n.tryLease(ctx, slot, value)
		if err == nil {
			return tenure{lease: held, slot: slot}, nil
		}
		if !errorx.IsOfType(err, lease.ErrLeaseHeld) {
			n.recordStoreResult(err)
			return tenure{}, err
		}
		n.recordStoreAnswer()
		if n.holderAbsent(ctx, slot) {
			absent++
		}
	}
	if absent == topology.DefaultReaders {
		return tenure{slot: noSlot}, nil
	}
	return tenure{}, lease.ErrLeaseHeld.New("all readers' leases are held")
}

func (n *Node) preferredSlot() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return max(n.plan.assignment.ApexIndex, 0) % topology.DefaultReaders
}

func (n *Node) tryLease(ctx context.Context, slot int, value []byte) (lease.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	return n.lessor.TryAcquire(ctx, leaseKey(slot), value)
}

func leaseKey(slot int) string { return fmt.Sprintf("%s%d", readerLeasePrefix, slot) }

// holderAbsent reports whether the holder of a slot is gone, so that its lease
// will lapse. A holder that was unknown here and answers is added to the members.
func (n *Node) holderAbsent(ctx context.Context, slot int) bool {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	found, err := n.lessor.Holder(ctx, leaseKey(slot))
	if err != nil {
		return false
	}
	var holder readerHolder
	if json.Unmarshal(found.Value, &holder) != nil {
		return false
	}
	if n.memberPresent(holder.Node) {
		return false
	}
	address, err := endpoint.Parse(holder.ControlAddress)
	if err != nil {
		n.events.PeerRefused(holder.Node, err.Error())
		return true
	}
	return !n.askMembers(ctx, endpoint.String(address))
}

func (n *Node) memberPresent(id string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	record, found := n.table.Get(id)
	return found && record.State == membership.StateLive && !n.plan.suspected(id, now())
}
