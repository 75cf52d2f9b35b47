package dataplane

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/membership"
)

// sendMany sends requests, many at a time, and returns how long that took.
func (m *mesh) sendMany(requests int) time.Duration {
	m.t.Helper()
	const atOnce = 20
	began := time.Now()
	var sending sync.WaitGroup
	turns := make(chan struct{})
	for range atOnce {
		sending.Go(func() {
			for range turns {
				request := m.request(http.MethodGet, "/read", nil)
				request.Header.Set("Levertide-Deadline-Ms", "300")
				_ = m.do(request)
			}
		})
	}
	for range requests {
		turns <- struct{}{}
	}
	close(turns)
	sending.Wait()
	return time.Since(began)
}

// TestWorkerGetsNoMoreThanTheLimitThatItNames sends many requests after the worker has named its
// limit.
func TestWorkerGetsNoMoreThanTheLimitThatItNames(t *testing.T) {
	const perSecond = 5
	var got atomic.Int64
	m := newMesh(t)
	m.addHandler("a", func(w http.ResponseWriter, _ *http.Request) {
		got.Add(1)
		w.Header().Set("Levertide-Worker-Limit", "5")
	})
	m.sendMany(2)
	got.Store(0)
	took := m.sendMany(300)
	if most := int64(1.5*perSecond*took.Seconds() + 5); got.Load() > most {
		t.Errorf("the worker got %d requests in %v at a limit of 5 a second, allowed %d", got.Load(), took, most)
	}
}

// TestWorkerThatLeavesByItsAnswersGetsNothingNew sends requests after the worker has stated that it
// leaves.
func TestWorkerThatLeavesByItsAnswersGetsNothingNew(t *testing.T) {
	var got atomic.Int64
	m := newMesh(t)
	m.addHandler("a", func(w http.ResponseWriter, _ *http.Request) {
		got.Add(1)
		w.Header().Set("Levertide-Worker-Leaving", "1")
	})
	m.call(http.MethodGet, "/read", "").expect(t, http.StatusOK, "")
	got.Store(0)
	m.sendMany(20)
	if got.Load() > 0 {
		t.Errorf("a worker that leaves got %d requests", got.Load())
	}
}

// TestLimitOutlivesTheNodeBesideTheWorker starts the node beside a limited worker again: the node
// that knows the limit tells it with its first request.
func TestLimitOutlivesTheNodeBesideTheWorker(t *testing.T) {
	const perSecond = 0.5
	var got atomic.Int64
	worker := listen(t, func(w http.ResponseWriter, _ *http.Request) {
		got.Add(1)
		w.Header().Set("Levertide-Worker-Limit", "0.5")
	})
	m := newMesh(t)
	m.addWorker("a", worker)
	m.call(http.MethodGet, "/read", "").expect(t, http.StatusOK, "")
	after := m.start("a", worker)
	m.table.Merge(membership.Record{
		ID: "a", Incarnation: 2, Region: "region", Zone: "zone", Service: testService, CallAddress: after.peers.Listener.Addr().String(),
	})
	m.directory.Store(m.table.View())
	got.Store(0)
	took := m.sendMany(40)
	// A node that is told begins without a start saved up; without being told it fills the slots.
	if most := int64(perSecond * took.Seconds()); got.Load() > most {
		t.Errorf("the worker got %d requests in %v after its node had started again, want %d at most", got.Load(), took, most)
	}
	if after.watch.peerReports() == 0 {
		t.Error("the run shows nothing: the new node got no call")
	}
}

// TestWorkerThatStartsAgainIsNotLeaving lets a health probe tell that the worker takes requests again.
func TestWorkerThatStartsAgainIsNotLeaving(t *testing.T) {
	m := newMesh(t)
	node := m.addHandler("a", func(http.ResponseWriter, *http.Request) {})
	node.plane.ObserveWorker(http.Header{"Levertide-Worker-Leaving": {"1"}, "Levertide-Worker-Limit": {"nonsense"}}, time.Now())
	m.call(http.MethodGet, "/read", "").expect(t, http.StatusServiceUnavailable, "not-run")
	node.plane.ObserveWorker(http.Header{}, time.Now())
	second := newMesh(t)
	second.join("a", node.peers.Listener.Addr().String())
	second.call(http.MethodGet, "/read", "").expect(t, http.StatusOK, "")
}
