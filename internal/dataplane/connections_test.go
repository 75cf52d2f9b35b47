package dataplane

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/levertide/levertide/internal/testdial"
	"github.com/levertide/levertide/pkg/model"
)

// TestWorkerIsGivenNoMoreConnectionsThanItAccepts guards against calls that are lost because
// the worker closes connections beyond those that it accepts: two requests are in flight at a
// time, and while a new connection is opened for each, an older one becomes free and serves it.
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
	slow := testdial.NewSlow()
	node := m.addHandler("a", func(http.ResponseWriter, *http.Request) {
		running <- struct{}{}
		<-release
	}, func(c *Config) { c.Dial = slow.Dial })

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
	slow.Finish()
	release <- struct{}{}
	(<-replies).expect(t, http.StatusOK, "")
	if peak := slow.Highest(); peak > accepted {
		t.Errorf("%d connections were open at a worker that accepts %d", peak, accepted)
	}
}

// TestAllSlotsAreUsedWhereEachNeedsAConnection guards against a bound on connections that leaves
// some of the slots without one.
func TestAllSlotsAreUsedWhereEachNeedsAConnection(t *testing.T) {
	const slots = 3
	m := newMesh(t)
	m.current.Store(m.snapshot(2, []model.Resource{
		{
			Key:     model.Key{Kind: model.KindService, Name: testService},
			Service: &model.Service{Slots: slots, Connections: slots, Queue: 8},
		},
		routeNamed("never", testRoute("/", model.RepeatNever)),
	}))
	running, release := make(chan struct{}), make(chan struct{})
	m.addHandler("a", func(http.ResponseWriter, *http.Request) {
		running <- struct{}{}
		<-release
	})
	replies := make(chan reply, slots)
	for range slots {
		request := m.request(http.MethodPost, "/", nil)
		go func() { replies <- m.do(request) }()
	}
	for range slots {
		<-running
	}
	close(release)
	for range slots {
		(<-replies).expect(t, http.StatusOK, "")
	}
}
