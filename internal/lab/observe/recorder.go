package observe

import (
	"context"
	"slices"
	"sync"
	"time"
)

// step is one version put in force by a node.
type step struct {
	at      time.Time
	version uint64
}

// nodeHistory holds the versions and the last state that one node reported, across restarts.
type nodeHistory struct {
	steps []step
	ready bool
	role  string
}

// current returns the version in force, or zero.
func (h *nodeHistory) current() uint64 {
	if len(h.steps) == 0 {
		return 0
	}
	return h.steps[len(h.steps)-1].version
}

// highest returns the highest version ever in force, or zero.
func (h *nodeHistory) highest() uint64 {
	var highest uint64
	for _, taken := range h.steps {
		highest = max(highest, taken.version)
	}
	return highest
}

// Recorder receives the events of all nodes and checks each on arrival. Its
// methods are safe for concurrent use; events of one node must be passed in the
// order in which they happened.
type Recorder struct {
	mutex      sync.Mutex
	nodes      map[string]*nodeHistory
	violations []Violation
	notices    []Event
	commits    []Event
	changed    chan struct{}
}

// maxNotices limits the number of notices kept.
const maxNotices = 1000

// NewRecorder returns a recorder without events.
func NewRecorder() *Recorder {
	return &Recorder{
		nodes:   make(map[string]*nodeHistory),
		changed: make(chan struct{}),
	}
}

// ObserveLine records one line of a node's log; a line that is no event is ignored.
func (r *Recorder) ObserveLine(line []byte) {
	if event, ok := ParseEvent(line); ok {
		r.Observe(event)
	}
}

// Observe records and checks one event.
func (r *Recorder) Observe(event Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	history := r.history(event.Node)
	switch event.Number {
	case EventVersionInForce:
		r.checkStep(event, history)
		history.steps = append(history.steps, step{event.Time, event.Version})
	case EventReady:
		history.ready = true
	case EventUnready, EventStopped:
		history.ready = false
	case EventRoleChanged:
		history.role = event.Role
	case EventVersionCommitted:
		r.commits = append(r.commits, event)
	case EventPartFailed, EventStartFailed, EventStoreRegressed, EventAlarm:
		r.notice(event)
	default:
		return
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// history returns the history of a node, which it creates if needed.
func (r *Recorder) history(node string) *nodeHistory {
	known, ok := r.nodes[node]
	if !ok {
		known = &nodeHistory{}
		r.nodes[node] = known
	}
	return known
}

// notice keeps a failure or alarm for the report at the end of the experiment.
func (r *Recorder) notice(event Event) {
	if len(r.notices) < maxNotices {
		r.notices = append(r.notices, event)
	}
}

// ProcessEnded records that a node's process has ended, so that the node is not ready.
func (r *Recorder) ProcessEnded(node string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history(node).ready = false
}

// Current returns the version that a node last put in force, or zero.
func (r *Recorder) Current(node string) uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.history(node).current()
}

// Roles returns how many nodes last reported each role.
func (r *Recorder) Roles() map[string]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	counts := make(map[string]int)
	for _, history := range r.nodes {
		counts[history.role]++
	}
	return counts
}

// Notices returns failures and alarms that nodes reported.
func (r *Recorder) Notices() []Event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.notices)
}

// Commits returns the commits that coordinators reported.
func (r *Recorder) Commits() []Event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.commits)
}

// AwaitReady waits until every node named is ready. It fails with the
// context's error, wrapped in ErrNotReached with those that are missing.
func (r *Recorder) AwaitReady(ctx context.Context, nodes []string) error {
	return r.await(ctx, nodes, "not ready", func(history *nodeHistory) bool { return history.ready })
}

// AwaitVersion waits until every node named has the version or a higher one in
// force. It fails as AwaitReady does.
func (r *Recorder) AwaitVersion(ctx context.Context, version uint64, nodes []string) error {
	return r.await(ctx, nodes, "behind", func(history *nodeHistory) bool { return history.current() >= version })
}

// await waits until a condition holds for every node.
func (r *Recorder) await(ctx context.Context, nodes []string, lack string, holds func(*nodeHistory) bool) error {
	for {
		missing, changed := r.missing(nodes, holds)
		if len(missing) == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ErrNotReached.Wrap(ctx.Err(), "%d of %d nodes are %s, such as %s", len(missing), len(nodes), lack, missing[0])
		}
	}
}

// missing returns the nodes for which a condition does not hold, and a channel that
// is closed at the next change.
func (r *Recorder) missing(nodes []string, holds func(*nodeHistory) bool) ([]string, <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var missing []string
	for _, node := range nodes {
		if !holds(r.history(node)) {
			missing = append(missing, node)
		}
	}
	return missing, r.changed
}

// TimesInForce returns, for each node named that reached the version, when it
// first had it or a higher one in force at or after the given time.
func (r *Recorder) TimesInForce(version uint64, since time.Time, nodes []string) map[string]time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	reached := make(map[string]time.Time, len(nodes))
	for _, node := range nodes {
		for _, taken := range r.history(node).steps {
			if taken.version >= version && !taken.at.Before(since) {
				reached[node] = taken.at
				break
			}
		}
	}
	return reached
}
