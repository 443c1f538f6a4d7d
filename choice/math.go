package choice

import (
	"math"
	"strings"
	"time"
)

// Arithmetic without decisions.

func clamp(value, low, high float64) float64 { return max(low, min(high, value)) }

// hashOf is FNV-1a.
func hashOf(text string) uint64 {
	hash := uint64(14695981039346656037)
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * 1099511628211
	}
	return hash
}

// mix is the finalizer of splitmix64: neighbouring ids and groups get unrelated values.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// chanceOf turns a hash into a number between 0 and 1, neither of them.
func chanceOf(hash uint64) float64 { return (float64(mix(hash)>>11) + 0.5) / (1 << 53) }

// fade is a value after a time, decayed exponentially.
func fade(value float64, after, over time.Duration) float64 {
	return value * math.Exp(-float64(after)/float64(over))
}

func finite(value float64) bool { return !math.IsNaN(value) && !math.IsInf(value, 0) }

func compareID(server *serverEntry, id ServerID) int {
	return strings.Compare(string(server.ID), string(id))
}
