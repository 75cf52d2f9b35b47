package addresses_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/levertide/levertide/internal/exchangepb"
)

const (
	// nobodyAt is an address of the network of the tests at which nothing listens.
	nobodyAt = "127.191.0.9:9"
	// laterIncarnation is beyond the times at which nodes start, in nanoseconds since 1970.
	laterIncarnation = 1 << 61
	entryInterval    = time.Second
)

// forgery is what another program writes under the name of a node.
type forgery struct {
	name   string
	change func(d *deployment, i int, entry *exchangepb.Node)
}

// forgeries are those of the plays.
var forgeries = []forgery{
	{"addresses of nobody", func(*deployment, int, *exchangepb.Node) {}},
	{"a later incarnation", func(_ *deployment, _ int, entry *exchangepb.Node) { entry.Incarnation = laterIncarnation }},
	{"a last record", func(_ *deployment, _ int, entry *exchangepb.Node) {
		entry.Sequence, entry.State = 1<<64-1, exchangepb.NodeState_NODE_STATE_LEFT
	}},
	{"addresses of the next node", func(d *deployment, i int, entry *exchangepb.Node) {
		next := d.places[(i+1)%len(d.places)].node
		entry.ControlAddress, entry.CallAddress = next.Control, next.Calls
	}},
	{"addresses of the store", func(d *deployment, _ int, entry *exchangepb.Node) {
		entry.ControlAddress, entry.CallAddress = d.store.Address, d.store.Address
	}},
}

// forge writes an entry under the name of each node, with a worker of odd address.
func (d *deployment) forge(f forgery, form string) {
	for i, p := range d.places {
		entry := &exchangepb.Node{
			Id: p.node.ID(), Incarnation: uint64(time.Now().UnixNano()), Sequence: 1 << 40, Region: "r", Zone: "z",
			ControlAddress: nobodyAt, CallAddress: nobodyAt, State: exchangepb.NodeState_NODE_STATE_LIVE, ReadsStore: true,
			Workers: []*exchangepb.Worker{{
				Instance: "odd-" + p.instance, Service: services[i], Slots: 6, Sequence: 1, State: exchangepb.WorkerState_WORKER_STATE_READY, Address: of(form, p.node.Worker),
			}},
		}
		f.change(d, i, entry)
		content, err := proto.Marshal(entry)
		if err != nil {
			d.t.Error(err)
			return
		}
		d.store.Put("nodes/"+p.node.ID(), content)
	}
}

// withOddAddresses returns a forgery whose addresses are of odd forms, for each node another one.
func withOddAddresses(first int) forgery {
	name := fmt.Sprintf("addresses of the forms %q", oddForms[first:min(first+len(services), len(oddForms))])
	return forgery{name, func(d *deployment, i int, entry *exchangepb.Node) {
		form, node := oddForms[(first+i)%len(oddForms)], d.places[i].node
		entry.ControlAddress, entry.CallAddress = of(form, node.Control), of(form, node.Calls)
	}}
}

// TestEntriesUnderTheNodesOwnNamesHideNoService guards against services that nobody serves after all nodes
// were lost, since another program has written over the entries by which nodes find each other.
func TestEntriesUnderTheNodesOwnNamesHideNoService(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	plays := slices.Clone(forgeries)
	for first := 0; first < len(oddForms); first += len(services) {
		plays = append(plays, withOddAddresses(first))
	}
	for i, f := range plays {
		d.forge(f, oddForms[i%len(oddForms)])
		d.mustReturn("entries with " + f.name)
	}
}

// TestEntriesWrittenOverAndOverHideNoService guards against the same while the other program goes on.
func TestEntriesWrittenOverAndOverHideNoService(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	for i, f := range append(forgeries[:2:2], withOddAddresses(0)) {
		end := d.keepForging(f, oddForms[i])
		what := "entries written each second, with " + f.name
		d.mustReturn(what)
		d.mustReturn(what + ", again")
		end()
	}
}

// keepForging writes the entries at intervals, until end is called. Nodes that are started meanwhile keep
// their names and addresses.
func (d *deployment) keepForging(f forgery, form string) (end func()) {
	same := &deployment{t: d.t, store: d.store}
	for _, p := range d.places {
		own := *p
		same.places = append(same.places, &own)
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		for {
			same.forge(f, form)
			select {
			case <-stop:
				return
			case <-time.After(entryInterval):
			}
		}
	})
	return func() {
		close(stop)
		running.Wait()
	}
}
