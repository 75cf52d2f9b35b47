package hosted

import (
	"testing"
	"time"
)

// TestQuotaClockNeverGoesBack sets the time of day back after the machine was suspended: the
// suspension is then no longer reported.
func TestQuotaClockNeverGoesBack(t *testing.T) {
	suspended := 3 * time.Second
	q := &Quotas{started: time.Now(), config: QuotaConfig{Suspended: func(time.Time) time.Duration { return suspended }}}
	before := q.now()
	suspended = 0
	if now := q.now(); now < before {
		t.Errorf("the clock goes back by %v", before-now)
	}
}
