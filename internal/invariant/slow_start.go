package invariant

import (
	"math"
	"time"
)

// Chance may bring a server more calls than were meant for it. The slack for it, in standard deviations and in calls,
// is wider for a small budget.
const (
	smallBudget      = 30 // calls
	smallBudgetSlack = 3
	largeBudgetSlack = 2
)

// CallWindow counts what one node sent a server since its start. One node alone must never send what all nodes together
// may.
type CallWindow struct {
	Window time.Duration // of the budget
	calls  []call        // within Window, oldest first
}

type call struct {
	at     time.Time
	budget float64 // as it was then: it grows as the server warms up, and is learned
}

// MaxSlowStartCalls is the number of calls that a server in slow start may get within one window: its budget, and a
// slack for chance.
func MaxSlowStartCalls(budget float64) float64 {
	slack := float64(largeBudgetSlack)
	if budget < smallBudget {
		slack = smallBudgetSlack
	}
	return budget + slack*math.Sqrt(budget) + slack
}

// allow counts one more call, unless that would be more than the largest budget of the window allows.
func (w *CallWindow) allow(budget float64, now time.Time) bool {
	for len(w.calls) > 0 && now.Sub(w.calls[0].at) > w.Window {
		w.calls = w.calls[1:]
	}
	largest := budget
	for _, earlier := range w.calls {
		largest = max(largest, earlier.budget)
	}
	if float64(len(w.calls)+1) > MaxSlowStartCalls(largest) {
		return false
	}
	w.calls = append(w.calls, call{now, budget})
	return true
}
