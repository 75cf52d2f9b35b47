package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/internal/sidecar"
	"github.com/levertide/levertide/pkg/workers"
)

const (
	// drawnPanic is the value of the panics that the soak draws.
	drawnPanic = "drawn by the soak"
	// oddHeader marks the answers that make a node panic which reads them, panickingPrefix begins the ids
	// of the requests that make it panic before they are offered.
	oddHeader       = "X-Odd"
	panickingPrefix = "panicking-"
	// oddAnswerPercent is the percentage of a worker's answers that bear the mark, while it marks some.
	oddAnswerPercent = 30
	// panickingRequests is how many such requests are sent at a time.
	panickingRequests = 8
	// partEndBound is how long a node may take to end after one of its parts has panicked.
	partEndBound = stopBound + 5*time.Second
	// longestOddVersion bounds how long a version that makes nodes panic is the newest.
	longestOddVersion = 500 * time.Millisecond
)

// drawn counts the panics that the soak has a node raise.
type drawn struct {
	raised atomic.Uint64
	// partDue has the next connection to the readiness probe make its part panic; partPanicked is set
	// before that, and lets the node end by itself.
	partDue, partPanicked atomic.Bool

	mu sync.Mutex
	// conns are the connections that the part has accepted.
	conns []net.Conn
}

// accepted remembers a connection of the part, which ends with the process: nobody else ends it once
// the part has panicked.
func (d *drawn) accepted(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns = append(d.conns, conn)
}

// end ends the connections of the part.
func (d *drawn) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, conn := range d.conns {
		_ = conn.Close()
	}
}

// raise panics.
func (d *drawn) raise() {
	d.raised.Add(1)
	panic(drawnPanic)
}

// parentOf is like the function of that name, and panics for some requests.
func (d *drawn) parentOf(id string) (string, bool) {
	if strings.HasPrefix(id, panickingPrefix) {
		d.raise()
	}
	return parentOf(id)
}

// workerTerms is like the function of that name, and panics on a mark.
func (d *drawn) workerTerms(header http.Header) (workers.Terms, error) {
	if header.Get(oddHeader) != "" {
		d.raise()
	}
	return workerTerms(header)
}

// translate is like the function of that name, and panics on odd versions.
func (d *drawn) translate(content []byte) (sidecar.Translation, error) {
	translation, err := translate(content)
	if err == nil && isOdd(content) {
		d.raise()
	}
	return translation, err
}

// hook has an adapter raise the panics.
func (d *drawn) hook(adapter sidecar.Adapter) sidecar.Adapter {
	adapter.Dialect.Parent, adapter.Dialect.WorkerTerms, adapter.Translate = d.parentOf, d.workerTerms, d.translate
	return adapter
}

// oddNetwork is the network of a machine, on which the part that answers at one address panics.
type oddNetwork struct {
	sidecar.Network
	drawn   *drawn
	address string
}

// Listen implements sidecar.Network.
func (n oddNetwork) Listen(address string) (net.Listener, error) {
	opened, err := n.Network.Listen(address)
	if err != nil || address != n.address {
		return opened, err
	}
	return &oddListener{Listener: opened, drawn: n.drawn}, nil
}

// oddListener panics on demand in the part that accepts its connections.
type oddListener struct {
	net.Listener
	drawn *drawn
}

// Accept implements net.Listener.
func (l *oddListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.drawn.accepted(conn)
	}
	if err == nil && l.drawn.partDue.CompareAndSwap(true, false) {
		l.drawn.raise()
	}
	return conn, err
}

// panicInRequests has nodes panic while they read answers of a worker, and before they offer some
// requests.
func (f *faults) panicInRequests(ctx context.Context, m *machine) {
	random := rand.New(rand.NewPCG(f.added.Uint64(), 0))
	duration := shortestAnswering + time.Duration(random.Int64N(int64(longestAnswering-shortestAnswering)))
	f.panicking++
	name := fmt.Sprintf("%s%d-%d", panickingPrefix, f.options.Seed, f.panicking)
	f.options.Log("%s: requests panic for %v", m.id, duration)
	f.running.Go(func() {
		m.oddAnswerPercent.Store(oddAnswerPercent)
		wait(ctx, duration)
		m.oddAnswerPercent.Store(0)
	})
	f.running.Go(func() {
		client := newClient(f.options.Network.Callers(), 2*callBound)
		defer client.CloseIdleConnections()
		for n := range panickingRequests {
			q := message{method: http.MethodPost, path: oncePrefix + name, id: fmt.Sprintf("%s-%d", name, n), body: []byte(name)}
			q.key = keyOf(q.path, q.id)
			f.ledger.recordCall(q.id, false)
			status, body, err := q.send(context.WithoutCancel(ctx), client, f.machines[random.IntN(len(f.machines))])
			if err != nil {
				status = 0
			}
			f.ledger.recordOutcome(q.id, status, body)
			wait(ctx, duration/panickingRequests)
		}
	})
}

// panicInVersion writes a version that makes each node panic which builds it, and then one that does not.
func (f *faults) panicInVersion(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.added.Uint64(), 0))
	f.options.Log("a version that makes nodes panic")
	f.write(func(d *document) {
		d.Version++
		d.Odd = true
		f.ledger.recordOdd(d.Version)
	})
	f.running.Go(func() {
		wait(ctx, time.Duration(random.Int64N(int64(longestOddVersion))))
		f.write(func(d *document) { d.Version++ })
	})
}

// panicInPart has a part of a node panic: the node must end as by a planned stop, and another
// incarnation takes over.
func (f *faults) panicInPart(ctx context.Context, m *machine) {
	panicked := m.currentLife()
	panicked.drawn.partPanicked.Store(true)
	panicked.drawn.partDue.Store(true)
	// The fault may come as the run ends.
	conn, err := f.options.Network.Callers().Dial(context.WithoutCancel(ctx), "tcp", m.probes)
	if err != nil {
		f.recordError(err)
		return
	}
	defer func() { _ = conn.Close() }()
	timer := time.NewTimer(partEndBound)
	defer timer.Stop()
	select {
	case <-panicked.ended:
	case <-timer.C:
		f.ledger.fail("node %s goes on %v after one of its parts was to panic", panicked.id, partEndBound)
	}
	m.endNode(true)
	f.recordError(m.startNode())
}
