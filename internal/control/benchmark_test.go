package control

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"testing"

	"github.com/twitchtv/twirp"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/snapshot"
)

// pollingChild polls a node without holding, over a connection whose bytes are counted.
type pollingChild struct {
	client  controlpb.Control
	traffic *Traffic
	request *controlpb.WatchRequest
}

func newPollingChild(b *testing.B, node *Node, version2 bool) *pollingChild {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(!version2)
	protocols.SetUnencryptedHTTP2(version2)
	child := &pollingChild{traffic: NewTraffic()}
	transport := &http.Transport{DialContext: child.traffic.Dial(newDialer().DialContext), Protocols: protocols}
	b.Cleanup(transport.CloseIdleConnections)
	child.client = controlpb.NewControlProtobufClient("http://"+node.config.Self.ControlAddress, &http.Client{Transport: transport}, twirp.WithClientPathPrefix(node.config.pathPrefix()))
	record := membership.Record{
		ID: "n0042", Incarnation: 5, Attachment: 2, Region: "nl-west", Zone: "nl-west-a",
		Service: "ledger", ControlAddress: "127.0.0.1:1", CallAddress: "127.0.0.1:2",
	}
	child.request = &controlpb.WatchRequest{Self: memberMessage(record), Scope: &controlpb.Scope{Service: "ledger"}}
	return child
}

func (c *pollingChild) poll(b *testing.B, request *controlpb.WatchRequest) *controlpb.WatchResponse {
	answer, err := c.client.Watch(context.Background(), request)
	if err != nil || answer.GetResend() {
		b.Fatalf("answer %v, error %v", answer, err)
	}
	return answer
}

// settle polls until there are no more updates, and returns the handle of the
// last request.
func (c *pollingChild) settle(b *testing.B) uint64 {
	for range 2 {
		answer := c.poll(b, c.request)
		if cursor := answer.GetDirectory().GetCursor(); cursor != nil {
			c.request.Cursor = cursor
		}
		c.request.PathHash = hashPath(answer.GetPath())
		c.request.HeadGeneration = max(c.request.HeadGeneration, answer.GetHead().GetGeneration())
	}
	return c.poll(b, c.request).GetHandle()
}

// BenchmarkIdlePoll measures the cost of a poll without updates, including headers.
func BenchmarkIdlePoll(b *testing.B) {
	for _, variant := range []struct {
		name               string
		version2, shortens bool
	}{
		{"http1-whole", false, false},
		{"http2-whole", true, false},
		{"http2-handle", true, true},
	} {
		b.Run(variant.name, func(b *testing.B) {
			node := newMesh(b).start("parent", "nl-west-a", "ledger")
			child := newPollingChild(b, node, variant.version2)
			request := child.request
			handle := child.settle(b)
			if variant.shortens {
				request = &controlpb.WatchRequest{Handle: handle}
			}
			before := child.traffic.Total().Total()
			b.ReportAllocs()
			for b.Loop() {
				child.poll(b, request)
			}
			b.ReportMetric(float64(child.traffic.Total().Total()-before)/float64(b.N), "wire-B/op")
		})
	}
}

// BenchmarkWatchAnswer measures an answer with a version that the child lacks.
func BenchmarkWatchAnswer(b *testing.B) {
	m := newMesh(b)
	node := m.start("parent", "nl-west-a", "ledger")
	version := m.propose("first")
	m.eventually("the node runs the version", m.all(runs(version)))
	call := watchCall{request: &controlpb.WatchRequest{}, scope: snapshot.Scope{Service: "ledger"}}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := node.answer(call); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkHollowNode measures the memory of one node of many in a process.
func BenchmarkHollowNode(b *testing.B) {
	const nodes = 64
	for b.Loop() {
		m := newMesh(b)
		before := heapBytes()
		for index := range nodes {
			m.start(fmt.Sprintf("n%03d", index), fmt.Sprintf("z%d", index%4), "ledger", func(c *Config) { c.FanOut = DefaultFanOut })
		}
		m.eventually("every node knows every node", m.all(knows(nodes)))
		b.ReportMetric(float64(heapBytes()-before)/nodes, "heap-B/node")
		b.ReportMetric(float64(runtime.NumGoroutine())/nodes, "goroutines/node")
		for _, id := range m.ids() {
			m.kill(id)
		}
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
