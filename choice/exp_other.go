//go:build !amd64

package choice

import (
	"math"
	"time"
)

// The functions that need an exponential, as in exp_amd64.go, but with exp instead of math.Exp.

// decay returns a value after exponential decay over the elapsed time.
func decay(value float64, elapsed, timeConstant time.Duration) float64 {
	return value * exp(-float64(elapsed)/float64(timeConstant))
}

// update adjusts the pass rate at each tick: up if headroom is positive, down if it is negative.
func (a *admissionControl) update(headroom float64) {
	a.passRate = clamp(a.passRate*exp(passRateGain*headroom*tick.Seconds()), minPassRate, 1)
}

// Constants of exp. ln2Upper and ln2Lower add up to the natural logarithm of 2.
const (
	ln2Upper = 0.69314718055966295651160180568695068359375
	ln2Lower = 0.28235290563031577122588448175013436025525412068e-12
	maxExp   = 700 // for arguments beyond plus or minus this, exp uses math.Exp
)

// exp returns e to the given power. math.Exp uses another algorithm on each architecture, and the results differ in the
// last bit. So that decisions are the same everywhere, exp takes the steps that math.Exp takes on amd64.
func exp(power float64) float64 {
	if math.IsNaN(power) || math.Abs(power) > maxExp {
		return math.Exp(power)
	}
	exponent := math.RoundToEven(power * math.Log2E)
	rest := math.FMA(-exponent, ln2Upper, power)
	rest = math.FMA(-exponent, ln2Lower, rest) / 16

	// The Taylor series of (e^rest - 1) / rest.
	series := 1.0 / 40320
	for _, coefficient := range [...]float64{1.0 / 5040, 1.0 / 720, 1.0 / 120, 1.0 / 24, 1.0 / 6, 0.5, 1} {
		series = math.FMA(series, rest, coefficient)
	}
	result := rest * series // less 1

	// Each step squares the result; the last one adds the 1.
	for range 3 {
		result *= result + 2
	}
	return math.Ldexp(math.FMA(result+2, result, 1), int(exponent))
}
