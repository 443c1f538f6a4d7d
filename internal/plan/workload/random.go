package workload

import (
	"math"
	"math/rand/v2"
	"time"

	"spurwinch/internal/plan/fleet"
)

// Mix returns the splitmix64 hash of a number.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unitInterval maps a hash to a number in the half-open interval [0, 1).
func unitInterval(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// WeightedIndex draws an index of a list of weights. The probability of an index is proportional to its weight.
func WeightedIndex(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	remaining := rng.Float64() * sum
	for i, weight := range weights {
		remaining -= weight
		if remaining < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// Lognormal draws a log-normally distributed factor of mean 1. The spread is the standard deviation of its logarithm.
func Lognormal(rng *rand.Rand, spread float64) float64 {
	if spread == 0 {
		return 1
	}
	return math.Exp(spread*rng.NormFloat64() - spread*spread/2)
}

// minLoadDuration is the shortest time for which a connection's load stays the same.
const minLoadDuration = 10 * time.Millisecond

// LoadProcess is the random process of one connection's load. Each connection has a fixed level, around which
// the process draws a new load at random intervals.
type LoadProcess struct {
	rng   *rand.Rand
	level float64 // in standard connections
	class *fleet.Class
}

// NewLoadProcess starts the process of a connection of the given class. If the level is 0, it draws one.
func NewLoadProcess(seed uint64, class *fleet.Class, level float64) LoadProcess {
	process := LoadProcess{rng: rand.New(rand.NewPCG(seed, 5)), level: level, class: class}
	if level == 0 {
		process.level = class.Load * Lognormal(process.rng, class.LoadSpread)
	}
	return process
}

// Next returns the next load in standard connections and the time for which it stays the same. A time of 0 means
// forever.
func (p *LoadProcess) Next() (load float64, duration time.Duration) {
	if p.class.LoadVariation == 0 {
		return p.level, 0
	}
	load = p.level * Lognormal(p.rng, p.class.LoadVariation)
	duration = time.Duration(p.rng.ExpFloat64() * float64(p.class.LoadChangeInterval))
	return load, max(minLoadDuration, duration)
}
