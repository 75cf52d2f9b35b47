package forwarding

import (
	"context"
	"time"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/internal/intake"
	"github.com/levertide/levertide/internal/pipeline"
	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/quarantine"
	"github.com/levertide/levertide/pkg/quota"
	"github.com/levertide/levertide/pkg/retry"
	"github.com/levertide/levertide/pkg/routing"
	"github.com/levertide/levertide/pkg/workers"
)

// Configuration is one configuration version prepared for serving calls. It is immutable.
type Configuration struct {
	Table *routing.Table
	// MaximumBody bounds the body of a request, in bytes; zero sets no bound.
	MaximumBody int64
	// Callers are the limits of callers; zero stands for those that hold without a configuration.
	Callers pipeline.Limits
}

// Config sets up a Plane. All fields but Quarantine, Evidence, Leaving, Suspended, Intake,
// IntakeReached, Panicked, Observer and LinkSpeed must be given.
type Config struct {
	// Node is the identifier of this node, Zone the zone it is in.
	Node, Zone string
	// Service is the service of the worker beside the node, until one registers.
	Service string
	Dialect Dialect
	// Current returns the configuration in force, or nil while there is none.
	Current func() *Configuration
	// View returns the nodes as this one knows them.
	View func() *fleet.View
	// Contacts records which other nodes this one can reach.
	Contacts *fleet.Contacts
	// Workers are the workers beside this node.
	Workers *workers.Registry
	// Dial opens connections to nodes and to the worker.
	Dial httpconn.DialFunc
	// Retries bounds the attempts beyond the first to one service over all
	// nodes; Slack is shared among them.
	Retries retry.WindowOptions
	// LinkSpeed is the capacity of this machine's link in each direction, in bits per second;
	// zero when it is not known.
	LinkSpeed float64
	// Quarantine holds what this node knows of crashing requests; nil makes it use a table that
	// receives nothing from other nodes.
	Quarantine *quarantine.Table
	// Evidence is called with what this node has found out about crashing requests, for the other
	// nodes; nil means that nothing is reported. It must not block.
	Evidence func(reports []quarantine.Report)
	// Leaving is called when a worker beside this node states in an answer that it leaves; nil
	// means that nobody is told. It must not block.
	Leaving func(incarnation workers.Incarnation)
	// Suspended returns for how long the machine has been suspended since the given time: no
	// clock of the process counts that time, but those of callers do. Nil means never.
	Suspended func(since time.Time) time.Duration
	// Quota enforces the limits of tenants over all nodes; nil means that there are no limits.
	Quota Quota
	// Intake bounds what clients can make the node hold; zero sets no bounds.
	Intake intake.Plan
	// IntakeReached is called when a client is closed or refused at a bound; nil means that nobody is
	// told. It must not block.
	IntakeReached func(pool string, bound intake.Bound)
	// Panicked is called with each panic that was contained; nil means that nobody is told. It must
	// not block.
	Panicked contain.Report
	// Observer is notified how calls ended; nil means no notifications.
	Observer Observer
}

// Quota enforces the limits of tenants over all nodes together. It is safe for concurrent use.
type Quota interface {
	// Take counts one request against the limit of a tenant. Where the limit does not allow it,
	// it returns false and after which time another request may be admitted.
	Take(ctx context.Context, tenant string, limit quota.Limit) (retryAfter time.Duration, ok bool)
	// Return gives back what a request took from the limit if no worker has run the request and
	// none will.
	Return(tenant string)
}

