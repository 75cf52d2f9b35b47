package model

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Kind names one of the kinds of resource that operators may declare.
type Kind string

// The kinds of resource, spelled as in the "kind" field of a YAML document.
const (
	KindService Kind = "Service"
	KindRoute   Kind = "Route"
	KindSecret  Kind = "Secret"
	KindTenant  Kind = "Tenant"
)

// KindOutOfScope is the kind of the placeholder, in a partial set, for a route that
// the partial set does not hold. Operators cannot declare it.
const KindOutOfScope Kind = "OutOfScope"

// Key identifies one resource inside a file set or a snapshot.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the key as "Kind/name", the form shown to operators.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Less orders keys by kind and then by name, the order of canonical listings.
func (k Key) Less(other Key) bool {
	if k.Kind != other.Kind {
		return k.Kind < other.Kind
	}
	return k.Name < other.Name
}

// Digest is the SHA-256 content address of a canonical encoding.
type Digest [sha256.Size]byte

// DigestOf returns the content address of the given bytes.
func DigestOf(encoded []byte) Digest { return sha256.Sum256(encoded) }

// String returns the digest in lower-case hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Resource is one resource. Exactly one of the bodies is set, and it agrees with
// Key.Kind.
type Resource struct {
	Key     Key      `json:"key"`
	Service *Service `json:"service,omitempty"`
	Route   *Route   `json:"route,omitempty"`
	Secret  *Secret  `json:"secret,omitempty"`
	Tenant  *Tenant  `json:"tenant,omitempty"`
	// OutOfScope is the match of a route that is not held.
	OutOfScope *Match `json:"outOfScope,omitempty"`
}

// Service is a group of interchangeable workers that serve the same requests.
// Workers are not listed here: each node announces the worker beside it.
type Service struct {
	// Calls lists the services that workers of this one call. It limits which
	// resources a node of this service needs to hold. Nil means that any
	// service may be called; an empty list means none.
	Calls []string `json:"calls"`
	// Slots is how many requests one worker runs at the same time.
	Slots int `json:"slots"`
	// Connections is how many connections one worker accepts.
	Connections int `json:"connections"`
	// Queue is how many requests may wait for a slot at the worker's node.
	Queue int `json:"queue"`
	// SlowStart is how long a worker that has just started takes to reach its
	// full share of requests. Zero disables slow start.
	SlowStart time.Duration `json:"slowStart"`
	// Timeout bounds one request, unless its route has its own bound.
	// Zero means DefaultTimeout.
	Timeout time.Duration `json:"timeout"`
	// HealthPath is the path at which a worker reports whether it is healthy; empty
	// when it does not.
	HealthPath string `json:"healthPath,omitempty"`
}

// DefaultTimeout bounds a request when neither route nor service sets a bound.
const DefaultTimeout = 30 * time.Second

// Repeatable says which requests of a route may be sent to a worker again
// after an attempt whose outcome is not known.
type Repeatable string

// The values of Repeatable.
const (
	// RepeatSafeMethods allows repetition for GET, HEAD, OPTIONS and TRACE. It is the default.
	RepeatSafeMethods Repeatable = "safe-methods"
	// RepeatAlways allows repetition for every method.
	RepeatAlways Repeatable = "always"
	// RepeatNever allows repetition for no method.
	RepeatNever Repeatable = "never"
)

// Priority orders requests when a worker's node must shed load.
type Priority string

// The values of Priority, from the first to be shed to the last.
const (
	PriorityLow    Priority = "low"
	PriorityNormal Priority = "normal"
	PriorityHigh   Priority = "high"
)

// Route sends the requests that it matches to one service.
type Route struct {
	Match      Match         `json:"match"`
	Service    string        `json:"service"`
	Repeatable Repeatable    `json:"repeatable"`
	Priority   Priority      `json:"priority"`
	Timeout    time.Duration `json:"timeout"`
	// Credential, when set, is added to each request before it reaches the worker.
	Credential *Credential `json:"credential,omitempty"`
	// Backends divides the requests among services by weight. When it is empty,
	// Service takes them all; otherwise Service is the first of them.
	Backends []Backend `json:"backends,omitempty"`
	// Attempts bounds how many workers one request is sent to; with zero only the
	// retry budget bounds it.
	Attempts int `json:"attempts,omitempty"`
	// Rank orders routes where requests wait for a slot: the lowest goes first.
	Rank int `json:"rank,omitempty"`
	// TargetLatency is the time within which an answer has the highest value for the
	// caller; zero when it is not set.
	TargetLatency time.Duration `json:"targetLatency,omitempty"`
	// Public makes the route accept requests without a tenant's key.
	Public bool `json:"public,omitempty"`
}

// Backend is one of the services that share the requests of a route.
type Backend struct {
	Service string `json:"service"`
	// Weight is the share of the service, relative to the other weights.
	Weight int `json:"weight"`
}

// Match defines which requests a route takes. A request must satisfy every part that is set.
type Match struct {
	// Host is an exact host name, "*.suffix" for any sub-domain, or "*" for any host.
	Host string `json:"host"`
	// Path is an exact path. Exactly one of Path, PathPrefix and PathStart is set.
	Path string `json:"path,omitempty"`
	// PathPrefix is a prefix that ends at a segment boundary: it takes the path itself and
	// all paths below it.
	PathPrefix string `json:"pathPrefix,omitempty"`
	// PathStart is the beginning of a path, up to and including a slash: it takes the paths
	// below, and not the one without that slash.
	PathStart string `json:"pathStart,omitempty"`
	// Methods lists the matching methods; empty means every method.
	Methods []string `json:"methods,omitempty"`
}

// Credential names the secret whose value is sent to the worker in a header.
type Credential struct {
	Secret string `json:"secret"`
	Header string `json:"header"`
}

// Secret is a value that must never appear in logs, errors, metrics or the
// output of commands.
type Secret struct {
	Value string `json:"value"`
}

// String hides the value, so that a secret printed by mistake stays hidden.
func (Secret) String() string { return "[redacted]" }

// GoString hides the value from the %#v verb.
func (Secret) GoString() string { return "model.Secret{[redacted]}" }
