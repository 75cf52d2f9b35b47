package quota

import (
	"math"
	"time"
)

// meterMemory is the time over which a meter averages.
const meterMemory = 500 * time.Millisecond

// meter measures a rate as an exponentially decaying average.
type meter struct {
	count float64
	at    time.Duration
}

func (m *meter) add(now time.Duration, n float64) {
	m.count = m.recent(now) + n
	m.at = now
}

// rate returns how much was added per second.
func (m *meter) rate(now time.Duration) float64 { return m.recent(now) / meterMemory.Seconds() }

func (m *meter) recent(now time.Duration) float64 {
	if m.count == 0 {
		return 0
	}
	return m.count * math.Exp(-(now-m.at).Seconds()/meterMemory.Seconds())
}
