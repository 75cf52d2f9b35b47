package hosted

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/endpoint"
	"github.com/levertide/levertide/pkg/fleet"
)

const (
	// messageBound is the timeout of one message to another node.
	messageBound = 700 * time.Millisecond
	// idleMessages is how long an unused connection for messages is kept open; the server keeps it
	// longer.
	idleMessages       = 20 * time.Second
	idleServerMessages = 60 * time.Second
	messageDialBound   = 400 * time.Millisecond
	// maximumClients bounds the addresses for which a client is kept.
	maximumClients = 4096
)

// Peers sends messages to other nodes and processes their answers.
type Peers struct {
	// started is when the process started.
	started   time.Time
	mesh      string
	table     *fleet.Table
	contacts  *fleet.Contacts
	documents *Documents
	events    Events
	panicked  contain.Report
	web       *http.Client
	// onPrevious is called with the drain commitments of this node's previous incarnations.
	onPrevious func(merged fleet.Merged, drainCommitted []*exchangepb.Worker)
	// previousKnown is set once a node has answered that knows a previous incarnation of this one.
	previousKnown atomic.Bool
	// contacted is set once a message was exchanged with another node.
	contacted atomic.Bool
	// relay forwards what other nodes have sent.
	relay *relay
	// hub collects the updates of the zone while this node is its hub.
	hub  *hub
	sent messageCounters
	// directory is read on behalf of the nodes of the zone that have just started.
	directory sharedDirectory
	// evidence receives what other nodes know of requests that crash workers.
	evidence *evidence
	// onRolloutRecord is called when a record with a roll-out was merged; nil where roll-outs are
	// not used.
	onRolloutRecord func()
	// onReplaced is called with the last records of nodes whose address this one has.
	onReplaced func(records []fleet.Node)

	mutex   contain.Mutex
	clients map[netip.AddrPort]exchangepb.Exchange
}

func newPeers(config Config, documents *Documents) *Peers {
	p := &Peers{
		started:   time.Now(),
		mesh:      config.Mesh,
		table:     config.Table,
		contacts:  config.Contacts,
		documents: documents,
		events:    config.Events,
		panicked:  config.Panicked,
		clients:   map[netip.AddrPort]exchangepb.Exchange{},
		directory: sharedDirectory{list: config.Directory.ListAll, panicked: config.Panicked},
		web: &http.Client{Transport: httpconn.LimitAnswers(httpconn.CheckAnswers(&http.Transport{
			DialContext:            httpconn.Track(config.Dial, messageDialBound),
			IdleConnTimeout:        idleMessages,
			MaxIdleConnsPerHost:    2,
			DisableCompression:     true,
			MaxResponseHeaderBytes: httpconn.MaximumAnswerHead,
		}, 1), maximumMessage)},
	}
	p.relay = newRelay(func(ctx context.Context, u update, part partKey) {
		p.BroadcastOwnZone(ctx, u, part.after, part.until)
	})
	return p
}

// client returns the client for messages to an address. Clients hold no connections: those of addresses
// that are not used any more go when there are too many.
func (p *Peers) client(address netip.AddrPort) exchangepb.Exchange {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	client, known := p.clients[address]
	if !known {
		if len(p.clients) >= maximumClients {
			clear(p.clients)
		}
		client = exchangepb.NewExchangeProtobufClient("http://"+endpoint.String(address), p.web, twirp.WithClientPathPrefix(""))
		p.clients[address] = client
	}
	return client
}

// Sync runs an anti-entropy exchange with another node. It reports whether that node answered.
// Where the records differ, only those of the differing buckets are sent.
func (p *Peers) Sync(ctx context.Context, node fleet.Node) bool {
	response, answered := p.Handshake(ctx, node)
	if !answered {
		return false
	}
	request := p.followUp(response)
	if request == nil {
		return true
	}
	_, err := p.sync(ctx, node, request)
	return err == nil
}

// Handshake is Sync without the differing records: the other node reports what it knows of previous
// incarnations of this one, and the document. It reports whether that node answered.
func (p *Peers) Handshake(ctx context.Context, node fleet.Node) (*exchangepb.SyncResponse, bool) {
	view := p.table.View()
	response, err := p.sync(ctx, node, &exchangepb.SyncRequest{
		Mesh:            p.mesh,
		Sender:          nodeMessage(view.Self()),
		NodesDigest:     view.Digest(),
		DocumentVersion: p.documents.Version(),
		EvidenceDigest:  p.evidence.digest(),
	})
	return response, err == nil
}

