package invariant

import (
	"math"
	"time"
)

// A server may by chance get more calls than its budget. The slack for this is added twice: as a number of standard
// deviations and as a number of calls. It is larger for a small budget.
const (
	smallBudget      = 30 // calls
	smallBudgetSlack = 3
	largeBudgetSlack = 2
)

// CallWindow counts the calls of one node to a server since the server started. One node alone must not send more calls
// than the budget allows to all nodes together.
type CallWindow struct {
	Window time.Duration // period that the budget covers
	calls  []call        // calls within Window, oldest first
}

type call struct {
	at     time.Time
	budget float64 // at the time of the call; the budget is learned and grows as the server warms up
}

// MaxSlowStartCalls returns the number of calls that a server in slow start may get within one window. It is the budget
// plus a slack for random variation.
func MaxSlowStartCalls(budget float64) float64 {
	slack := float64(largeBudgetSlack)
	if budget < smallBudget {
		slack = smallBudgetSlack
	}
	return budget + slack*math.Sqrt(budget) + slack
}

// allow counts one more call, unless there would then be more calls than the largest budget in the window allows. It
// reports whether it counted the call.
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
