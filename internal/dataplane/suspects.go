package dataplane

import (
	"net/http"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/evidencewire"
	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/quarantine"
)

// A request that crashes each worker that runs it must not be sent to one worker after the
// other (see package quarantine). Evidence about such requests is carried in the headers of
// calls: a failure carries it to the node where the call began, and the next calls of that
// node carry it to the nodes beside other workers, through which each run of the request
// must go.

const (
	// evidenceHeader carries the evidence of a node about such requests.
	evidenceHeader = "Levertide-Evidence"
	// evidenceResendInterval is how long evidence is not sent to the same node again. It is
	// short because the node may have restarted since, and the node and its workers must have
	// the evidence within seconds.
	evidenceResendInterval = time.Second
)

// evidenceSendTimes records when evidence was last sent to other nodes, by address. The
// zero value is ready to use.
type evidenceSendTimes struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// due reports whether evidence is to be sent to an address again; if so, it counts as sent.
func (t *evidenceSendTimes) due(address string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.last == nil {
		t.last = map[string]time.Time{}
	}
	if now.Sub(t.last[address]) < evidenceResendInterval {
		return false
	}
	t.last[address] = now
	return true
}

// fingerprint returns the fingerprint of a request; false for one whose body is streamed,
// of which nothing is buffered that would distinguish it from others. Such a request is
// sent once.
func (c *inboundCall) fingerprint() (quarantine.Fingerprint, bool) {
	if c.body.streamed {
		return quarantine.Fingerprint{}, false
	}
	request := quarantine.Request{
		Method:     c.request.Method,
		Host:       c.request.Host,
		Target:     c.request.URL.RequestURI(),
		Body:       c.body.buffered,
		BodyLength: int64(len(c.body.buffered)),
	}
	for _, name := range httpconn.CredentialHeaders {
		request.Credentials = append(request.Credentials, c.request.Header.Get(name))
	}
	if c.tenant != "" {
		// The tenant stands in for the key, which the node beside the worker does not see.
		request.Credentials = append(request.Credentials, c.tenant)
	}
	return request.Fingerprint(), true
}

// quarantineLevel returns how many crashes are attributed to the request of a call, and whether
// it is quarantined.
func (c *inboundCall) quarantineLevel() (level int, quarantined bool) {
	table := c.plane.config.Quarantine
	if table.Empty() {
		return 0, false
	}
	f, ok := c.fingerprint()
	if !ok {
		return 0, false
	}
	return table.Level(f, time.Now())
}

// checkQuarantine returns the failure of a quarantined request; nil for any other.
func (c *inboundCall) checkQuarantine() error {
	if _, found := c.quarantineLevel(); found {
		return outcome.New(outcome.Quarantined)
	}
	return nil
}

// recordCrash records that the worker ended while it ran the call. The current time
// identifies the incarnation of the worker, since the node has no other information about it.
func (c *inboundCall) recordCrash(level int) {
	if f, ok := c.fingerprint(); ok {
		c.plane.config.Quarantine.Crashed(f, c.plane.config.Node+" "+time.Now().UTC().Format(time.RFC3339), level, time.Now())
	}
}

// recordAnswer records that the worker has answered the call.
func (c *inboundCall) recordAnswer() {
	if c.plane.config.Quarantine.Empty() {
		return
	}
	if f, ok := c.fingerprint(); ok {
		// Other nodes receive this with the next calls.
		_, _ = c.plane.config.Quarantine.Answered(f, time.Now())
	}
}

// addEvidence adds the evidence of this node, when due, to the header of a call to another node.
func (p *Plane) addEvidence(header http.Header, address string) {
	now := time.Now()
	if p.config.Quarantine.Empty() || !p.evidenceSent.due(address, now) {
		return
	}
	header[evidenceHeader] = []string{evidencewire.EncodeHeader(p.config.Quarantine, now)}
}

// receiveEvidence adopts the evidence that another node sent in the header of a call or of an
// answer.
func (p *Plane) receiveEvidence(header http.Header) {
	evidencewire.MergeHeader(p.config.Quarantine, header.Get(evidenceHeader), time.Now())
}
