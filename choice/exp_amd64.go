package choice

import (
	"math"
	"time"
)

// The functions that need an exponential. exp_other.go has them for the other architectures.

// decay returns a value after exponential decay over the elapsed time.
func decay(value float64, elapsed, timeConstant time.Duration) float64 {
	return value * math.Exp(-float64(elapsed)/float64(timeConstant))
}

// update adjusts the pass rate at each tick: up if headroom is positive, down if it is negative.
func (a *admissionControl) update(headroom float64) {
	a.passRate = clamp(a.passRate*math.Exp(passRateGain*headroom*tick.Seconds()), minPassRate, 1)
}
