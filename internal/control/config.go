package control

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"regexp"
	"time"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/endpoint"
	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/snapshot"
	"github.com/levertide/levertide/pkg/store"
)

// Defaults of Config.
const (
	DefaultHold              = 3 * time.Second
	DefaultUnresponsiveBound = 2 * time.Second
	DefaultLossBound         = 2 * time.Second
	DefaultSubtreeLossBound  = 5 * time.Second
	DefaultSuspectBound      = 5 * time.Second
	DefaultCallTimeout       = 2 * time.Second
	DefaultDialTimeout       = time.Second
	DefaultReaderLeaseTTL    = 10 * time.Second
	DefaultTreeSettle        = 10 * time.Second
	DefaultFanOut            = 6
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Config configures a Node. Self.ID, Self.Region, Self.Zone,
// Self.ControlAddress and Listener are required; the zero value of everything
// else has a documented meaning.
type Config struct {
	// Self is the node's own member record. A zero Incarnation is replaced by
	// the wall clock in nanoseconds. State, Attachment and Reader are set by the
	// engine.
	Self membership.Record
	// Mesh names the system that the node belongs to: at most 64 lower-case
	// letters, digits and dashes. Messages of nodes of another mesh, which may
	// now use an address that a node of this mesh had before, are rejected.
	Mesh string
	// Gateway makes the node hold every resource. It is implied by an empty Self.Service.
	Gateway bool
	// Seeds are control addresses that are queried for members first.
	Seeds []netip.AddrPort

	// FanOut is how many children a relay inside a zone has; zero means DefaultFanOut.
	FanOut int
	// Hold is how long a parent may hold back the answer to a poll.
	Hold time.Duration
	// UnresponsiveBound is how long a node that does not report may delay a commit.
	UnresponsiveBound time.Duration
	// LossBound is how long a child may go without polling before its parent
	// marks it as lost.
	LossBound time.Duration
	// SubtreeLossBound is the same for nodes that were reported by a lost child.
	SubtreeLossBound time.Duration
	// SuspectBound is how long a peer that did not answer stays out of the plan.
	SuspectBound time.Duration
	// CallTimeout bounds one call to a peer, excluding the hold.
	CallTimeout time.Duration
	// TreeSettle is how long a tree must have had the same root before its
	// nodes answer as authoritative about what is committed while the store is
	// down. By then a part that was cut off has marked the other nodes as lost.
	TreeSettle time.Duration
	// ReaderLeaseTTL is how long a reader's lease outlives its holder.
	ReaderLeaseTTL time.Duration

	// Listener accepts the connections of other nodes. It must be a loopback
	// listener unless TLS is set.
	Listener net.Listener
	// TLS is the server's side of mutual TLS; nil means plain connections.
	TLS *tls.Config
	// ClientTLS is the client's side; it is set exactly when TLS is.
	ClientTLS *tls.Config
	// VerifyPeer, when set, checks the identity shown by a client on each request.
	VerifyPeer func(*tls.ConnectionState) error
	// VerifySender, when set, is called before a message is read, and again with
	// the member record in whose name the message was sent. An error rejects the
	// message.
	VerifySender func(Sender) error
	// Dial opens connections to other nodes; nil means a plain dialer with TCP keepalive.
	Dial DialFunc

	// Store is the platform's key-value service; nil means that the node has no
	// store to read.
	Store store.Store
	// Machines is the platform's list of machines; nil means that there is none.
	Machines store.MachineList
	// Validate is called before a version is staged; an error refuses the version.
	Validate func(*snapshot.Snapshot) error
	// Events receives the node's events; nil means NoEvents.
	Events Events
	// Panicked is called with each panic that was contained; nil means that nobody is told. It must
	// not block.
	Panicked contain.Report
	// Traffic counts control bytes; nil means counters of the node's own.
	Traffic *Traffic
	// Shared holds caches that the nodes of one process share; nil means caches
	// of the node's own.
	Shared *Shared
}

// withDefaults returns the configuration with every default filled in.
func (c Config) withDefaults() Config {
	setDefault(&c.FanOut, DefaultFanOut)
	setDefault(&c.Hold, DefaultHold)
	setDefault(&c.UnresponsiveBound, DefaultUnresponsiveBound)
	setDefault(&c.LossBound, DefaultLossBound)
	setDefault(&c.SubtreeLossBound, DefaultSubtreeLossBound)
	setDefault(&c.SuspectBound, DefaultSuspectBound)
	setDefault(&c.CallTimeout, DefaultCallTimeout)
	setDefault(&c.TreeSettle, DefaultTreeSettle)
	setDefault(&c.ReaderLeaseTTL, DefaultReaderLeaseTTL)
	if c.Self.Incarnation == 0 {
		c.Self.Incarnation = uint64(time.Now().UnixNano())
	}
	if c.Self.Service == "" {
		c.Gateway = true
	}
	if c.Events == nil {
		c.Events = NoEvents{}
	}
	if c.Traffic == nil {
		c.Traffic = NewTraffic()
	}
	if c.Shared == nil {
		c.Shared = NewShared()
	}
	return c
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// check returns ErrConfig when the configuration is invalid.
func (c Config) check() error {
	_, controlErr := endpoint.Parse(c.Self.ControlAddress)
	switch {
	case c.Self.ID == "":
		return ErrConfig.New("the node has no identifier")
	case c.Self.Zone == "" || c.Self.Region == "":
		return ErrConfig.New("the node has no zone or no region")
	case controlErr != nil:
		return ErrConfig.Wrap(controlErr, "control address")
	case !meshName.MatchString(c.Mesh):
		return ErrConfig.New("invalid mesh name %q: want at most 64 lower-case letters, digits and dashes", c.Mesh)
	case c.Listener == nil:
		return ErrConfig.New("the node has no listener")
	case (c.TLS == nil) != (c.ClientTLS == nil):
		return ErrConfig.New("TLS and ClientTLS must be set together")
	case c.TLS == nil && !isLoopback(c.Listener.Addr()):
		return ErrConfig.New("without TLS the listener must be on a loopback address, not on %s", c.Listener.Addr())
	}
	return nil
}

var meshName = regexp.MustCompile("^[a-z0-9-]{0,64}$")

// pathPrefix returns the URL path prefix of all messages.
func (c Config) pathPrefix() string { return controlpb.PathPrefix(c.Mesh) }

func isLoopback(address net.Addr) bool {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return true
	}
	return tcp.IP.IsLoopback()
}
