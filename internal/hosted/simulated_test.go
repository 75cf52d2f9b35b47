//go:build !race

// With the race detector, Go 1.26.8 crashes in a synctest bubble when a timer is already due
// as its channel is selected; scripts/go-test.sh runs these tests without it.

package hosted_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/internal/lab/hostedstore"
	"github.com/levertide/levertide/internal/lab/memnet"
	"github.com/levertide/levertide/pkg/fleet"
)

// The tests here run on simulated time, so that they may measure it.

// simulated is a mesh on a network in memory.
type simulated struct {
	store   *hostedstore.Store
	network *memnet.Network
	nodes   []*testNode
	// opened counts the connections that nodes have opened to others, crossed the bytes on those to
	// other zones, in both directions.
	opened, crossed *atomic.Int64
}

// newSimulated returns a mesh without nodes.
func newSimulated(store *hostedstore.Store) *simulated {
	return &simulated{store: store, network: memnet.New(500 * time.Microsecond), opened: new(atomic.Int64), crossed: new(atomic.Int64)}
}

// zoneCount is the number of zones of a simulated mesh: node n is in zone n modulo zoneCount.
const zoneCount = 4

// hostsPerNet is how many nodes share the first three bytes of their addresses.
const hostsPerNet = 200

func simulatedAddress(n int) (host, address string) {
	host = fmt.Sprintf("10.0.%d.%d", n/hostsPerNet, n%hostsPerNet+1)
	return host, host + ":70"
}

// simulatedID returns the identifier of node n, whose first letter names its zone.
func simulatedID(n int) string { return fmt.Sprintf("%c%d", 'a'+n%zoneCount, n) }

// start starts node n of the mesh, or its next incarnation.
func (m *simulated) start(t *testing.T, n int, firstStart bool) *testNode {
	t.Helper()
	return m.startAs(t, n, simulatedID(n), firstStart)
}

// startAs starts a node with the given identifier at the address of node n.
func (m *simulated) startAs(t *testing.T, n int, id string, firstStart bool) *testNode {
	t.Helper()
	name, address := simulatedAddress(n)
	host := m.network.Host(name)
	listener, err := host.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	return startNodeOn(t, m.store, id, listener, counting(m.crossing(n, host.Dial), m.opened), firstStart)
}

// crossing counts the bytes on connections of node n to other zones.
func (m *simulated) crossing(n int, dial httpconn.DialFunc) httpconn.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		var high, low, port int
		if _, scanErr := fmt.Sscanf(address, "10.0.%d.%d:%d", &high, &low, &port); scanErr != nil || err != nil {
			return conn, err
		}
		if other := hostsPerNet*high + low - 1; other%zoneCount == n%zoneCount {
			return conn, nil
		}
		return &countedConn{Conn: conn, bytes: m.crossed}, nil
	}
}

// countedConn counts the bytes that are sent and received through it.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// startSimulated starts a mesh and waits until all nodes know each other.
func startSimulated(t *testing.T, size int) *simulated {
	t.Helper()
	// Simulated time stops once a test has ended: pending dials must end before that.
	t.Cleanup(func() { time.Sleep(time.Minute) })
	m := newSimulated(newStore())
	for n := range size {
		m.nodes = append(m.nodes, m.start(t, n, true))
	}
	m.within(t, 10*time.Second, "all nodes know each other", func() bool { return m.allKnow(size) })
	return m
}

func (m *simulated) allKnow(size int) bool {
	for _, n := range m.nodes {
		if len(n.table.View().Nodes()) != size || !n.agent.Ready() {
			return false
		}
	}
	return true
}

// within fails the test when a condition does not hold in time.
func (m *simulated) within(t *testing.T, bound time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !condition() {
		if time.Since(began) > bound {
			t.Fatalf("not within %v: %s", bound, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(began)
}

// TestPlannedStopDoesNotWaitForASilentStore stops a node while it is writing a drain commitment to
// a store that does not answer.
func TestPlannedStopDoesNotWaitForASilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startSimulated(t, 3)
		time.Sleep(30 * time.Second) // the entry is written
		m.store.SetFaults("", hostedstore.Faults{Silent: true})
		mustHeartbeat(t, m.nodes[0], heartbeat("w1", 1, true))
		began := time.Now()
		m.nodes[0].agent.AnnounceStop(t.Context(), fleet.StateLeft)
		if took := time.Since(began); took > 400*time.Millisecond {
			t.Errorf("announcing the stop took %v", took)
		}
	})
}

