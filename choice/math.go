package choice

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Arithmetic without decisions.

func clamp(v, lo, hi float64) float64 { return max(lo, min(hi, v)) }

func hashOf(s string) uint64 { // FNV-1a
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

func mix(x uint64) uint64 { // splitmix64: neighbouring ids and groups get unrelated chances
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// fade is v after a time, decayed exponentially.
func fade(v float64, after, over time.Duration) float64 {
	return v * math.Exp(-float64(after)/float64(over))
}

func finite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }

func compareID(s *server, id ServerID) int { return strings.Compare(string(s.ID), string(id)) }

func relative(p, avg float64) float64 { return clamp((p-avg)/max(avg, 0.05), -1, 3) }

var never = math.Inf(1)

// lowest is the n servers with the lowest keys, lowest first; one whose key is never is not among them.
func lowest(all []*server, n int, key func(*server) float64) (picks []*server) {
	keys := make([]float64, 0, n+1)
	for _, s := range all {
		k := key(s)
		if i, _ := slices.BinarySearch(keys, k); k < never && i < n {
			keys, picks = slices.Insert(keys, i, k), slices.Insert(picks, i, s)
			keys, picks = keys[:min(n, len(keys))], picks[:min(n, len(picks))]
		}
	}
	return picks
}

// chanceOf turns a hash into a number between 0 and 1, neither of them.
func chanceOf(hash uint64) float64 { return (float64(mix(hash)>>11) + 0.5) / (1 << 53) }
