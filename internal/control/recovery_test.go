package control

import (
	"strings"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/store"
	"github.com/levertide/levertide/pkg/versionstore"
)

func reads(node *Node) bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.self.Reader
}

func TestReaderGivesUpWithoutRenewal(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	node := m.start("c0", "c", "ledger", func(c *Config) { c.ReaderLeaseTTL = 500 * time.Millisecond })
	m.eventually("the node reads", func() bool { return reads(node) })
	m.down.Store(true)
	m.eventually("the node stops reading", func() bool { return !reads(node) })
	m.down.Store(false)
	m.eventually("the node reads again", func() bool { return reads(node) })
}

func TestLostVersionDoesNotHoldUpTheOther(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	node := m.start("c0", "c", "ledger")
	first := m.propose("first")
	m.eventually("the node runs the first version", runsNow(node, first))
	m.kill("c0")
	second := m.propose("second")
	m.removeOldestVersion()

	node = m.start("c0", "c", "ledger")
	m.eventually("the node runs the second version", runsNow(node, second))
}

// removeOldestVersion deletes the record of one version, as if the store had lost it.
func (m *mesh) removeOldestVersion() {
	m.t.Helper()
	keys, err := m.store.ListKeys(m.t.Context(), versionstore.DefaultPrefix+"version/")
	if err != nil || len(keys) < 2 {
		m.t.Fatalf("versions %v, %v", keys, err)
	}
	err = m.store.Transact(m.t.Context(), []store.Operation{{Verb: store.VerbDelete, Key: keys[0]}})
	if err != nil {
		m.t.Fatal(err)
	}
}

func regressionAlarm(node *Node) func() bool {
	return func() bool {
		alarms := strings.Join(node.Status(node.serving).GetAlarms(), "; ")
		return strings.Contains(alarms, "was seen before")
	}
}

// TestAlarmOfRestoredStoreEnds restores the store to an earlier state and then to
// its latest one. The index of the recovered head is below the one seen before
// the first restore.
func TestAlarmOfRestoredStoreEnds(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	node := m.start("c0", "c", "ledger")
	m.eventually("the node runs the first version", runsNow(node, m.propose("first")))
	earlier := m.store.State()
	m.eventually("the node runs the second version", runsNow(node, m.propose("second")))
	latest := m.store.State()

	m.store.Restore(earlier)
	m.eventually("the alarm is raised", regressionAlarm(node))
	m.store.Restore(latest)
	m.eventually("the alarm ends", func() bool { return !regressionAlarm(node)() })
	m.eventually("the node runs the third version", runsNow(node, m.propose("third")))
}

// TestRestoreBetweenTwoWatchesIsNoticed restores an earlier state of the store after a reader has
// received the answer to one watch and before it sends the next, which then waits for an index that
// the store no longer has.
//
// On a busy machine a reader did not notice such a restore within 30 s, so that the alarm was not
// raised in time. A watch that began before the restore is answered at once; one that begins after it
// waits for as long as watches are held.
func TestRestoreBetweenTwoWatchesIsNoticed(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	node := m.start("c0", "c", "ledger")
	m.eventually("the node runs the first version", runsNow(node, m.propose("first")))
	earlier := m.store.State()
	m.eventually("the node runs the second version", runsNow(node, m.propose("second")))
	held := &gate{waiting: make(chan struct{}, 1), released: make(chan struct{})}
	m.gate.Store(held)
	m.store.Restore(m.store.State()) // answers the watch
	<-held.waiting
	m.store.Restore(earlier)
	m.gate.Store(nil)
	close(held.released)
	m.eventually("the alarm is raised", regressionAlarm(node))
}

// TestIslandsRejoin partitions the nodes into two parts that both can read the store.
func TestIslandsRejoin(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	sides := &partition{mesh: m, sides: map[string]int{}}
	one, other := []string{"a0", "a1", "c0"}, []string{"b0", "b1", "d0"}
	for _, id := range append(append([]string{}, one...), other...) {
		m.start(id, id[:1], "ledger", sides.configure(id))
	}
	m.eventually("every node knows every node", m.all(knows(6)))
	sides.split(1, other...)
	m.eventually("each part has lost the other", m.all(knows(3)))
	version := m.propose("meanwhile")
	m.eventually("every node runs the version", m.all(runs(version)))
	sides.split(0, other...)
	m.eventually("every node knows every node again", m.all(knows(6)))
	m.root()
}

// TestParentsLostTogether stops a relay and the root at the same time, so that
// neither has a parent left that notices its loss.
func TestParentsLostTogether(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	m.startZones(5)
	m.eventually("every node knows every node", m.all(knows(10)))
	relay, root := m.relayWithChildren(), m.root()
	if relay == root {
		t.Fatal("the relay is the root")
	}
	m.kill(relay)
	m.kill(root)
	m.eventually("both are lost", m.all(func(n *Node) bool {
		return lostTo(n, relay) && lostTo(n, root)
	}))
}

func lostTo(node *Node, id string) bool {
	record, found := node.Directory().Get(id)
	return !found || record.State == membership.StateLost
}
