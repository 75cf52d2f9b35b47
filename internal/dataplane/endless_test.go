package dataplane

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/levertide/levertide/internal/testendless"
	"github.com/levertide/levertide/internal/testwait"
	"github.com/levertide/levertide/pkg/retry"
)

// TestAnswerWithoutEndIsCut guards against answers of workers that never end: the caller must have
// an answer by its deadline that does not look whole, the node close the connection, and other
// requests go on.
func TestAnswerWithoutEndIsCut(t *testing.T) {
	for name, form := range testendless.Forms {
		for _, drops := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, drops %t", name, drops), func(t *testing.T) {
				t.Parallel()
				var begun, ended atomic.Int64
				m := newMesh(t)
				back := m.addHandler("a", func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/always/other" {
						_, _ = io.WriteString(w, "other")
						return
					}
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					defer func() { _ = conn.Close() }()
					begun.Add(1)
					form.Write(conn, "", drops)
					ended.Add(1)
				})
				for _, path := range []string{"/never/1", "/always/1"} {
					done := make(chan struct{})
					go func() {
						defer close(done)
						if whole, status := m.looksWhole(t, path); whole && !form.Whole() {
							t.Errorf("%s: a whole answer with status %d", path, status)
						}
					}()
					m.call("GET", "/always/other", "").expectBody(t, "other")
					<-done
				}
				testwait.Eventually(t, "the node closes the connections", func() bool { return begun.Load() > 0 && ended.Load() == begun.Load() })
				testwait.Eventually(t, "the slots are free", func() bool { return back.plane.load() == 0 })
			})
		}
	}
}

// looksWhole reports whether a caller with a deadline of half a second gets a complete success.
func (m *mesh) looksWhole(t *testing.T, path string) (whole bool, status int) {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, m.entry.callers.URL+path, nil)
	if err != nil {
		t.Error(err)
		return false, 0
	}
	r.Host = testHost
	r.Header.Set(retry.DeadlineHeader, "500")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false, 0
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode < http.StatusMultipleChoices, response.StatusCode
}
