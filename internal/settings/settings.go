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

	// CallerAddress, CallAddress, ControlAddress and AdminAddress are IP:port
	// of the four listeners: callers, calls from other nodes, control messages,
	// and administration.
	CallerAddress  string `key:"caller-address" validate:"listener"`
	CallAddress    string `key:"call-address" validate:"listener"`
	ControlAddress string `key:"control-address" validate:"listener"`
	AdminAddress   string `key:"admin-address" validate:"listener"`
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
	// SilentBound is how long silent nodes may hold up a rollout.
	SilentBound time.Duration `key:"silent-bound" validate:"min=100ms,max=60s"`
	// DrainBound is how long a planned stop waits for calls in flight.
	DrainBound time.Duration `key:"drain-bound" validate:"min=0s,max=1h"`
	// MaxResources is the largest version that the node accepts.
	MaxResources int `key:"max-resources" validate:"min=1,max=1000000"`

	// TLSCA, TLSCert and TLSKey are PEM files; all are given or none.
	TLSCA   string `key:"tls-ca" validate:"required_with=TLSCert TLSKey,omitempty,file"`
	TLSCert string `key:"tls-cert" validate:"required_with=TLSCA TLSKey,omitempty,file"`
	TLSKey  string `key:"tls-key" validate:"required_with=TLSCA TLSCert,omitempty,file"`

	// LogLevel is the lowest level of events that are written.
	LogLevel string `key:"log-level" validate:"oneof=debug info warn error"`
}

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
