package dataplane

import (
	"net/http"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/evidencewire"
	"github.com/levertide/levertide/internal/httpleg"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/quarantine"
)

// A request that crashes each worker which runs it must not be offered to one after the
// other (package quarantine). What a node knows travels with calls: with a failure to the
// node where the call began, and from there with its next calls to the nodes beside other
// workers, through which each run of the request must go.

const (
	// evidenceHeader carries what a node knows of such requests.
	evidenceHeader = "Levertide-Evidence"
	// evidenceResendInterval is how long what another node was told is not told it again. It may
	// have been restarted since, and its workers must hear within seconds.
	evidenceResendInterval = time.Second
)

// evidenceSendTimes is when other nodes were evidenceSendTimes what this one knows, by address. The zero value is
// ready.
type evidenceSendTimes struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// due reports whether an address is to be told again, and counts it as told.
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
// of which nothing is held that would tell it from others. Such a request is sent once.
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
	for _, name := range httpleg.CredentialHeaders {
		request.Credentials = append(request.Credentials, c.request.Header.Get(name))
	}
	if c.tenant != "" {
		// It stands for the key, which the node beside the worker does not see.
		request.Credentials = append(request.Credentials, c.tenant)
	}
	return request.Fingerprint(), true
}

// quarantineLevel returns how many crashes speak against the request of a call, and whether it is
// quarantined.
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

// checkQuarantine returns the failure of a request that is run no more; nil for any other.
func (c *inboundCall) checkQuarantine() error {
	if _, found := c.quarantineLevel(); found {
		return outcome.New(outcome.Quarantined)
	}
	return nil
}

// recordCrash takes that a worker has ended with the call in hand. The life of the worker is
// told from others by the time: a node does not know more of it.
func (c *inboundCall) recordCrash(level int) {
	if f, ok := c.fingerprint(); ok {
		c.plane.config.Quarantine.Crashed(f, c.plane.config.Node+" "+time.Now().UTC().Format(time.RFC3339), level, time.Now())
	}
}

// recordAnswer takes that the worker has answered the call.
func (c *inboundCall) recordAnswer() {
	if c.plane.config.Quarantine.Empty() {
		return
	}
	if f, ok := c.fingerprint(); ok {
		// The others hear with the next calls.
		_, _ = c.plane.config.Quarantine.Answered(f, time.Now())
	}
}

// addEvidence puts what this node knows into the header of a call to another node.
func (p *Plane) addEvidence(header http.Header, address string) {
	now := time.Now()
	if p.config.Quarantine.Empty() || !p.evidenceSent.due(address, now) {
		return
	}
	header[evidenceHeader] = []string{evidencewire.Header(p.config.Quarantine, now)}
}

// receiveEvidence takes what another node tells in the header of a call or of an answer.
func (p *Plane) receiveEvidence(header http.Header) {
	evidencewire.TakeHeader(p.config.Quarantine, header.Get(evidenceHeader), time.Now())
}
