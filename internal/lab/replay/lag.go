package replay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLag    = time.Minute
	lagDigits = 3 // significant digits
)

// percentile returns the given quantile (0 to 1) of timer lags with a precision of a tenth of a percent. Lags under a
// microsecond count as one microsecond; lags over a minute are ignored.
func percentile(lags []time.Duration, quantile float64) time.Duration {
	histogram := hdrhistogram.New(1, int64(maxLag/time.Microsecond), lagDigits)
	for _, lag := range lags {
		_ = histogram.RecordValue(max(1, lag.Microseconds())) // fails only for lags over maxLag, which are ignored
	}
	return time.Duration(histogram.ValueAtQuantile(100*quantile)) * time.Microsecond
}