// followUp returns the request for what this node and the answering one lack; nil when they hold
// the same.
func (p *Peers) followUp(response *exchangepb.SyncResponse) *exchangepb.SyncRequest {
	view := p.table.View()
	request := &exchangepb.SyncRequest{
		Mesh:            p.mesh,
		Sender:          nodeMessage(view.Self()),
		NodesDigest:     view.Digest(),
		DocumentVersion: p.documents.Version(),
		EvidenceDigest:  p.evidence.digest(),
	}
	if digests := response.GetBucketDigests(); len(digests) > 0 {
		request.Buckets = view.Differing(digests)
		request.Nodes = nodeMessages(view.InBuckets(request.Buckets))
	}
	if version := response.GetDocumentVersion(); version < request.GetDocumentVersion() {
		request.Document = p.documents.After(version)
	}
	if response.GetEvidenceDigest() != request.GetEvidenceDigest() {
		request.Evidence, request.Quarantined = p.evidence.held()
	}
	if len(request.Buckets) == 0 && request.Document == nil && len(request.Evidence)+len(request.Quarantined) == 0 {
		return nil
	}
	return request
}

// lackedBy returns the records of buckets that a node lacks which has reported all its own records
// of them.
func lackedBy(view *fleet.View, buckets []uint32, reported []*exchangepb.Node) []*exchangepb.Node {
	held := make(map[string]fleet.Node, len(reported))
	for _, n := range nodesOf(reported...) {
		held[n.ID] = n
	}
	var missing []*exchangepb.Node
	for _, n := range view.InBuckets(buckets) {
		if theirs, known := held[n.ID]; !known || n.NewerThan(theirs) {
			missing = append(missing, nodeMessage(*n))
		}
	}
	return missing
}

func (p *Peers) sync(ctx context.Context, node fleet.Node, request *exchangepb.SyncRequest) (*exchangepb.SyncResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, messageBound)
	defer cancel()
	p.sent.exchanges.Add(1)
	response, err := p.client(node.ControlAddress).Sync(ctx, request)
	if err != nil {
		p.noteFailure(node.ID, err)
		return nil, err
	}
	p.noteContact(response.GetReceiver().GetId())
	p.merge(append(nodesOf(response.GetNodes()...), nodesOf(response.GetReceiver())...), response.GetPromised())
	p.documents.TakeMessage(response.GetDocument())
	p.evidence.take(response.GetEvidence())
	p.evidence.takeDecisions(response.GetQuarantined())
	if response.GetKnowsFormer() {
		p.previousKnown.Store(true)
	}
	if err := checkAnswering(node, response.GetReceiver().GetId()); err != nil {
		p.noteFailure(node.ID, err)
		return nil, err
	}
	return response, nil
}

// merge merges records, and relays what was reported of previous incarnations of this node.
func (p *Peers) merge(nodes []fleet.Node, drainCommitted []*exchangepb.Worker) []fleet.Node {
	merged := p.mergeRecords(nodes)
	if p.onRolloutRecord != nil && slices.ContainsFunc(merged.Updates, func(n fleet.Node) bool { return len(n.Rollouts) > 0 }) {
		p.onRolloutRecord()
	}
	p.evidence.takeRecords(merged.Updates)
	if merged.PreviousSelf != nil || len(drainCommitted) > 0 {
		p.onPrevious(merged, drainCommitted)
	}
	return merged.Updates
}

// mergeRecords merges records, and acts on nodes that were restarted or replaced.
func (p *Peers) mergeRecords(nodes []fleet.Node) fleet.Merged {
	before := p.table.View()
	merged := p.table.Merge(nodes)
	p.checkMoves(before, merged.NewIncarnations)
	for _, id := range merged.NewIncarnations {
		// The node was lost, and others have had contact with its new incarnation: it need not be
		// probed first.
		p.noteContact(id)
	}
	for _, n := range merged.Updates {
		if n.Replaced() {
			p.events.NodeReplaced(n.ID, n.ControlAddress)
		}
	}
	if len(merged.Replaced) > 0 {
		p.onReplaced(merged.Replaced)
	}
	return merged
}

func (p *Peers) noteFailure(id string, err error) {
	if isOtherNode(err) {
		p.sent.misdirected.Add(1)
	}
	if p.contacts.Failed(id, time.Now(), rand.Float64()) {
		p.events.NodeLost(id, err)
	}
}

func (p *Peers) noteContact(id string) {
	p.contacted.Store(true)
	if p.contacts.Reached(id) {
		p.events.NodeFound(id)
	}
}
