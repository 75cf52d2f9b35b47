package dataplane

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"github.com/levertide/levertide/pkg/model"
)

// slowDialer opens its first connection at once, and all others when it is told to finish. It
// counts the connections that are open or about to be.
type slowDialer struct {
	finished chan struct{}

	mutex             sync.Mutex
	began, open, peak int
}

func newSlowDialer() *slowDialer { return &slowDialer{finished: make(chan struct{})} }

func (d *slowDialer) finish() { close(d.finished) }

func (d *slowDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !d.begin() {
		select {
		case <-d.finished:
		case <-ctx.Done():
			d.closed()
			return nil, ctx.Err()
		}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		d.closed()
		return nil, err
	}
	return &countedConn{Conn: conn, closed: sync.OnceFunc(d.closed)}, nil
}

// begin counts a connection and reports whether it is the first one.
func (d *slowDialer) begin() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.began++
	d.open++
	d.peak = max(d.peak, d.open)
	return d.began == 1
}

func (d *slowDialer) closed() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.open--
}

func (d *slowDialer) highest() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.peak
}

// countedConn tells when it is closed.
type countedConn struct {
	net.Conn
	closed func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

// TestWorkerIsGivenNoMoreConnectionsThanItAccepts guards against calls that are lost because
// the worker closes connections beyond those that it accepts: two requests are in flight at a
// time, and while a connection is opened for each, an older one serves it first.
func TestWorkerIsGivenNoMoreConnectionsThanItAccepts(t *testing.T) {
	const accepted, calls = 5, 60
	m := newMesh(t)
	m.current.Store(m.snapshot(2, []model.Resource{
		{
			Key:     model.Key{Kind: model.KindService, Name: testService},
			Service: &model.Service{Slots: 4, Connections: accepted, Queue: 8},
		},
		routeNamed("never", testRoute("/", model.RepeatNever)),
	}))
	running, release := make(chan struct{}), make(chan struct{})
	slow := newSlowDialer()
	node := m.addHandler("a", func(http.ResponseWriter, *http.Request) {
		running <- struct{}{}
		<-release
	}, func(c *Config) { c.Dial = slow.dial })

	replies := make(chan reply, calls)
	begin := func(index int) {
		request := m.request(http.MethodPost, "/"+strconv.Itoa(index), nil)
		go func() { replies <- m.do(request) }()
	}
	begin(0)
	<-running
	for index := 1; index < calls; index++ {
		begin(index)
		eventually(t, "the next request is admitted", func() bool { return node.plane.Status().Worker.InFlight == 2 })
		release <- struct{}{}
		<-running
		(<-replies).expect(t, http.StatusOK, "")
	}
	slow.finish()
	release <- struct{}{}
	(<-replies).expect(t, http.StatusOK, "")
	if peak := slow.highest(); peak > accepted {
		t.Errorf("%d connections were open at a worker that accepts %d", peak, accepted)
	}
}
