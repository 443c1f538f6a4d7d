package workload

import (
	"math"
	"math/rand/v2"
	"time"

	"spurwinch/internal/plan/fleet"
)

// Mix returns a hash of a number (splitmix64).
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unitInterval maps a hash to a number from 0 up to, not including, 1.
func unitInterval(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// WeightedIndex draws an index with a probability proportional to its weight.
func WeightedIndex(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	rest := rng.Float64() * sum
	for i, weight := range weights {
		rest -= weight
		if rest < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// Lognormal draws a factor of mean 1; spread is the standard deviation of its logarithm.
func Lognormal(rng *rand.Rand, spread float64) float64 {
	if spread == 0 {
		return 1
	}
	return math.Exp(spread*rng.NormFloat64() - spread*spread/2)
}

// minLoadStep is the shortest time that a connection's load stays the same.
const minLoadStep = 10 * time.Millisecond

// LoadProcess is the random process of one connection's load: a level of its own, and a variation about the level that
// is drawn again after random times.
type LoadProcess struct {
	rng   *rand.Rand
	level float64 // in standard connections
	class *fleet.Class
}

// NewLoadProcess starts the process of a connection of a class; known is its level, or 0 to draw one.
func NewLoadProcess(seed uint64, class *fleet.Class, known float64) LoadProcess {
	process := LoadProcess{rng: rand.New(rand.NewPCG(seed, 5)), level: known, class: class}
	if known == 0 {
		process.level = class.Load * Lognormal(process.rng, class.LoadSpread)
	}
	return process
}

// Next returns the load from now on, in standard connections, and how long it lasts; 0: forever.
func (p *LoadProcess) Next() (load float64, lasts time.Duration) {
	if p.class.LoadVariation == 0 {
		return p.level, 0
	}
	load = p.level * Lognormal(p.rng, p.class.LoadVariation)
	lasts = time.Duration(p.rng.ExpFloat64() * float64(p.class.LoadChangeInterval))
	return load, max(minLoadStep, lasts)
}
