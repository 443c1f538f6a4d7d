package replay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// percentile is a quantile of lags, to a tenth of a percent.
func percentile(all []time.Duration, q float64) time.Duration {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for _, d := range all {
		h.RecordValue(max(1, d.Microseconds()))
	}
	return time.Duration(h.ValueAtQuantile(100*q)) * time.Microsecond
}
