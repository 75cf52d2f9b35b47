package control

import (
	"time"

	"golang.org/x/time/rate"
)

// Limits of large answers, in bytes, and of the pause asked of a child. Answers
// below smallAnswer are never delayed.
const (
	smallAnswer           = 4 << 10
	largeAnswersPerSecond = 256 << 10
	largeAnswersBurst     = 1 << 20
	minimumRetryAfter     = 50 * time.Millisecond
	maximumRetryAfter     = 800 * time.Millisecond
)

// answerLimiter spreads large answers over time when many are requested at once.
type answerLimiter struct {
	bytes *rate.Limiter
}

func newAnswerLimiter() *answerLimiter {
	return &answerLimiter{
		bytes: rate.NewLimiter(largeAnswersPerSecond, largeAnswersBurst),
	}
}

// admit returns zero when an answer of this size may be sent now, and otherwise
// how long the child is to wait before it retries.
func (l *answerLimiter) admit(size int) time.Duration {
	if size < smallAnswer {
		return 0
	}
	reservation := l.bytes.ReserveN(now(), min(size, largeAnswersBurst))
	delay := reservation.Delay()
	if delay == 0 {
		return 0
	}
	reservation.Cancel()
	return min(max(delay, minimumRetryAfter), maximumRetryAfter)
}
