package answers_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/internal/testendless"
	"github.com/levertide/levertide/platform/standin"
)

const (
	// playedTime is the time by which each play was begun, messagesTime that for messages to another
	// node, which are few.
	playedTime   = time.Minute
	messagesTime = 10 * time.Minute
	// healthPath is the path of health checks.
	healthPath = "/healthz"
	// endlessNode is the node that answers without end.
	endlessNode = "endless"
)

// inTurn returns plays one after the other.
func inTurn(plays []play) func() play {
	var next atomic.Int64
	return func() play { return plays[int(next.Add(1)-1)%len(plays)] }
}

// allPlayed reports whether each play was begun.
func (d *deployment) allPlayed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.plays {
		if d.begun[p.name] == 0 {
			return false
		}
	}
	return true
}

// whileOthersAreServed waits until each play was begun, and checks that the clients of the nodes are
// answered in time meanwhile.
func (d *deployment) whileOthersAreServed() {
	d.t.Helper()
	done := make(chan struct{})
	others := d.serveOthers(done)
	for end := time.Now().Add(playedTime); !d.allPlayed() && time.Now().Before(end); time.Sleep(pause) {
		d.mustLive("beside the plays")
	}
	close(done)
	others.Wait()
}

// fast returns the plays that do not come by drops: these end only with a deadline.
func fast(plays []play) []play {
	var kept []play
	for _, p := range plays {
		if !p.drops {
			kept = append(kept, p)
		}
	}
	return kept
}

// shown returns the plays of a test: the fast ones, or all of them by flag.
func shown() []play {
	plays := playsOf(testendless.Forms)
	if *allForms {
		return plays
	}
	return fast(plays)
}

// TestStoreThatAnswersWithoutEndCostsNoClient guards against bytes without end from the store that fill the
// memory of a node, or keep it from what the store says later.
func TestStoreThatAnswersWithoutEndCostsNoClient(t *testing.T) {
	d := start(t, shown(), nil)
	next := inTurn(d.plays)
	d.store.SetBare(func(conn net.Conn) { d.perform(next(), "", "")(conn) })
	d.whileOthersAreServed()
	d.store.SetBare(nil)
	d.check()
	d.mustHavePlayed()
	d.mustFollow("endless answers of the store")
	d.mustServe("/read/")
}

// listen answers all requests at an address of its own with plays in turn.
func (d *deployment) listen(ip string, next func() play) string {
	d.t.Helper()
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.answerOne(conn, next)
		}
	}()
	return listener.Addr().String()
}

// answerOne answers the first request of a connection with a play: the one that a call names, or the next.
func (d *deployment) answerOne(conn net.Conn, next func() play) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, r.Body, r.ContentLength)
	id := r.Header.Get(headerRequestID)
	if number, err := strconv.Atoi(r.Header.Get(headerPlay)); err == nil {
		d.perform(d.plays[number], id, linesOf(id))(conn)
		return
	}
	d.perform(next(), "", "")(conn)
}

// TestNodeThatAnswersWithoutEndCostsNoOther guards against bytes without end from another node, to calls
// and to messages.
func TestNodeThatAnswersWithoutEndCostsNoOther(t *testing.T) {
	d := startStore(t, shown())
	messages := shown()
	for i := range messages {
		messages[i].name = "message: " + messages[i].name
	}
	d.putEndlessNode(inTurn(messages))
	d.startNodes(nil)
	var requests []request
	for i := range 2 * len(d.plays) {
		requests = append(requests, request{node: i % 2, path: "/elsewhere/", method: http.MethodGet, play: i / 2, reads: i%4 < 2})
	}
	wanted := 1
	if *allForms {
		wanted = len(messages)
	}
	for end := time.Now().Add(messagesTime); (!d.allPlayed() || d.played(messages) < wanted) && time.Now().Before(end); {
		d.crowd(requests)
	}
	if played := d.played(messages); played < wanted {
		t.Errorf("%d messages of %d were answered", played, wanted)
	}
	d.check()
	d.mustHavePlayed()
	d.mustServe("/read/")
	d.mustFollow("endless answers of another node")
}

// putEndlessNode writes the entry of a node that answers all calls and messages with plays.
func (d *deployment) putEndlessNode(next func() play) {
	d.t.Helper()
	ip := d.network + ".100"
	content, err := proto.Marshal(&exchangepb.Node{
		Id: endlessNode, Incarnation: 1, Sequence: 1, Region: "r", Zone: "z", ReadsStore: true,
		ControlAddress: d.listen(ip, next), CallAddress: d.listen(ip, next), State: exchangepb.NodeState_NODE_STATE_LIVE,
		Workers: []*exchangepb.Worker{{
			Instance: "i-" + elsewhere, Service: elsewhere, Slots: 2 * atOnce, Sequence: 1, State: exchangepb.WorkerState_WORKER_STATE_READY,
			Address: net.JoinHostPort(ip, "9"),
		}},
	})
	if err != nil {
		d.t.Fatal(err)
	}
	d.store.Put("nodes/"+endlessNode, content)
}

// TestHealthCheckWithoutEndCostsNoClient guards against bytes without end from a worker in answers to
// health checks, which a node that starts sends.
func TestHealthCheckWithoutEndCostsNoClient(t *testing.T) {
	var checks atomic.Pointer[func() play]
	d := start(t, shown(), func(d *deployment, r *http.Request) func(net.Conn) {
		if next := checks.Load(); next != nil && r.URL.Path == healthPath {
			return d.perform((*next)(), "", linesOf(r.Header.Get(headerRequestID)))
		}
		return nil
	})
	next := inTurn(d.plays)
	checks.Store(&next)
	starts := 2
	if *allForms {
		starts = len(d.plays)
	}
	for life := range starts {
		d.restartFaulty()
		d.mustServe("/read/")
		t.Logf("%d plays for health checks after start %d", d.played(d.plays), life+1)
	}
	if d.played(d.plays) == 0 {
		t.Error("no health check was answered")
	}
	d.check()
}

// played returns how many of some plays were begun.
func (d *deployment) played(plays []play) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	played := 0
	for _, p := range plays {
		if d.begun[p.name] > 0 {
			played++
		}
	}
	return played
}

// restartFaulty kills the node beside the faulty worker and starts it again.
func (d *deployment) restartFaulty() {
	d.t.Helper()
	last := len(d.nodes) - 1
	d.checkPeaks()
	d.nodes[last].Signal(syscall.SIGKILL)
	<-d.nodes[last].Done()
	next, err := d.nodes[last].Next()
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() {
		if err := next.Close(); err != nil {
			d.t.Error(err)
		}
	})
	d.nodes = append(slices.Clone(d.nodes[:last]), next)
	d.peaks = standin.WatchPeaks(d.nodes)
	d.t.Cleanup(func() { d.peaks.Stop() })
	d.await(next.Ready, readyTime, fmt.Sprintf("%s is not ready again", next.ID()))
}
