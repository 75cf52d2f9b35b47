package dataplane

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
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
