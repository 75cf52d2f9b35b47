package addresses_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/platform/standin"
)

// oddEntry returns the record of a node with addresses of a form.
func oddEntry(id, form string, p *place, number int) *exchangepb.Node {
	return &exchangepb.Node{
		Id: id, Incarnation: 1, Sequence: 1, Region: "r", Zone: "z", State: exchangepb.NodeState_NODE_STATE_LIVE, ReadsStore: true,
		ControlAddress: of(form, p.node.Control), CallAddress: of(form, p.node.Calls),
		Workers: []*exchangepb.Worker{{
			Instance: fmt.Sprintf("h%d", number), Service: services[number%len(services)], Slots: 6, Sequence: 1,
			State: exchangepb.WorkerState_WORKER_STATE_READY, Address: of(form, p.node.Worker),
		}},
	}
}

func (d *deployment) put(id string, n *exchangepb.Node) {
	d.t.Helper()
	content, err := proto.Marshal(n)
	if err != nil {
		d.t.Fatal(err)
	}
	d.store.Put("nodes/"+id, content)
}

// entry returns the entry of a node as the store has it.
func (d *deployment) entry(id string) *exchangepb.Node {
	d.t.Helper()
	response, err := http.Get("http://" + d.store.Address + "/api/kv-key?key=" + url.QueryEscape("nodes/"+id))
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var held struct {
		Value []byte `json:"value"`
	}
	var n exchangepb.Node
	if err := json.NewDecoder(response.Body).Decode(&held); err != nil || proto.Unmarshal(held.Value, &n) != nil || n.GetId() != id {
		d.t.Fatalf("no entry of %s: %v", id, err)
	}
	return &n
}

// TestEntriesOfOddAddressesHoldUpNoStart guards against a start of all nodes that waits for, or fails at, entries
// of nodes that there are not.
func TestEntriesOfOddAddressesHoldUpNoStart(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	for i, form := range oddForms {
		id := fmt.Sprintf("odd-%02d", i)
		d.put(id, oddEntry(id, form, d.places[i%len(d.places)], i))
	}
	for range 2 {
		d.mustReturn("entries of odd addresses under other names")
	}
}

// TestEntryUnderTheNodesOwnNameIsReplaced guards against nodes that others look for at the address that another
// writer has put into the node's entry while it was away.
func TestEntryUnderTheNodesOwnNameIsReplaced(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	for _, written := range []struct {
		what   string
		change func(i int, n *exchangepb.Node)
	}{
		{"addresses that are none", func(_ int, n *exchangepb.Node) {
			n.ControlAddress, n.CallAddress = of("H :P", n.GetControlAddress()), of("http://H:P/", n.GetCallAddress())
		}},
		{"a call address that is none", func(_ int, n *exchangepb.Node) { n.CallAddress = of("H:http", n.GetCallAddress()) }},
		{"addresses where nobody is", func(_ int, n *exchangepb.Node) { n.ControlAddress, n.CallAddress = "127.0.0.9:1", "127.0.0.9:2" }},
		{"addresses of another node", func(i int, n *exchangepb.Node) {
			next := d.places[(i+1)%len(d.places)].node
			n.ControlAddress, n.CallAddress = next.Control, next.Calls
		}},
	} {
		d.killAll()
		for i, p := range d.places {
			n := d.entry(p.node.ID())
			written.change(i, n)
			for _, w := range n.GetWorkers() {
				w.Address = of("H:-1", w.GetAddress())
			}
			d.put(p.node.ID(), n)
		}
		d.startAll()
		d.mustBeServed(written.what+" in the entries of the nodes", servedTime)
		d.mustStayServed(written.what + " in the entries of the nodes")
	}
}

// TestOddTextsOfADocumentHoldUpNoStart guards against a start of all nodes that fails at a document in which an
// address stands where a name is expected, beside what can be used.
func TestOddTextsOfADocumentHoldUpNoStart(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	for version, form := range []string{"H:P", "http://H:P/", "[::%réseau]:P", "H:-1"} {
		odd := of(form, d.places[0].node.Worker)
		var routes []standin.Route
		for _, service := range services {
			routes = append(routes, standin.Route{Kind: "safe", Prefix: "/" + service + "/", Service: service, Timeout: 5000, Target: 1000})
		}
		routes = append(routes, standin.Route{Kind: "safe", Prefix: "/odd/", Service: odd, Timeout: 5000, Target: 1000},
			standin.Route{Kind: "safe", Prefix: "/" + odd + "/", Service: services[0], Timeout: 5000, Target: 1000})
		document := string(standin.Document(2+version, host, standin.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderTimeout: 3000, IdleTimeout: 5000}, routes))
		encoded, _ := json.Marshal(odd)
		document = strings.Replace(document, `"listeners":[`, `"listeners":[{"host":`+string(encoded)+`,"policy":[]},`, 1)
		d.store.Configure([]byte(document))
		d.mustReturn(fmt.Sprintf("a document with %q for names", odd))
	}
}

// TestEntriesWrittenOnAndOnHoldUpNoStart guards against the same by a writer that goes on through the losses.
func TestEntriesWrittenOnAndOnHoldUpNoStart(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	first := *d.places[0] // its node is replaced at each restart
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for number := 0; ; number++ {
			id := fmt.Sprintf("odd-%d", number%len(services))
			form := oddForms[number%len(oddForms)]
			content, _ := proto.Marshal(oddEntry(id, form, &first, number))
			d.store.Put("nodes/"+id, content)
			select {
			case <-time.After(heartbeatInterval / 5):
			case <-stop:
				return
			}
		}
	}()
	defer func() {
		close(stop)
		<-ended
	}()
	for range 2 {
		d.mustReturn("entries of odd addresses, written on and on")
	}
}
