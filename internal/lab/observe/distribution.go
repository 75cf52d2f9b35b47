package observe

import (
	"math"
	"slices"
	"time"
)

// Distribution summarizes measured values.
type Distribution struct {
	Count int     `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Distribute summarizes values; it returns nil when there are none, which JSON shows as null.
func Distribute(values []float64) *Distribution {
	if len(values) == 0 {
		return nil
	}
	sorted := slices.Sorted(slices.Values(values))
	total := 0.0
	for _, value := range sorted {
		total += value
	}
	return &Distribution{
		Count: len(sorted),
		Mean:  total / float64(len(sorted)),
		P50:   quantile(sorted, 0.50),
		P99:   quantile(sorted, 0.99),
		Max:   sorted[len(sorted)-1],
	}
}

// quantile returns the smallest value that at least the given share of all
// values does not exceed.
func quantile(sorted []float64, share float64) float64 {
	position := int(math.Ceil(share*float64(len(sorted)))) - 1
	return sorted[max(position, 0)]
}

// Milliseconds returns a duration in milliseconds.
func Milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
