package dataplane

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/levertide/levertide/pkg/balance"
	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/quarantine"
	"github.com/levertide/levertide/pkg/retry"
	"github.com/levertide/levertide/pkg/snapshot"
)

// Config sets up a Plane.
type Config struct {
	// Node is the identifier of this node, Region and Zone its location.
	Node, Region, Zone string
	// Service is the service of this node's worker; empty without a worker.
	Service string
	// WorkerAddress is host:port of the worker; empty without one.
	WorkerAddress string
	// Current returns the snapshot in force; nil while there is none.
	Current func() *snapshot.Snapshot
	// Directory returns the members as this node knows them.
	Directory func() *membership.View
	// Dial opens connections to nodes and to the worker. Nil means net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// PeerTLS is the client side of the connections between nodes; nil means
	// that they are not encrypted.
	PeerTLS *tls.Config
	// Quarantine is the evidence of this node about requests that crash workers; nil means
	// a new table that only this Plane uses.
	Quarantine *quarantine.Table
	// Suspended returns how long the machine was suspended since a given time; nil means
	// suspend.Since, which compares the machine's clocks.
	Suspended func(since time.Time) time.Duration
	// Panicked is called with each panic that was contained where net/http would not say so; nil
	// means that nobody is told. It must not block.
	Panicked contain.Report
	// Observer is notified of events; nil means no notifications.
	Observer Observer
	// Limits bound sizes and times. Zero fields take their defaults.
	Limits Limits
	// Budget bounds the share of retries to each service.
	Budget retry.BudgetOptions
	// NoRetryBudget disables the bounds on retries, for comparative tests: every
	// call starts with the largest allowance at every level, and Budget is
	// ignored. Never set it in production.
	NoRetryBudget bool
	// Backoff spreads retries; zero means retry.DefaultBackoff.
	Backoff retry.Backoff
	// Balance configures the choice of worker; Region and Zone are filled in.
	Balance balance.Options
}

// Limits bound the sizes and times of calls.
type Limits struct {
	// HeaderBytes bounds the head of a request and of an answer. Default 64 KB.
	HeaderBytes int
	// BufferedBody is the size up to which a body of declared length is read
	// completely before a worker is chosen. Longer ones are streamed. Default 16 KB.
	BufferedBody int
	// Grace is how long in total a caller may keep the node waiting while it sends
	// its body, or receives its answer, beyond what MinimumRate allows. Default 20 s.
	Grace time.Duration
	// MinimumRate is the slowest sustained transfer to or from a caller, in bytes
	// per second. Default 1024.
	MinimumRate int64
	// Stall bounds how long a worker may send nothing within its answer. Default 60 s.
	Stall time.Duration
	// Connect bounds the opening of a connection. Default 1 s.
	Connect time.Duration
	// PeerIdle is how long an unused connection to another node is kept. It must
	// be shorter than the other node's PeerServerIdle. Default 60 s.
	PeerIdle time.Duration
	// WorkerIdle is how long an unused connection to the worker is kept. It must
	// be shorter than the worker's own idle timeout. Default 4 s.
	WorkerIdle time.Duration
	// PeerIdleConnections bounds the unused connections to one node. Default 64.
	PeerIdleConnections int
	// CallerIdle is how long an unused connection of a caller is kept. Default 60 s.
	CallerIdle time.Duration
	// PeerServerIdle is how long an unused connection of another node is kept.
	// Default 300 s.
	PeerServerIdle time.Duration
	// DrainNotice is how long a draining node still accepts calls from callers,
	// so that they can switch to another node. Default 2 s.
	DrainNotice time.Duration
	// DrainConnections bounds how long a draining node waits, after its last
	// call, for other nodes and callers to close their connections to it.
	// Default 5 s.
	DrainConnections time.Duration
	// DrainIdle is for how long no other node must have opened a connection
	// before the wait for connections ends. Default 250 ms.
	DrainIdle time.Duration
}

// The defaults of Limits.
const (
	DefaultHeaderBytes         = 64 << 10
	DefaultBufferedBody        = 16 << 10
	DefaultGrace               = 20 * time.Second
	DefaultMinimumRate         = 1024
	DefaultStall               = 60 * time.Second
	DefaultConnect             = time.Second
	DefaultPeerIdle            = 60 * time.Second
	DefaultWorkerIdle          = 4 * time.Second
	DefaultPeerIdleConnections = 64
	DefaultCallerIdle          = 60 * time.Second
	DefaultPeerServerIdle      = 300 * time.Second
	DefaultDrainNotice         = 2 * time.Second
	DefaultDrainConnections    = 5 * time.Second
	DefaultDrainIdle           = 250 * time.Millisecond
)

func (l Limits) withDefaults() Limits {
	defaultTo(&l.HeaderBytes, DefaultHeaderBytes)
	defaultTo(&l.BufferedBody, DefaultBufferedBody)
	defaultTo(&l.Grace, DefaultGrace)
	defaultTo(&l.MinimumRate, DefaultMinimumRate)
	defaultTo(&l.Stall, DefaultStall)
	defaultTo(&l.Connect, DefaultConnect)
	defaultTo(&l.PeerIdle, DefaultPeerIdle)
	defaultTo(&l.WorkerIdle, DefaultWorkerIdle)
	defaultTo(&l.PeerIdleConnections, DefaultPeerIdleConnections)
	defaultTo(&l.CallerIdle, DefaultCallerIdle)
	defaultTo(&l.PeerServerIdle, DefaultPeerServerIdle)
	defaultTo(&l.DrainNotice, DefaultDrainNotice)
	defaultTo(&l.DrainConnections, DefaultDrainConnections)
	defaultTo(&l.DrainIdle, DefaultDrainIdle)
	return l
}

func defaultTo[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
