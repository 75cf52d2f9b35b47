package pace

import "time"

// shortestAlarm keeps an alarm that is set again and again, because a time is rounded, from taking
// all of a processor.
const shortestAlarm = 10 * time.Microsecond

// Alarm calls a function when the next start comes, for the owner of a Pacer that has requests
// waiting. The owner's mutex guards it; the zero value is not set.
type Alarm struct{ timer *time.Timer }

// Set sets the alarm, unless it is set. The function runs on a goroutine of its own, and must call
// Rung once it holds the owner's mutex.
func (a *Alarm) Set(after time.Duration, ring func()) {
	if a.timer == nil {
		a.timer = time.AfterFunc(max(after, shortestAlarm), ring)
	}
}

// Rung records that the function has been called.
func (a *Alarm) Rung() { a.timer = nil }

// Stop ends the alarm. A call in progress goes on.
func (a *Alarm) Stop() {
	if a.timer != nil {
		a.timer.Stop()
		a.timer = nil
	}
}
