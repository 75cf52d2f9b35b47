package telemetry

import (
	"context"
	"io"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// queuedLines bounds the lines that wait for a slow reader of the log.
	queuedLines = 1024
	// dropReportInterval is how often dropped lines are reported.
	dropReportInterval = time.Second
)

// Queue buffers the lines of a log, so that a slow reader never blocks the node:
// when too many lines wait, further ones are dropped and counted. It is a suture
// service, and an io.Writer.
type Queue struct {
	writer  io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	// onDropped is called with the number of lines dropped since the last call.
	onDropped func(lines uint64)
}

// NewQueue returns a queue in front of a writer.
func NewQueue(writer io.Writer) *Queue {
	return &Queue{writer: writer, lines: make(chan []byte, queuedLines), onDropped: func(uint64) {}}
}

// OnDropped sets the function that is called with the number of dropped lines. Call it before
// Serve.
func (q *Queue) OnDropped(report func(lines uint64)) { q.onDropped = report }

// Write implements io.Writer. It never blocks and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- slices.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Drop counts a line that was left out for another reason.
func (q *Queue) Drop() { q.dropped.Add(1) }

// String names the service in events.
func (q *Queue) String() string { return "log" }

// Serve writes lines until the context ends, and then those that wait.
func (q *Queue) Serve(ctx context.Context) error {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-q.lines:
			_, _ = q.writer.Write(line)
		case <-ticker.C:
			if lines := q.dropped.Swap(0); lines > 0 {
				q.onDropped(lines)
			}
		case <-ctx.Done():
			q.Flush()
			return ctx.Err()
		}
	}
}

// FlushWithin writes the lines that wait now, for as long as given at most: whoever reads them may read
// no more.
func (q *Queue) FlushWithin(longest time.Duration) {
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		q.Flush()
	}()
	select {
	case <-flushed:
	case <-time.After(longest):
	}
}

// Flush writes the lines that wait now.
func (q *Queue) Flush() {
	for {
		select {
		case line := <-q.lines:
			_, _ = q.writer.Write(line)
		default:
			return
		}
	}
}