// TestHerdFindsItselfAgain kills all nodes of a mesh at the same moment, and counts the calls of
// their next incarnations to the store: simultaneous restarts must not overload it.
func TestHerdFindsItselfAgain(t *testing.T) {
	for _, size := range []int{12, 60, 250} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := startSimulated(t, size)
				started := m.store.Calls()
				time.Sleep(time.Second)
				for _, n := range m.nodes {
					n.kill()
				}
				before := m.store.Calls()
				for n := range m.nodes {
					m.nodes[n] = m.start(t, n, false)
				}
				took := m.within(t, 5*time.Second, "all are ready and know each other", func() bool { return m.allKnow(size) })
				calls := m.store.Calls() - before
				if started > 6*size+20 {
					t.Errorf("%d calls to the store at the first start of %d nodes", started, size)
				}
				t.Logf("%d calls to the store at the first start; all know each other %v after simultaneous restarts, %d calls", started, took, calls)
				if calls > 4*size+20 {
					t.Errorf("%d calls to the store for %d nodes", calls, size)
				}
			})
		})
	}
}

// TestDocumentIsEverywhereSoon changes the document of a large mesh.
func TestDocumentIsEverywhereSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startSimulated(t, 60)
		time.Sleep(5 * time.Second)
		m.store.Put(testDocument(1))
		took := m.within(t, time.Second, "the document is everywhere", allHold(m.nodes, testDocument(1)))
		t.Logf("everywhere after %v", took)
	})
}

// TestDocumentIsEverywhereSoonAlthoughAllReadersAreCutOff cuts all readers off the store, which
// then does not answer them, while they watch for the next document: at different moments of that
// watch.
func TestDocumentIsEverywhereSoonAlthoughAllReadersAreCutOff(t *testing.T) {
	const (
		readers = 3
		phases  = 6
		step    = 400 * time.Millisecond
		bound   = 2500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		m := startSimulated(t, 60)
		for phase := range phases {
			time.Sleep(10*time.Second + time.Duration(phase)*step)
			cut := fleet.Readers(m.nodes[0].table.View(), func(string) bool { return true }, readers)
			for _, id := range cut {
				m.store.SetFaults(id, hostedstore.Faults{Silent: true})
			}
			m.store.Put(testDocument(phase + 1))
			took := m.within(t, bound, "the document is everywhere", allHold(m.nodes, testDocument(phase+1)))
			t.Logf("phase %d: everywhere after %v", phase, took)
			for _, id := range cut {
				m.store.SetFaults(id, hostedstore.Faults{})
			}
		}
	})
}

// TestDirectoryStaysSmall counts the entries of a mesh with more nodes than the directory needs.
func TestDirectoryStaysSmall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startSimulated(t, 60)
		time.Sleep(3 * time.Minute)
		if entries := m.store.Entries(); entries < 24 || entries > 50 {
			t.Errorf("%d of 60 nodes have an entry", entries)
		}
		if !m.allKnow(60) {
			t.Error("nodes were forgotten")
		}
	})
}

// TestLapsedEntriesAreBackSoon has leases expire while the store is unavailable to all nodes.
func TestLapsedEntriesAreBackSoon(t *testing.T) {
	for name, faults := range map[string]hostedstore.Faults{"silent": {Silent: true}, "refusing": {Refuse: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const size = 12
				m := startSimulated(t, size)
				m.within(t, time.Minute, "all have an entry", func() bool { return m.store.Entries() == size })
				time.Sleep(7 * time.Second)
				m.store.SetFaults("", faults)
				time.Sleep(4500 * time.Millisecond)
				m.store.EndLeases()
				m.store.SetFaults("", hostedstore.Faults{})
				took := m.within(t, 2*time.Second, "the entries are back", func() bool { return m.store.Entries() == size })
				t.Logf("back after %v", took)
			})
		})
	}
}

// TestRestartedNodeKeepsTheEntryOfItsFormerLife restarts a node without notice, and has the leases
// end later.
func TestRestartedNodeKeepsTheEntryOfItsFormerLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 8
		m := startSimulated(t, size)
		m.within(t, time.Minute, "all have an entry", func() bool { return m.store.Entries() == size })
		before, unchanged := m.store.Written(), m.store.Entry("c6")
		m.nodes[6].kill()
		m.nodes[6] = m.start(t, 6, false)
		time.Sleep(25 * time.Second)
		if written := m.store.Written() - before; written != 0 || !bytes.Equal(m.store.Entry("c6"), unchanged) {
			t.Errorf("%d writes to the store, the entry is %q", written, m.store.Entry("c6"))
		}
		m.store.EndLeases()
		m.within(t, 90*time.Second, "the entries are back", func() bool { return m.store.Entries() == size })
	})
}

// TestMeshWaitsForItsFirstDocument starts a mesh before there is a document.
func TestMeshWaitsForItsFirstDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 60
		t.Cleanup(func() { time.Sleep(time.Minute) })
		m := newSimulated(hostedstore.New())
		for n := range size {
			m.nodes = append(m.nodes, m.start(t, n, true))
		}
		time.Sleep(5 * time.Second)
		calls := m.store.Calls()
		if calls > 8*size {
			t.Errorf("%d calls to a store without a document", calls)
		}
		m.store.Put(testDocument(0))
		took := m.within(t, time.Second, "the document is everywhere", allHold(m.nodes, testDocument(0)))
		t.Logf("%d calls in 5 s without a document, everywhere after %v with %d more", calls, took, m.store.Calls()-calls)
	})
}
