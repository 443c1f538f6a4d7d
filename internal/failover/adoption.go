package failover

import "time"

// maxAdoptions is the number of adoptions kept for each node. An adoption that was dropped counts from the time of a
// later report, which is safe: the plans before it only count as in use for longer.
const maxAdoptions = 64

// adoption is a plan and the time at which a node first reported that it had adopted it.
type adoption struct {
	plan uint64
	at   time.Duration
}

// adoptions holds the plans that nodes have reported to the leader as adopted.
type adoptions struct {
	newest  map[int]uint64 // by node: number of its newest plan
	history [][]adoption   // by node, oldest first
}

func newAdoptions(nodes int) adoptions {
	return adoptions{newest: map[int]uint64{}, history: make([][]adoption, nodes)}
}

// record processes a node's report of the newest plan that it has adopted.
func (a *adoptions) record(node int, plan uint64, now time.Duration) {
	if plan <= a.newest[node] {
		return
	}
	a.newest[node] = plan
	history := append(a.history[node], adoption{plan, now})
	if len(history) > maxAdoptions {
		history = history[1:]
	}
	a.history[node] = history
}

// newestPlanOf returns the number of the newest plan that a node has reported as adopted, or 0 if it has reported none.
func (a *adoptions) newestPlanOf(node int) uint64 { return a.newest[node] }

// firstReportOf returns when a node first reported that it had adopted the plan with a number or a newer plan. ok is
// false if it has reported neither.
func (a *adoptions) firstReportOf(node int, number uint64) (at time.Duration, ok bool) {
	if node >= len(a.history) {
		return 0, false
	}
	for _, adopted := range a.history[node] {
		if adopted.plan >= number {
			return adopted.at, true
		}
	}
	return 0, false
}
