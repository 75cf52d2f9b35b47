package daemon

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/levertide/levertide/pkg/outcome"
)

func call(handler http.Handler) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/", nil))
	return recorder
}

func TestGate(t *testing.T) {
	runs := 0
	g := newGate("starting")
	handler := g.wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs++ }))
	for _, reason := range []string{"starting", "store down"} {
		g.set(false, reason)
		refused := call(handler)
		kind, why := outcome.FromResponse(refused.Header())
		if refused.Code != http.StatusServiceUnavailable || kind != outcome.NotRun || why != outcome.NotReady || refused.Body.String() != reason+"\n" {
			t.Errorf("%s: %v %q", reason, refused, refused.Body)
		}
		g.set(true, "")
		if answer := call(handler); answer.Code != http.StatusOK {
			t.Errorf("after ready: %v", answer)
		}
	}
	if runs != 2 {
		t.Errorf("the handler ran %d times, want 2", runs)
	}
}
