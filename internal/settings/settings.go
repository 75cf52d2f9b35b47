package settings

import (
	"net/netip"
	"time"
)

// Settings holds the settings of one levertided process. The key tag is the name
// of the setting in flags, environment and file.
type Settings struct {
	// NodeID names the node; no two live nodes share one.
	NodeID string `key:"node-id" validate:"required,identifier"`
	// Mesh names the system that the node belongs to; messages from nodes of
	// another mesh are ignored. The empty name is valid.
	Mesh   string `key:"mesh" validate:"omitempty,mesh"`
	Region string `key:"region" validate:"required,identifier"`
	Zone   string `key:"zone" validate:"required,identifier"`
	// Service is the service of the worker beside the node. It is empty for a
	// node without a worker.
	Service string `key:"service" validate:"omitempty,identifier"`
	// WorkerAddress is IP:port of the worker beside the node.
	WorkerAddress string `key:"worker-address" validate:"required_with=Service,omitempty,endpoint"`
	// Gateway makes the node hold every resource, whichever services its own
	// service calls.
	Gateway bool `key:"gateway"`

	// Mode says who decides the configuration; see ModeStandalone and ModeHosted.
	Mode string `key:"mode" validate:"oneof=standalone hosted"`
	// PrivateNetwork says that every client that can reach the listeners is
	// trusted, so that listeners on other than loopback addresses need no TLS.
	PrivateNetwork bool `key:"private-network"`

	// CallerAddress, CallAddress, ControlAddress and AdminAddress are IP:port
	// of the four listeners: callers, calls from other nodes, control messages,
	// and administration.
	CallerAddress  string `key:"caller-address" validate:"listener"`
	CallAddress    string `key:"call-address" validate:"listener"`
	ControlAddress string `key:"control-address" validate:"listener"`
	AdminAddress   string `key:"admin-address" validate:"listener"`
	// ReadinessAddress is the listener for readiness checks and MetricsAddress
	// the one for metrics, in hosted mode; empty for none.
	ReadinessAddress string `key:"readiness-address" validate:"omitempty,listener"`
	MetricsAddress   string `key:"metrics-address" validate:"omitempty,listener"`
	// AdvertiseCallAddress and AdvertiseControlAddress are what other nodes
	// connect to, when that is not the listener's own address.
	AdvertiseCallAddress    string `key:"advertise-call-address" validate:"omitempty,endpoint"`
	AdvertiseControlAddress string `key:"advertise-control-address" validate:"omitempty,endpoint"`
	// SourceAddress is the local IP of outgoing connections; empty leaves the
	// choice to the operating system.
	SourceAddress string `key:"source-address" validate:"omitempty,ip"`

	// Seeds lists control addresses to ask for members when neither the store
	// nor the list of machines answers.
	Seeds []string `key:"seeds" validate:"dive,endpoint"`
	// StoreAddresses lists the platform's store servers, as URL or IP:port.
	StoreAddresses []string `key:"store-address" validate:"required,min=1,dive,store"`

	// StoreToken is sent to the store with each request when it is not empty. It
	// comes from the environment only, so that it shows in no list of processes.
	StoreToken Token `key:"store-token"`

	// FanOut is how many children a relay has; zero works it out from the byte budget.
	FanOut int `key:"fan-out" validate:"min=0,max=256"`
	// Hold is how long a relay holds back the answer to a watch.
	Hold time.Duration `key:"hold" validate:"min=100ms,max=60s"`
	// UnresponsiveBound is how long unresponsive nodes may hold up a rollout.
	UnresponsiveBound time.Duration `key:"silent-bound" validate:"min=100ms,max=60s"`
	// DrainBound is how long a planned stop waits for calls in flight.
	DrainBound time.Duration `key:"drain-bound" validate:"min=0s,max=1h"`
	// MaxResources is the largest version that the node accepts.
	MaxResources int `key:"max-resources" validate:"min=1,max=1000000"`

	// TLSCA, TLSCert and TLSKey are PEM files; all are given or none.
	TLSCA   string `key:"tls-ca" validate:"required_with=TLSCert TLSKey,omitempty,file"`
	TLSCert string `key:"tls-cert" validate:"required_with=TLSCA TLSKey,omitempty,file"`
	TLSKey  string `key:"tls-key" validate:"required_with=TLSCA TLSCert,omitempty,file"`

	// HeartbeatInterval is the interval at which a worker sends heartbeats, in hosted mode.
	HeartbeatInterval time.Duration `key:"heartbeat-interval" validate:"min=100ms,max=60s"`
	// RetryRatio, RetrySlack and RetryWindow bound the retries to one service
	// over all nodes, in hosted mode: in each window at most RetryRatio times the
	// number of requests, plus RetrySlack.
	RetryRatio float64 `key:"retry-ratio" validate:"min=0,max=1"`
	RetrySlack float64 `key:"retry-slack" validate:"min=0,max=1000000"`
	// LiftQuarantine lists fingerprints of requests, in hexadecimal digits, that are run
	// again although they were found to crash workers.
	LiftQuarantine []string      `key:"lift-quarantine" validate:"dive,hexadecimal,len=32"`
	RetryWindow    time.Duration `key:"retry-window" validate:"min=100ms,max=10m"`
	// QuotaOverage and QuotaSlack bound by how much all nodes together may exceed the limit of
	// a tenant in a window, in hosted mode: by a share of the limit, plus a number of requests.
	QuotaOverage float64 `key:"quota-overage" validate:"min=0,max=1"`
	QuotaSlack   float64 `key:"quota-slack" validate:"min=0,max=1000000"`
	// FirstStart reports that the whole mesh starts for the first time: no node has
	// had a previous incarnation. Hosted mode only.
	FirstStart bool `key:"first-start"`
	// LinkSpeed is the bandwidth of this machine's network link in each direction, in
	// Mbit/s; zero when it is not known.
	LinkSpeed float64 `key:"link-speed" validate:"min=0,max=1000000000"`
	// Capacity is the machine's capacity relative to that of the others; zero when
	// it is not known.
	Capacity float64 `key:"capacity" validate:"min=0,max=1000000000"`
	// StopNotice is how long a stopping node still accepts calls, so that callers
	// and other nodes can switch to other nodes, in hosted mode.
	StopNotice time.Duration `key:"stop-notice" validate:"min=0s,max=10m"`
	// MemoryLimit is the memory, in MiB, within which the garbage collector keeps the
	// process; zero leaves the limit to the collector's defaults.
	MemoryLimit int `key:"memory-limit" validate:"min=0,max=1048576"`
	// DescriptorLimit bounds the open files and sockets of the process in hosted mode, beside the limit
	// of the operating system, which holds alone when it is zero.
	DescriptorLimit int `key:"descriptor-limit" validate:"min=0,max=16777216"`

	// LogLevel is the lowest level of events that are written.
	LogLevel string `key:"log-level" validate:"oneof=debug info warn error"`
}

// The values of Settings.Mode.
const (
	// ModeStandalone: operators apply file sets, and nodes agree on versions.
	ModeStandalone = "standalone"
	// ModeHosted: a platform keeps one accepted document in its store.
	ModeHosted = "hosted"
)

// Token is a secret that must not show in output.
type Token string

// String hides the token.
func (Token) String() string { return "[redacted]" }

// GoString hides the token from the %#v verb.
func (Token) GoString() string { return "settings.Token([redacted])" }

// TLSEnabled reports whether the node speaks mutual TLS to other nodes.
func (s Settings) TLSEnabled() bool { return s.TLSCA != "" }

// Source returns the local address of outgoing connections; the zero Addr leaves
// the choice to the operating system.
func (s Settings) Source() netip.Addr {
	address, err := netip.ParseAddr(s.SourceAddress)
	if err != nil {
		return netip.Addr{}
	}
	return address
}
