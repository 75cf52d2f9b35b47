package forwarding

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

func readOf(path string) *http.Request {
	request, _ := http.NewRequest(http.MethodGet, "http://mesh.example"+path, nil)
	return request
}

// TestCallersThatComeBackAreKnownByTheirRequest refuses callers whose timeouts are all different,
// which then retry.
func TestCallersThatComeBackAreKnownByTheirRequest(t *testing.T) {
	var r refusals
	end := time.Now().Add(1130 * time.Millisecond)
	if r.isRetry(readOf("/read/1"), end) {
		t.Error("nobody was refused")
	}
	r.remember(readOf("/read/1"), end)
	for _, test := range []struct {
		path string
		late time.Duration
		want bool
	}{
		{"/read/1", 0, true},
		{"/read/1", 20 * time.Millisecond, true},
		{"/read/1", -20 * time.Millisecond, true},
		{"/read/1", 300 * time.Millisecond, false}, // another caller, with time of its own
		{"/read/2", 0, false},
	} {
		if got := r.isRetry(readOf(test.path), end.Add(test.late)); got != test.want {
			t.Errorf("%s, %v later: %v", test.path, test.late, got)
		}
	}
}

func TestRefusalsAreForgottenInTheirOrder(t *testing.T) {
	var r refusals
	end := time.Now().Add(time.Second)
	for n := range 2*rememberedRefusals + 1 {
		r.remember(readOf(fmt.Sprintf("/read/%d", n)), end)
	}
	if len(r.ends) != rememberedRefusals || len(r.order) != rememberedRefusals {
		t.Errorf("%d refusals are remembered, %d in order", len(r.ends), len(r.order))
	}
	if r.isRetry(readOf("/read/0"), end) || !r.isRetry(readOf(fmt.Sprintf("/read/%d", 2*rememberedRefusals)), end) {
		t.Error("not the oldest was forgotten")
	}
}

// TestRefusedCallerComesBack refuses a caller, which sends its request again.
func TestRefusedCallerComesBack(t *testing.T) {
	front := startNode(t, "front", "other", nil)
	configure(t, ledgerRoutes, front)
	first := callerRequest(t, front, http.MethodGet, "/read/1", nil)
	first.Header.Set("X-Timeout", "3917")
	began := time.Now()
	if status, header, _ := ask(t, first); status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Fatalf("%d %v", status, header)
	}
	again := callerRequest(t, front, http.MethodGet, "/read/1", nil)
	again.Header.Set("X-Timeout", fmt.Sprint(3917-time.Since(began).Milliseconds()))
	ask(t, again)
	if report := <-front.reports; report.ClientRetry {
		t.Error("the first attempt was taken for a retry")
	}
	if report := <-front.reports; !report.ClientRetry {
		t.Error("the retry was taken for a first attempt")
	}
}
