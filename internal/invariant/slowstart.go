package invariant

import (
	"math"
	"time"
)

// fewCalls is the budget under which more chance is granted.
const fewCalls = 30

// CallWindow counts what one node sent a host since its start. One node alone must never send what all nodes together may.
type CallWindow struct {
	Window time.Duration // of the budget
	calls  []call        // within Window, oldest first
}

type call struct {
	at     time.Time
	budget float64 // as it was then: it grows as the host warms, and is learned
}

// MostCalls is what a host in slow start bears in the budget's time: the calls that the settings allow, and some for chance.
func MostCalls(budget float64) float64 {
	if budget < fewCalls {
		return budget + 3*math.Sqrt(budget) + 3
	}
	return budget + 2*math.Sqrt(budget) + 2
}

// allow counts one more call, unless that would be more than the largest budget of the window allows.
func (s *CallWindow) allow(budget float64, now time.Time) bool {
	for len(s.calls) > 0 && now.Sub(s.calls[0].at) > s.Window {
		s.calls = s.calls[1:]
	}
	largest := budget
	for _, c := range s.calls {
		largest = max(largest, c.budget)
	}
	if float64(len(s.calls)+1) > MostCalls(largest) {
		return false
	}
	s.calls = append(s.calls, call{now, budget})
	return true
}
