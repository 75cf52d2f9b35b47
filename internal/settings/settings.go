package settings

import (
	"net/netip"
	"time"
)

// Settings is everything that one levertided process is told at start. The key
// tag is the name of the setting in flags, environment and file.
type Settings struct {
	// NodeID names the node; no two live nodes share one.
	NodeID string `key:"node-id" validate:"required,identifier"`
	// Mesh names the system that the node belongs to; nodes of another mesh are
	// not listened to. Empty is a name too.
	Mesh   string `key:"mesh" validate:"omitempty,mesh"`
	Region string `key:"region" validate:"required,identifier"`
	Zone   string `key:"zone" validate:"required,identifier"`
	// Service is the service that the worker beside the node answers for. It is
	// empty for a node without a worker.
	Service string `key:"service" validate:"omitempty,identifier"`
	// WorkerAddress is IP:port of the worker beside the node.
	WorkerAddress string `key:"worker-address" validate:"required_with=Service,omitempty,endpoint"`
	// Gateway makes the node hold every resource, whatever its service calls.
	Gateway bool `key:"gateway"`

	// Mode says who decides the configuration; see ModeStandalone and ModeHosted.
	Mode string `key:"mode" validate:"oneof=standalone hosted"`
	// PrivateNetwork says that whoever reaches the listeners may be trusted, so
	// that they need no TLS off loopback.
	PrivateNetwork bool `key:"private-network"`

	// CallerAddress, CallAddress, ControlAddress and AdminAddress are IP:port
	// of the four listeners: callers, calls from other nodes, control messages,
	// and administration.
	CallerAddress  string `key:"caller-address" validate:"listener"`
	CallAddress    string `key:"call-address" validate:"listener"`
	ControlAddress string `key:"control-address" validate:"listener"`
	AdminAddress   string `key:"admin-address" validate:"listener"`
	// ReadinessAddress answers whether callers may come, and MetricsAddress tells
	// the metrics, in hosted mode. Empty is none.
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
	// UnresponsiveBound is how long silent nodes may hold up a rollout.
	UnresponsiveBound time.Duration `key:"silent-bound" validate:"min=100ms,max=60s"`
	// DrainBound is how long a planned stop waits for calls in flight.
	DrainBound time.Duration `key:"drain-bound" validate:"min=0s,max=1h"`
	// MaxResources is the largest version that the node accepts.
	MaxResources int `key:"max-resources" validate:"min=1,max=1000000"`

	// TLSCA, TLSCert and TLSKey are PEM files; all are given or none.
	TLSCA   string `key:"tls-ca" validate:"required_with=TLSCert TLSKey,omitempty,file"`
	TLSCert string `key:"tls-cert" validate:"required_with=TLSCA TLSKey,omitempty,file"`
	TLSKey  string `key:"tls-key" validate:"required_with=TLSCA TLSCert,omitempty,file"`

	// HeartbeatInterval is how often a worker tells of itself, in hosted mode.
	HeartbeatInterval time.Duration `key:"heartbeat-interval" validate:"min=100ms,max=60s"`
	// RetryRatio, RetrySlack and RetryWindow bound the retries to one service
	// over all nodes, in hosted mode: in each window no more than the ratio of
	// the requests and the slack.
	RetryRatio float64 `key:"retry-ratio" validate:"min=0,max=1"`
	RetrySlack float64 `key:"retry-slack" validate:"min=0,max=1000000"`
	// LiftQuarantine are fingerprints of requests, in hexadecimal digits, that are run
	// again although they were found to crash workers.
	LiftQuarantine []string      `key:"lift-quarantine" validate:"dive,hexadecimal,len=32"`
	RetryWindow    time.Duration `key:"retry-window" validate:"min=100ms,max=10m"`
	// QuotaOverage and QuotaSlack are by how much all nodes together may exceed the limit of
	// a tenant in a window, in hosted mode: by a share of it, and by a number of requests.
	QuotaOverage float64 `key:"quota-overage" validate:"min=0,max=1"`
	QuotaSlack   float64 `key:"quota-slack" validate:"min=0,max=1000000"`
	// FirstStart tells that the whole mesh starts for the first time: no node has
	// had a former life.
	FirstStart bool `key:"first-start"`
	// LinkSpeed is how much the link of this machine carries each way, in Mbit/s; zero
	// when it is not known.
	LinkSpeed float64 `key:"link-speed" validate:"min=0,max=1000000000"`
	// Capacity tells how much the machine can carry, compared with others; zero
	// when it is not known.
	Capacity float64 `key:"capacity" validate:"min=0,max=1000000000"`
	// StopNotice is how long a node that stops still takes calls, so that callers
	// and other nodes can turn elsewhere, in hosted mode.
	StopNotice time.Duration `key:"stop-notice" validate:"min=0s,max=10m"`
	// MemoryLimit is the memory that the process may take, in MiB; zero sets no
	// limit of its own.
	MemoryLimit int `key:"memory-limit" validate:"min=0,max=1048576"`

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

// Source returns the local address of outgoing connections; it is not valid
// when the operating system is to choose.
func (s Settings) Source() netip.Addr {
	address, err := netip.ParseAddr(s.SourceAddress)
	if err != nil {
		return netip.Addr{}
	}
	return address
}
