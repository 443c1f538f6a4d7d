package choice

import (
	"math"
	"strings"
)

// Arithmetic helpers.

func clamp(value, low, high float64) float64 { return max(low, min(high, value)) }

// hashOf returns the FNV-1a hash of a text.
func hashOf(text string) uint64 {
	hash := uint64(14695981039346656037)
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * 1099511628211
	}
	return hash
}

// mix applies the finalizer of splitmix64, so that neighbouring IDs and groups get unrelated values.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// uniformFromHash converts a hash to a number between 0 and 1, both excluded.
func uniformFromHash(hash uint64) float64 { return (float64(mix(hash)>>11) + 0.5) / (1 << 53) }

func finite(value float64) bool { return !math.IsNaN(value) && !math.IsInf(value, 0) }

func compareID(server *serverEntry, id ServerID) int {
	return strings.Compare(string(server.ID), string(id))
}
