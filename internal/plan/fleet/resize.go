package fleet

import (
	"math"
	"slices"
)

// roundingTolerance is added where numbers of servers are compared or rounded down, so that a floating-point error does
// not count as a remainder.
const roundingTolerance = 1e-9

// Clone returns a copy whose pools of servers and nodes can be changed. The copy shares the other tables.
func (f *Fleet) Clone() *Fleet {
	clone := *f
	clone.ServerPools = slices.Clone(f.ServerPools)
	clone.NodePools = slices.Clone(f.NodePools)
	return &clone
}

// Resize returns a copy with the given total number of servers, in the proportions of the file. It rounds up the pools
// with the largest remainders.
func (f *Fleet) Resize(servers int) *Fleet {
	resized := f.Clone()
	originalCount := float64(f.ServerCount())
	if originalCount == 0 {
		resized.ServerPools[0].Count = servers
		return resized
	}
	missing := servers
	remainders := make([]float64, len(resized.ServerPools))
	for i := range resized.ServerPools {
		pool := &resized.ServerPools[i]
		exact := float64(servers) * float64(pool.Count) / originalCount
		pool.Count = int(math.Floor(exact + roundingTolerance))
		remainders[i] = exact - float64(pool.Count)
		missing -= pool.Count
	}
	for ; missing > 0; missing-- {
		largest := 0
		for i := range remainders {
			if remainders[i] > remainders[largest]+roundingTolerance {
				largest = i
			}
		}
		resized.ServerPools[largest].Count++
		remainders[largest] = -1
	}
	return resized
}