// Limits of calls that operators cannot set.
const (
	// bufferedBody is the size in bytes up to which a body is buffered completely.
	bufferedBody = 1 << 20
	// expectContinueBody is the size in bytes from which on a body is sent to another node only
	// after that node has accepted the call (Expect: 100-continue).
	expectContinueBody = 8 << 10
	// expectContinueBound is how long to wait for the other node's 100-continue response: it
	// always comes, unless the call ends first.
	expectContinueBound = time.Hour
	// parallelTransfers bounds the long bodies that are received from other nodes at a time. They
	// share this node's link with all other calls, and one or two are enough to fill it. A
	// transfer that takes longer than slowTransfer is held up elsewhere, and is no longer
	// counted.
	parallelTransfers = 2
	slowTransfer      = 300 * time.Millisecond
	// pacedPart is how much of a long body a node sends at a time, in bytes, at the rate of its
	// link: other traffic on the link then waits behind one part, and not behind a complete body.
	pacedPart = 4 << 10
	// bufferedAnswer is the size in bytes up to which an answer is buffered completely before it
	// is forwarded, so that the call can be attempted again if the answer is truncated.
	bufferedAnswer = 256 << 10
	// streamBytes is what a call holds whose answer is forwarded as it arrives: a buffer, and what
	// the operating system holds of the two connections.
	streamBytes = 96 << 10

	// dialBound bounds the opening of a connection. It is shorter than the second after which TCP
	// retransmits a lost first packet: another node is tried instead.
	dialBound = 300 * time.Millisecond
	// peerIdle is how long an unused connection to another node is kept, and peerServerIdle how
	// long one from another node is; the latter is longer, so that no request is sent on a
	// connection that is being closed.
	peerIdle       = 60 * time.Second
	peerServerIdle = 180 * time.Second
	// callerIdle is how long an unused connection of a caller is kept where the operators do not
	// say.
	callerIdle = 120 * time.Second
	// readHeaderTime bounds the time to read the head of a request, where the operators do not say.
	readHeaderTime = 10 * time.Second
	// maximumHeaderBytes bounds the size of the head of a request, where the operators do not say.
	maximumHeaderBytes = 64 << 10
	// maximumPipelined bounds the requests on one caller's connection that are served
	// concurrently. Each may buffer an answer of up to bufferedAnswer bytes until those before it
	// are written.
	maximumPipelined = 16
	// idleConnections bounds the unused connections to one node.
	idleConnections = 32
	// noIdleConnections makes a transport use each connection once.
	noIdleConnections = -1

	// maximumRefusals bounds how many nodes a call is offered to while each refuses it for want
	// of a free slot; one more offer may go to another zone after that.
	maximumRefusals = 4
	// leastWaitShare and mostWaitShare are the shares of a route's target latency that bound how
	// long a call may wait for a slot, counted from its arrival. A call that has waited longer
	// without being offered to a worker is refused while the caller still has time for a retry.
	// With 0.4 for both, a deployment at its capacity gained 0.018 of a day's value and one whose
	// calls wait for nested calls lost 0.04, compared with a share of 0.2.
	leastWaitShare = 0.2
	mostWaitShare  = 0.4
	// lastAttemptTargets is the time left, in targets of the route, within which the attempt of a
	// retrying caller is taken to be its last: a caller obeys a retry time of up to a third of
	// what is left, and an attempt after that would have little over one target. With longer
	// waits for all retried calls, routes whose timeout is six targets lost 0.055 of a day's
	// value (two overloaded days, each with and without).
	lastAttemptTargets = 2.2
	// lastAttemptWaitShare is the share of the time left that a call on its last attempt may
	// wait: less than half, so that a caller whose call gets no slot after all is refused before
	// its time is over. The time that remains must be enough for lastWorkReserve times the usual
	// work on the route: most answers take less.
	lastAttemptWaitShare = 0.45
	lastWorkReserve      = 2
	// nestedWaitShare is the share of the time left that a nested call, which a worker made for
	// another call, may wait: when it fails, the work on the other call is lost, too. nestedRank
	// is the rank of a nested call whose parent is not known: it goes first.
	nestedWaitShare = 0.5
	nestedRank      = -1
	// longestWait bounds the wait on routes without a target latency.
	longestWait = 500 * time.Millisecond
	// shallowWait is the wait that a call requests while other nodes may have a free slot.
	shallowWait = 3 * time.Millisecond

	// defaultRetryAfter is the retry time reported to a refused caller when nothing better is
	// known, and shortestRetryAfter the shortest one. fullRetryAfter is for callers for whose body
	// there was no memory: clients that keep the node waiting have given up theirs by then.
	defaultRetryAfter  = 100 * time.Millisecond
	fullRetryAfter     = 250 * time.Millisecond
	shortestRetryAfter = 20 * time.Millisecond
	// overloadWaitLeast and overloadWaitSpread, in targets of the route, are the start and the
	// width of the range over which the retries of callers refused for overload are spread, and
	// longestRetryAfter bounds the retry time on routes with a long target or none.
	overloadWaitLeast  = 1.5
	overloadWaitSpread = 1.5
	longestRetryAfter  = 2 * time.Second
)
