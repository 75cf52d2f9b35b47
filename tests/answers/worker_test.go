package answers_test

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/testendless"
)

const (
	// atOnce is how many requests a crowd has open at a time.
	atOnce = 48
	// crowdsOfForm is how often a crowd that plays one form alone sends each kind of request.
	crowdsOfForm = 16
	// uploadBytes is more than a node holds of a body.
	uploadBytes = 2 << 20
	// stayTime bounds how long a client stays that reads nothing.
	stayTime = 3 * time.Second
	// smallBuffer has a client that reads nothing hold little, in bytes.
	smallBuffer = 4096
)

// play is a form of an answer that never ends, fast or by drops.
type play struct {
	name  string
	form  testendless.Form
	drops bool
}

// playsOf returns the plays of forms, in a fixed order.
func playsOf(forms map[string]testendless.Form) []play {
	var plays []play
	for _, name := range slices.Sorted(maps.Keys(forms)) {
		for _, drops := range []bool{false, true} {
			plays = append(plays, play{name: fmt.Sprintf("%s, drops %t", name, drops), form: forms[name], drops: drops})
		}
	}
	return plays
}

// linesOf returns the lines that mark an answer as that of the faulty worker to a request.
func linesOf(id string) string {
	const instance = "i-" + faulty
	return fmt.Sprintf("%s: %s\r\nLevertide-Instance-Id: %s\r\nLevertide-Server-Stamp: %s.%s\r\n", headerRequestID, id, instance, instance, id)
}

// playToCallers has a worker answer the requests that name a play with it.
func playToCallers(d *deployment, r *http.Request) func(net.Conn) {
	number, err := strconv.Atoi(r.Header.Get(headerPlay))
	if err != nil {
		return nil
	}
	id := r.Header.Get(headerRequestID)
	return d.perform(d.plays[number], id, linesOf(id))
}

// request is one request of a crowd.
type request struct {
	node, play   int
	method, path string
	// reads is set when its client reads the answer.
	reads bool
}

// requestsFor returns a request of each kind at each node for each of the plays with the given numbers.
func requestsFor(plays ...int) []request {
	var requests []request
	for _, number := range plays {
		for node := range 2 {
			for _, r := range []request{{method: http.MethodGet, path: "/read/"}, {method: http.MethodPost, path: "/write/"}, {method: http.MethodPost, path: "/upload/"}} {
				r.node, r.play, r.reads = node, number, len(requests)%2 == 0
				requests = append(requests, r)
			}
		}
	}
	return requests
}

// crowd sends requests, atOnce at a time, and checks that another client of each node is answered in
// time meanwhile.
func (d *deployment) crowd(requests []request) {
	d.t.Helper()
	waiting := make(chan request)
	var clients sync.WaitGroup
	for range atOnce {
		clients.Go(func() {
			for r := range waiting {
				d.send(r)
			}
		})
	}
	done := make(chan struct{})
	others := d.serveOthers(done)
	for _, r := range requests {
		waiting <- r
	}
	close(waiting)
	clients.Wait()
	close(done)
	others.Wait()
}

// serveOthers checks at each node that ordinary requests are answered in time, until done is closed.
func (d *deployment) serveOthers(done <-chan struct{}) *sync.WaitGroup {
	var others sync.WaitGroup
	for node := range d.nodes {
		others.Go(func() {
			for {
				if err := d.try(node, "/here/"); err != nil {
					d.t.Errorf("another request at node %d: %v", node+1, err)
				}
				select {
				case <-time.After(ordinaryPause):
				case <-done:
					return
				}
			}
		})
	}
	return &others
}

// send sends one request of a crowd, and stays until its answer has ended.
func (d *deployment) send(r request) {
	conn, err := dial(d.nodes[r.node].Callers)
	if err != nil {
		d.t.Error(err)
		return
	}
	defer func() { _ = conn.Close() }()
	id, closed := newID(), make(chan struct{})
	d.mu.Lock()
	d.closed[id] = closed
	d.mu.Unlock()
	extra := []string{fmt.Sprint(headerPlay, ": ", r.play)}
	body := ""
	if r.method == http.MethodPost {
		body = id
	}
	if r.path == "/upload/" {
		body = strings.Repeat("x", uploadBytes)
	}
	extra = append(extra, fmt.Sprint("Content-Length: ", len(body)))
	go func() { _, _ = io.WriteString(conn, head(r.method, r.path+id, id, extra...)+body) }()
	if r.reads {
		d.judge(conn, r)
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(smallBuffer)
	}
	select {
	case <-closed:
	case <-time.After(stayTime):
	}
}

// judge reads an answer. What the worker has played must not look whole.
func (d *deployment) judge(conn net.Conn, r request) {
	_ = conn.SetDeadline(time.Now().Add(endTime))
	p := d.plays[r.play]
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	length, err := io.Copy(io.Discard, response.Body)
	ofWorker := response.Header.Get(markOfOther) != ""
	success := response.StatusCode < http.StatusBadRequest
	if err == nil && (ofWorker || success) && !p.form.Whole() {
		d.t.Errorf("%s, %s at node %d: status %d, %d bytes look whole", p.name, r.path, r.node+1, response.StatusCode, length)
	}
	if p.form.Whole() && success && length > 2 {
		d.t.Errorf("%s, %s at node %d: status %d, %d bytes for 2 at most", p.name, r.path, r.node+1, response.StatusCode, length)
	}
}

// numbers returns the numbers below n.
func numbers(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// TestWorkerThatAnswersWithoutEndCostsNoOther guards against bytes without end from a worker that fill the
// memory of the node which has called it, or look like an answer.
func TestWorkerThatAnswersWithoutEndCostsNoOther(t *testing.T) {
	plays := playsOf(testendless.Forms)
	t.Run("all forms", func(t *testing.T) {
		d := playWorker(t, plays, requestsFor(numbers(len(plays))...))
		d.mustFollow("endless answers of a worker")
	})
	if !*allForms {
		return
	}
	for _, p := range plays {
		t.Run(p.name, func(t *testing.T) { playWorker(t, []play{p}, slices.Repeat(requestsFor(0), crowdsOfForm)) })
	}
}

// TestRefusalWithoutEndCostsNoOther guards against the same in an answer that says that nothing was run.
func TestRefusalWithoutEndCostsNoOther(t *testing.T) {
	forms := map[string]testendless.Form{"misdirected": testendless.Misdirected, "refused": testendless.Refusal("Levertide-Not-Executed: 1")}
	for _, p := range playsOf(forms) {
		t.Run(p.name, func(t *testing.T) { playWorker(t, []play{p}, slices.Repeat(requestsFor(0), crowdsOfForm)) })
	}
}

// playWorker sends requests to a worker that answers them with plays.
func playWorker(t *testing.T, plays []play, requests []request) *deployment {
	d := start(t, plays, playToCallers)
	d.crowd(requests)
	d.check()
	d.mustHavePlayed()
	d.mustServe("/read/")
	return d
}
