package replay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLag    = time.Minute
	lagDigits = 3 // significant ones
)

// percentile returns a quantile, from 0 to 1, of timer lags, to a tenth of a percent. Lags under a microsecond count as
// one, those over a minute are left out.
func percentile(lags []time.Duration, quantile float64) time.Duration {
	histogram := hdrhistogram.New(1, int64(maxLag/time.Microsecond), lagDigits)
	for _, lag := range lags {
		_ = histogram.RecordValue(max(1, lag.Microseconds())) // as the comment says
	}
	return time.Duration(histogram.ValueAtQuantile(100*quantile)) * time.Microsecond
}
