package soak

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/internal/settings"
	"github.com/levertide/levertide/internal/sidecar"
	"github.com/levertide/levertide/internal/telemetry"
)

const (
	// keptLines is how many of the last lines of a node's log are kept, keptPanics how many on panics.
	keptLines  = 12
	keptPanics = 4
	// panicEvent marks the lines on panics.
	panicEvent = `"event":113,`
)

// life is one incarnation of a machine's node.
type life struct {
	id   string
	node *sidecar.Node
	stop context.CancelFunc
	// ended is closed once Run has returned err.
	ended chan struct{}
	err   error
	// ending is set before the soak ends the node.
	ending atomic.Bool
	// crashed is set when it ends the node like a crash.
	crashed atomic.Bool
	log     logTail
	ledger  *ledger
	// drawn counts the panics that the soak has the node raise.
	drawn drawn
	// told is set with the first violation for an unexpected panic.
	told sync.Once
}

// newLife starts a node whose log is kept, and whose end and panics the ledger is told.
func newLife(s settings.Settings, adapter sidecar.Adapter, network sidecar.Network, recorder *ledger) (*life, error) {
	l := &life{id: s.NodeID, ended: make(chan struct{}), ledger: recorder}
	queue := telemetry.NewQueue(&l.log)
	node, err := sidecar.New(s, l.drawn.hook(adapter), oddNetwork{Network: network, drawn: &l.drawn, address: s.ReadinessAddress}, telemetry.NewLog(queue, s.NodeID, telemetry.LevelWarning), queue)
	if err != nil {
		return nil, err
	}
	var ctx context.Context
	ctx, l.stop = context.WithCancel(context.Background())
	l.node = node
	go func() {
		l.err = node.Run(ctx, func() string { return "soak" })
		queue.Flush()
		l.drawn.end()
		l.checkEnd()
		close(l.ended)
	}()
	return l, nil
}

// end ends the node, either by a planned stop or as a crash would.
func (l *life) end(planned bool) {
	l.crashed.Store(!planned)
	l.ending.Store(true)
	if planned {
		l.stop()
	} else {
		l.node.Abort()
	}
	<-l.ended
	l.stop()
}

// check records a violation for a panic of the node that the soak has not drawn, once its log tells of
// it or has ended.
func (l *life) check(logEnded bool) {
	contained, raised := l.contained(), l.drawn.raised.Load()
	if contained > raised && (logEnded || l.log.panics() != "") {
		l.told.Do(func() {
			l.ledger.fail("node %s has contained %d panics, the soak has drawn %d:\n%s", l.id, contained, raised, l.log.panics())
		})
	}
}

// contained returns how many panics the node has contained.
func (l *life) contained() uint64 {
	var sum uint64
	for _, count := range l.node.Panics() {
		sum += count
	}
	return sum
}

// checkEnd records a violation unless the node has ended as the soak has it end.
func (l *life) checkEnd() {
	l.check(true)
	panicked := errorx.IsOfType(l.err, sidecar.ErrPanicked) && l.drawn.partPanicked.Load()
	switch {
	case panicked:
	case !l.ending.Load():
		l.ledger.fail("node %s has ended by itself: %v\n%s", l.id, l.err, &l.log)
	case l.err != nil:
		l.ledger.fail("node %s was ended, with %v\n%s", l.id, l.err, &l.log)
	}
	l.ledger.countPanics(int(l.drawn.raised.Load()))
	if contained, raised := l.contained(), l.drawn.raised.Load(); !l.crashed.Load() && contained < raised {
		l.ledger.fail("node %s has reported %d panics of %d that the soak has drawn", l.id, contained, raised)
	}
}

// logTail keeps the end of a log.
type logTail struct {
	mu            sync.Mutex
	last, onPanic []string
}

// Write implements io.Writer. It takes whole lines.
func (t *logTail) Write(line []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if strings.Contains(string(line), panicEvent) && !strings.Contains(string(line), drawnPanic) && len(t.onPanic) < keptPanics {
		t.onPanic = append(t.onPanic, string(line))
	}
	if t.last = append(t.last, string(line)); len(t.last) > keptLines {
		t.last = t.last[1:]
	}
	return len(line), nil
}

// String returns the last lines.
func (t *logTail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join(t.last, "")
}

// panics returns the first lines on panics that the soak has not drawn.
func (t *logTail) panics() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join(t.onPanic, "")
}
