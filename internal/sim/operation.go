package sim

import (
	"context"
	"iter"
	"time"

	"github.com/levertide/levertide/pkg/store/memory"
)

// operationStopped is the panic value that ends the coroutine of an operation whose
// process has ended.
type operationStopped struct{}

// operation is one use of the version store by one process. It runs in a
// coroutine that is suspended at each request to the store, so that the
// requests of several processes interleave.
type operation struct {
	name   string
	client *storeClient
	body   func(ctx context.Context) (finish func())

	ctx    context.Context
	cancel context.CancelFunc
	next   func() (memory.Request, bool)
	stop   func()
	yield  func(memory.Request) bool
	finish func()
	// fault is the fault of the request that is being carried out.
	fault    memory.Fault
	requests int
	// settling is set when the last write met a conflict, after which only reads follow.
	settling bool
}

// Delays of requests to the store, and how many an operation may make before it is
// cancelled.
const (
	requestDelay         = 2 * time.Millisecond
	slowRequestDelay     = time.Second
	requestsBeforeGiveUp = 24
)

// storeClient is a process's only connection to the store. Its operations run one
// after the other.
type storeClient struct {
	process *process
	current *operation
	queue   []*operation
}

func newStoreClient(p *process) *storeClient { return &storeClient{process: p} }

// run queues an operation. body runs in a coroutine, and the function that it
// returns runs in the process once the operation has ended.
func (c *storeClient) run(name string, body func(ctx context.Context) (finish func())) {
	c.queue = append(c.queue, &operation{name: name, client: c, body: body})
	c.startNext()
}

// busy reports whether an operation is running.
func (c *storeClient) busy() bool { return c.current != nil }

func (c *storeClient) startNext() {
	if c.current != nil || len(c.queue) == 0 {
		return
	}
	c.current, c.queue = c.queue[0], c.queue[1:]
	c.current.start()
	c.advance()
}

func (o *operation) start() {
	o.ctx, o.cancel = context.WithCancel(context.Background())
	o.next, o.stop = iter.Pull(func(yield func(memory.Request) bool) {
		defer func() {
			stopped := recover()
			if _, expected := stopped.(operationStopped); stopped != nil && !expected {
				panic(stopped)
			}
		}()
		o.yield = yield
		o.finish = o.body(o.ctx)
	})
}

// advance runs the operation up to its next request, or to its end.
func (c *storeClient) advance() {
	op := c.current
	world := c.process.world
	world.running = op
	request, more := op.next()
	world.running = nil
	if more {
		world.trace.record(world.scheduler.now, op.name, string(request.Kind))
		c.process.after(world.requestDelay(), "store "+op.name, func() { c.carryOut(request) })
		return
	}
	op.cancel()
	c.current = nil
	if op.finish != nil {
		op.finish()
	}
	c.startNext()
}

// carryOut draws the fault of a request and resumes the operation. An operation with
// more than requestsBeforeGiveUp requests is cancelled, unless it is settling.
func (c *storeClient) carryOut(request memory.Request) {
	op := c.current
	op.requests++
	op.fault = c.process.world.chooseFault(request)
	if op.requests > requestsBeforeGiveUp && !op.settling {
		op.fault = memory.FaultRefuse
		op.cancel()
	}
	c.advance()
}

// abandon stops the current operation without running its finish function, and drops
// the queued ones.
func (c *storeClient) abandon() {
	c.queue = nil
	if c.current == nil {
		return
	}
	c.current.stop()
	c.current.cancel()
	c.current = nil
}
