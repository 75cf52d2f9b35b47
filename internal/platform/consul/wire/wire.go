// Package wire defines the JSON messages and the names of the part of Consul's
// published HTTP API that levertide uses.
package wire

import "time"

// Headers and query parameters.
const (
	HeaderIndex      = "X-Consul-Index"
	HeaderToken      = "X-Consul-Token"
	HeaderRetryAfter = "Retry-After"

	QueryAcquire    = "acquire"
	QueryCAS        = "cas"
	QueryConsistent = "consistent"
	QueryEnable     = "enable"
	QueryIndex      = "index"
	QueryKeys       = "keys"
	QueryRecurse    = "recurse"
	QueryRelease    = "release"
	QueryWait       = "wait"
)

// Paths. To those that end with a slash, a key, session or service is appended.
const (
	PathKeyValue           = "/v1/kv/"
	PathTransaction        = "/v1/txn"
	PathSessionCreate      = "/v1/session/create"
	PathSessionRenew       = "/v1/session/renew/"
	PathSessionDestroy     = "/v1/session/destroy/"
	PathHealthService      = "/v1/health/service/"
	PathServiceRegister    = "/v1/agent/service/register"
	PathServiceDeregister  = "/v1/agent/service/deregister/"
	PathServiceMaintenance = "/v1/agent/service/maintenance/"
)

// Texts in the body of error responses that tell errors with the same status apart.
const (
	TextNoLeader       = "No cluster leader"
	TextInvalidSession = "invalid session"
	TextRateLimit      = "rate limit exceeded"
)

// MinimumSessionTTL is the shortest time to live of a session.
const MinimumSessionTTL = 10 * time.Second

// KeyValue is one record as reads return it; in JSON, Value is in base64.
type KeyValue struct {
	Key         string
	Value       []byte
	Flags       uint64
	LockIndex   uint64
	CreateIndex uint64
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

// The verbs of operations on keys inside a transaction.
const (
	VerbSet            = "set"
	VerbCAS            = "cas"
	VerbGetOrEmpty     = "get-or-empty"
	VerbCheckIndex     = "check-index"
	VerbCheckNotExists = "check-not-exists"
	VerbDelete         = "delete"
)

// Operation is one step of a transaction.
type Operation struct {
	KV KeyOperation
}

// KeyOperation is a step on one key.
type KeyOperation struct {
	Verb  string
	Key   string
	Value []byte `json:",omitempty"`
	Index uint64 `json:",omitempty"`
}

// TransactionResponse answers a transaction: status 200 with Results, or 409 with Errors.
type TransactionResponse struct {
	Results []TransactionResult
	Errors  []TransactionError
}

// TransactionResult is the outcome of one step.
type TransactionResult struct {
	KV KeyValue
}

// TransactionError says which step failed and why.
type TransactionError struct {
	OpIndex int
	What    string
}

// SessionRequest creates a session.
type SessionRequest struct {
	Name      string
	TTL       string
	LockDelay string
	Behavior  string
}

// BehaviorRelease keeps the keys of an expired session, but releases its locks on them.
const BehaviorRelease = "release"

// SessionResponse names a created session.
type SessionResponse struct {
	ID string
}

// ServiceRegistration registers one machine of a service.
type ServiceRegistration struct {
	ID      string
	Name    string
	Address string
	Port    int
	Meta    map[string]string
}

// ServiceEntry is one machine as the health endpoint lists it.
type ServiceEntry struct {
	Node    Node
	Service AgentService
	Checks  []HealthCheck
}

// Node is the Consul agent that a machine is registered with.
type Node struct {
	Node    string
	Address string
}

// AgentService is the registered machine.
type AgentService struct {
	ID      string
	Service string
	Address string
	Port    int
	Meta    map[string]string
}

// HealthCheck is one check of a machine.
type HealthCheck struct {
	CheckID string
	Status  string
}

// Values of HealthCheck, keys of Meta, and the names that levertided registers with.
const (
	StatusPassing            = "passing"
	StatusCritical           = "critical"
	CheckServiceMaintenance  = "_service_maintenance"
	CheckNodeMaintenance     = "_node_maintenance"
	MetaRegion               = "region"
	MetaZone                 = "zone"
	MetaService              = "service"
	MetaControlAddress       = "control-address"
	MetaCallAddress          = "call-address"
	ServiceName              = "levertided"
	ServiceMaintenanceReason = "maintenance mode is enabled"
)
