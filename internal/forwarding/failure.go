package forwarding

import (
	"net/http"
	"strconv"
	"time"

	"github.com/levertide/levertide/pkg/outcome"
)

// statusOf returns the HTTP status of a failure. The statuses 408, 421, 429 and 503 guarantee
// that the call did not run and never will; an unknown outcome is reported by 502 and 504 only.
func statusOf(err error) int {
	reason := outcome.ReasonOf(err)
	switch {
	case reason == outcome.TooLarge:
		return http.StatusRequestEntityTooLarge
	case reason == outcome.NoRoute:
		return http.StatusNotFound
	case reason == outcome.Unauthenticated:
		return http.StatusUnauthorized
	case reason == outcome.QuotaExceeded:
		return http.StatusTooManyRequests
	case reason == outcome.Malformed, reason == outcome.Quarantined:
		// This is the only status after which callers do not retry.
		return http.StatusBadRequest
	case reason == outcome.BodyNotReceived:
		return http.StatusRequestTimeout
	case reason.Outcome() == outcome.NotRun:
		return http.StatusServiceUnavailable
	case reason == outcome.Timeout:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// writeFailure reports to a caller that its call got no answer, and after which time a retry is
// worthwhile. It returns the status, and that time if it was reported.
func writeFailure(w http.ResponseWriter, err error, wait time.Duration, closing bool) (int, time.Duration) {
	status := statusOf(err)
	header := w.Header()
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		wait = 0
	} else {
		header["Retry-After"] = []string{strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)}
	}
	message := outcome.ReasonOf(err).Message() + "\n"
	header["Content-Type"] = []string{"text/plain; charset=utf-8"}
	header["Content-Length"] = []string{strconv.Itoa(len(message))}
	if closing {
		header["Connection"] = []string{"close"}
	}
	w.WriteHeader(status)
	_, _ = w.Write([]byte(message))
	return status, wait
}

// retryAfter returns after which time a retry is worthwhile.
func retryAfter(err error) time.Duration {
	if wait := outcome.RetryAfterOf(err); wait > 0 {
		return max(min(wait, defaultRetryAfter), shortestRetryAfter)
	}
	return defaultRetryAfter
}
