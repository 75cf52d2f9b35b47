package dataplane

import "time"

// pace bounds how long one side may keep a transfer waiting. Only the time spent
// waiting for that side counts: it may add up to a grace, plus the time that the
// bytes transferred so far take at the slowest allowed rate. A transfer that keeps
// up that rate is never cut off, however long it takes.
type pace struct {
	grace       time.Duration
	rate        int64 // bytes per second
	waited      time.Duration
	transferred int64
}

// remaining returns how long the next step may take; zero or less when the
// bound is used up.
func (p *pace) remaining() time.Duration {
	earned := time.Duration(float64(p.transferred) / float64(p.rate) * float64(time.Second))
	return p.grace + earned - p.waited
}

// step records a step that transferred bytes and took some time.
func (p *pace) step(bytes int, took time.Duration) {
	p.transferred += int64(bytes)
	p.waited += took
}
