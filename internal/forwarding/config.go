package forwarding

import (
	"context"
	"time"

	"github.com/levertide/levertide/internal/httpleg"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/quarantine"
	"github.com/levertide/levertide/pkg/quota"
	"github.com/levertide/levertide/pkg/retry"
	"github.com/levertide/levertide/pkg/routing"
	"github.com/levertide/levertide/pkg/workers"
)

// Configuration is one version made ready for calls. It is immutable.
type Configuration struct {
	Table *routing.Table
	// MaximumBody bounds the body of a request, in bytes; zero sets no bound.
	MaximumBody int64
}

// Config sets up a Plane. All fields but Quarantine, Evidence, Suspended, Observer and
// LinkSpeed must be given.
type Config struct {
	// Node is the identifier of this node, Zone where it is.
	Node, Zone string
	// Service is the service of the worker beside the node, until one registers.
	Service string
	Dialect Dialect
	// Current returns the configuration in force; nil while there is none.
	Current func() *Configuration
	// View returns the nodes as this one knows them.
	View func() *fleet.View
	// Contacts is what this node believes of whether it reaches the others.
	Contacts *fleet.Contacts
	// Workers are the workers beside this node.
	Workers *workers.Registry
	// Dial opens connections to nodes and to the worker.
	Dial httpleg.DialFunc
	// Retries bounds the attempts beyond the first to one service over all
	// nodes; Slack is shared among them.
	Retries retry.WindowOptions
	// LinkSpeed is how much the link of this machine carries each way, in bits a
	// second; zero when it is not known.
	LinkSpeed float64
	// Quarantine is what this node knows of requests that crash workers; nil has it keep
	// a table that no other node tells anything.
	Quarantine *quarantine.Table
	// Evidence is given what this node has found out of such requests, for the other
	// nodes; nil means that nobody is told. It must not block.
	Evidence func(reports []quarantine.Report)
	// Suspended returns for how long the machine was suspended since a moment: no clock of
	// the process counts that time, and callers do. Nil means never.
	Suspended func(since time.Time) time.Duration
	// Quota keeps the limits of tenants over all nodes; nil means that there are none.
	Quota Quota
	// Observer is told how calls ended; nil means that nobody is.
	Observer Observer
}

// Quota keeps the limits of tenants over all nodes together. It is safe for concurrent use.
type Quota interface {
	// Take takes one request from the limit of a tenant. Where the limit does not allow it,
	// it returns false and after which time another request may be admitted.
	Take(ctx context.Context, tenant string, limit quota.Limit) (retryAfter time.Duration, ok bool)
	// Return gives back what a request took that no worker has run and none will.
	Return(tenant string)
}

// Bounds of calls that no operator sets.
const (
	// bufferedBody is the size up to which a body is held whole.
	bufferedBody = 1 << 20
	// expectContinueBody is the size from which on a body is sent to another node only
	// when that node has said that it takes the call.
	expectContinueBody = 8 << 10
	// expectContinueBound is how long the word of the other node is waited for: it always
	// comes, unless the call ends first.
	expectContinueBound = time.Hour
	// parallelTransfers bounds the long bodies that cross to this node at a time.
	// They share its link with all other calls, and so one or two are enough to
	// fill it. A transfer that takes longer than slowTransfer is held up elsewhere,
	// and does not count any more.
	parallelTransfers = 2
	slowTransfer      = 300 * time.Millisecond
	// pacedPart is how much of long bodies a node sends at a time, in bytes, at the pace
	// of its link: what else crosses the link then waits behind one part, and not behind
	// a whole body.
	pacedPart = 4 << 10
	// bufferedAnswer is the size up to which an answer is held whole before it
	// is passed on, so that one that breaks off can be asked for again.
	bufferedAnswer = 256 << 10
	// maximumBodyBytes bounds the memory of all bodies held by this node.
	maximumBodyBytes = 96 << 20

	// dialBound bounds the opening of a connection. It is shorter than the
	// second after which a lost first packet is sent again: another node is
	// tried instead.
	dialBound = 300 * time.Millisecond
	// peerIdle is how long an unused connection to another node is kept, and
	// peerServerIdle how long one from another node is; the latter is longer, so
	// that no request meets a closing connection.
	peerIdle       = 60 * time.Second
	peerServerIdle = 180 * time.Second
	// callerIdle is how long an unused connection of a caller is kept. Operators
	// tell callers a shorter time.
	callerIdle = 120 * time.Second
	// readHeaderTime bounds the arrival of the head of a request.
	readHeaderTime = 10 * time.Second
	// maximumHeaderBytes bounds the head of a request.
	maximumHeaderBytes = 64 << 10
	// maximumPipelined bounds the requests of one caller's connection that are
	// served side by side. Each may hold an answer of up to bufferedAnswer until
	// those before it are written.
	maximumPipelined = 16
	// idleConnections bounds the unused connections to one node.
	idleConnections = 32
	// noIdleConnections has a transport use each connection once.
	noIdleConnections = -1

	// maximumRefusals bounds how many nodes are asked for a slot, one of another zone
	// after that apart.
	maximumRefusals = 4
	// leastWaitShare and mostPatienceShare are the shares of a route's target latency
	// that bound how long a call may wait for a slot, counted from its arrival. What has
	// waited longer without being offered to a worker is refused, while the caller has
	// time to come back. With 0.4 for all, a deployment at its capacity gained 0.018 of a
	// day and one whose calls wait for calls of their own lost 0.04, against 0.2.
	leastWaitShare = 0.2
	mostWaitShare  = 0.4
	// lastAttemptTargets is the time left, in targets of the route, within which a caller
	// that comes back is taken to have its last try: it obeys a time to come back for
	// a third of what is left, and a try after that would have little over one target.
	// With longer waits for all that come back, routes of which the time is six
	// targets lost 0.055 of a day (two overloaded days, each with and without).
	lastAttemptTargets = 2.2
	// lastAttemptWaitShare is the share of the time left that such a caller may wait:
	// less than half, so that one that gets no slot after all hears it while its time
	// is not over. What remains must be enough for lastWorkReserve times the usual
	// work on the route: most answers take less.
	lastAttemptWaitShare = 0.45
	lastWorkReserve      = 2
	// nestedWaitShare is the share of the time left that a call may wait which
	// a worker made for another call: when it fails, the work on that other one
	// is lost, too. nestedRank is the rank of one whose parent is not known: it goes first.
	nestedWaitShare = 0.5
	nestedRank      = -1
	// longestWait bounds the wait on routes that name no target.
	longestWait = 500 * time.Millisecond
	// shallowWait is the wait that a call asks for while other nodes may
	// have a free slot.
	shallowWait = 3 * time.Millisecond

	// defaultRetryAfter is what a refused caller is told to wait when nothing
	// better is known, and shortestRetryAfter the least.
	defaultRetryAfter  = 100 * time.Millisecond
	shortestRetryAfter = 20 * time.Millisecond
	// overloadWaitLeast and overloadWaitSpread, in targets of the route, are from
	// where and over how much callers are spread that were refused for overload,
	// and longestRetryAfter bounds that on routes with a long target or none.
	overloadWaitLeast  = 1.5
	overloadWaitSpread = 1.5
	longestRetryAfter  = 2 * time.Second
)
