//go:build !race

package hosted_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/levertide/levertide/internal/hosted"
	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/pkg/workers"
)

// sent sums up what the nodes of a mesh have sent to each other.
func (m *simulated) sent() hosted.Messages {
	var sum hosted.Messages
	for _, n := range m.nodes {
		one := n.agent.Messages()
		sum.Exchanges += one.Exchanges
		sum.Broadcasts += one.Broadcasts
		sum.Records += one.Records
		sum.QuotaRequests += one.QuotaRequests
	}
	return sum
}

// counting counts the connections that are opened.
func counting(dial httpconn.DialFunc, opened *atomic.Int64) httpconn.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened.Add(1)
		return dial(ctx, network, address)
	}
}

// knowsWorker reports whether all nodes know that a worker is beside a node.
func (m *simulated) knowsWorker(id, instance string) bool {
	for _, n := range m.nodes {
		held, _ := n.table.View().Node(id)
		if len(held.Workers) != 1 || held.Workers[0].Instance != instance {
			return false
		}
	}
	return true
}

// TestManyChangesGoTogether changes the records of half of a mesh within a second. The changes must
// be batched, not sent to each node one by one.
func TestManyChangesGoTogether(t *testing.T) {
	for _, size := range []int{80, 160} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := startSimulated(t, size)
				time.Sleep(5 * time.Second)
				before := m.sent()
				changing := m.nodes[:size/2]
				for i, n := range changing {
					mustHeartbeat(t, n, heartbeat(fmt.Sprintf("w%d", i), 1, false))
					time.Sleep(time.Second / time.Duration(len(changing)))
				}
				took := m.within(t, time.Second, "all changes are known", func() bool {
					for i, n := range changing {
						if !m.knowsWorker(n.table.View().Self().ID, fmt.Sprintf("w%d", i)) {
							return false
						}
					}
					return true
				})
				messages := m.sent().Broadcasts - before.Broadcasts
				t.Logf("%d messages for %d changes, known everywhere %v after the last", messages, len(changing), took)
				// At most some twenty batches in that second, of one message a node each.
				if most := uint64(20*size + len(changing)); messages > most {
					t.Errorf("%d messages, at most %d expected", messages, most)
				}
			})
		})
	}
}

// TestPartnersStayTheSame counts the connections that nodes open for messages while
// nothing happens.
func TestPartnersStayTheSame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 120
		m := startSimulated(t, size)
		time.Sleep(30 * time.Second)
		before := m.opened.Load()
		time.Sleep(30 * time.Second)
		perNode := float64(m.opened.Load()-before) / size
		t.Logf("%.1f connections a node in 30 s", perNode)
		if perNode > 6 {
			t.Errorf("%.1f connections a node in 30 s", perNode)
		}
	})
}

// TestUnchangedHeartbeatsAreNotBroadcast sends the same heartbeat repeatedly.
func TestUnchangedHeartbeatsAreNotBroadcast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startSimulated(t, 8)
		mustHeartbeat(t, m.nodes[0], heartbeat("w1", 1, false))
		time.Sleep(time.Second)
		before := m.sent()
		for range 5 {
			if err := m.nodes[0].agent.Heartbeat(t.Context(), workers.Heartbeat{Instance: "w1", Service: "ledger", Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 6, Sequence: 1}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		if now := m.sent(); now.Broadcasts != before.Broadcasts {
			t.Errorf("%d messages for unchanged heartbeats", now.Broadcasts-before.Broadcasts)
		}
	})
}

// slowConsumer takes a while to put a document in force.
type slowConsumer struct {
	takes   time.Duration
	offered atomic.Int64
	last    atomic.Pointer[string]
}

func (c *slowConsumer) Offer(content []byte) error {
	time.Sleep(c.takes)
	c.offered.Add(1)
	text := string(content)
	c.last.Store(&text)
	return nil
}

// TestStormOfDocumentsLeavesTheMachineToCalls takes a document every 20 ms on a machine that needs
// 30 ms for each.
func TestStormOfDocumentsLeavesTheMachineToCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		consumer := &slowConsumer{takes: 30 * time.Millisecond}
		documents := hosted.NewDocuments(consumer, &recorder{commitments: map[string]int{}})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = documents.Serve(ctx) }()
		const count = 100
		for number := range count {
			documents.Take(hosted.Document{Version: uint64(number + 1), Content: testDocument(number)})
			time.Sleep(20 * time.Millisecond)
		}
		if offered := consumer.offered.Load(); offered < 3 || offered > 8 {
			t.Errorf("%d documents were put in force within 2 s, at 30 ms each", offered)
		}
		time.Sleep(600 * time.Millisecond)
		if last := consumer.last.Load(); *last != string(testDocument(count-1)) {
			t.Errorf("%q is in force", *last)
		}
		cancel()
		synctest.Wait()
	})
}
