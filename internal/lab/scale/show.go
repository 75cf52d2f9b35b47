package scale

import (
	"fmt"

	"github.com/levertide/levertide/internal/lab/results"
)

// notMeasured stands in place of a figure that is nil.
const notMeasured = "not measured"

// showQuantiles shows times in one line.
func showQuantiles(figure *results.Quantiles) string {
	if figure == nil {
		return notMeasured
	}
	return fmt.Sprintf("p50 %.0f p99 %.0f max %.0f ms", figure.P50, figure.P99, figure.Max)
}

// showSpread shows rates in one line.
func showSpread(figure *results.Spread) string {
	if figure == nil {
		return notMeasured
	}
	return fmt.Sprintf("mean %.0f p99 %.0f max %.0f B/s", figure.Mean, figure.P99, figure.Max)
}

// showSeconds shows a time in seconds.
func showSeconds(figure *float64) string {
	if figure == nil {
		return notMeasured
	}
	return fmt.Sprintf("%.1f s", *figure)
}
