package harness

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/lab/observe"
)

// Bound limits how long a test waits for something that must happen. It is far
// above the usual time, to allow for busy machines.
const Bound = 60 * time.Second

// nodeEvent is one event line and the name of the node that wrote it.
type nodeEvent struct {
	node  string
	event observe.Event
}

// Events records every event line of every node in order of arrival.
type Events struct {
	t       *testing.T
	mutex   sync.Mutex
	records []nodeEvent
	raw     []string
	changed chan struct{}
}

func newEvents(t *testing.T) *Events { return &Events{t: t, changed: make(chan struct{})} }

func (e *Events) observeLine(node string, line []byte) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.raw = append(e.raw, node+" "+string(line))
	if event, ok := observe.ParseEvent(line); ok {
		e.records = append(e.records, nodeEvent{node: node, event: event})
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

// Mark returns the current position in the sequence of events; see AwaitAfter and Count.
func (e *Events) Mark() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.records)
}

// Await returns the last matching event of a node, or of any node when node is
// empty. It waits if there is none yet.
func (e *Events) Await(node, description string, matches func(observe.Event) bool) observe.Event {
	e.t.Helper()
	return e.AwaitAfter(0, node, description, matches)
}

// AwaitAfter is like Await but considers only events after a mark.
func (e *Events) AwaitAfter(mark int, node, description string, matches func(observe.Event) bool) observe.Event {
	e.t.Helper()
	deadline := time.After(Bound)
	for {
		found, ok, changed := e.last(mark, node, matches)
		if ok {
			return found
		}
		select {
		case <-changed:
		case <-deadline:
			e.t.Fatalf("%s: no event: %s", node, description)
		}
	}
}

func (e *Events) last(mark int, node string, matches func(observe.Event) bool) (observe.Event, bool, <-chan struct{}) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for index := len(e.records) - 1; index >= mark; index-- {
		record := e.records[index]
		if (node == "" || record.node == node) && matches(record.event) {
			return record.event, true, nil
		}
	}
	return observe.Event{}, false, e.changed
}

// Count returns how many events after a mark match.
func (e *Events) Count(mark int, matches func(observe.Event) bool) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	count := 0
	for _, record := range e.records[mark:] {
		if matches(record.event) {
			count++
		}
	}
	return count
}

// Lines returns every line that any node wrote.
func (e *Events) Lines() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.raw)
}

// logAll logs every line, for tests that failed.
func (e *Events) logAll() {
	for _, line := range e.Lines() {
		e.t.Log(line)
	}
}
