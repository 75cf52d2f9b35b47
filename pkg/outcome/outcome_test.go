package outcome

import (
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"
)

func TestEveryReasonHasAnOutcomeAndAStatus(t *testing.T) {
	for _, reason := range Reasons() {
		if reason.Status() < 400 {
			t.Errorf("%s: status %d is no failure", reason, reason.Status())
		}
		if got := Of(New(reason)); got != reason.Outcome() {
			t.Errorf("%s: Of(New) = %s, want %s", reason, got, reason.Outcome())
		}
		if got := Of(Wrap(reason, errors.New("cause"))); got != reason.Outcome() {
			t.Errorf("%s: Of(Wrap) = %s, want %s", reason, got, reason.Outcome())
		}
		if got := ReasonOf(New(reason)); got != reason {
			t.Errorf("ReasonOf = %s, want %s", got, reason)
		}
	}
}

func TestForeignErrorsAndReasonsAreUnknown(t *testing.T) {
	if Of(errors.New("x")) != Unknown {
		t.Error("foreign error is not Unknown")
	}
	if Reason("no such reason").Outcome() != Unknown {
		t.Error("undefined reason is not Unknown")
	}
	if Of(nil) != Answered {
		t.Error("nil is not Answered")
	}
}

func TestHeadersRoundTrip(t *testing.T) {
	for _, reason := range Reasons() {
		header := http.Header{}
		status := SetHeaders(header, WithRetryAfter(reason, 1500*time.Millisecond))
		gotOutcome, gotReason := FromResponse(header)
		if gotOutcome != reason.Outcome() || gotReason != reason || status != reason.Status() {
			t.Errorf("%s: read back %s %s %d", reason, gotOutcome, gotReason, status)
		}
		if header.Get("Retry-After") != "2" {
			t.Errorf("Retry-After = %q, want 2", header.Get("Retry-After"))
		}
	}
}

func TestFromResponseNeverClaimsNotRunInDoubt(t *testing.T) {
	cases := map[string][]string{
		"answered":   nil,
		"undefined":  {"maybe"},
		"repeated":   {"not-run", "not-run"},
		"other case": {"Not-Run"},
		"empty":      {""},
	}
	for name, values := range cases {
		header := http.Header{}
		if values != nil {
			header[Header] = values
		}
		if got, _ := FromResponse(header); got == NotRun {
			t.Errorf("%s: got not-run", name)
		}
	}
}

func TestOnlyTheFullMarkerIsARefusal(t *testing.T) {
	marked := http.Header{Header: {"not-run"}}
	if !RefusedByWorker(http.StatusServiceUnavailable, marked) {
		t.Error("503 with the marker is a refusal")
	}
	if RefusedByWorker(http.StatusInternalServerError, marked) {
		t.Error("500 with the marker is no refusal")
	}
	if RefusedByWorker(http.StatusServiceUnavailable, http.Header{}) {
		t.Error("503 without the marker is no refusal")
	}
}

// TestUnknownOutcomeHasNoStatusThatPromises guards against a status that callers take for the
// promise that a request did not run, where it may have run.
func TestUnknownOutcomeHasNoStatusThatPromises(t *testing.T) {
	promising := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	for _, reason := range Reasons() {
		if reason.Outcome() == Unknown && slices.Contains(promising, reason.Status()) {
			t.Errorf("%s: status %d", reason, reason.Status())
		}
	}
}
