package failover

import "time"

// maxAdoptions is how many adoptions are remembered of a node. One that is forgotten counts as of a later report, which
// errs on the safe side: the plans before it count as in use for longer.
const maxAdoptions = 64

// adoption is when a node first reported that it had adopted a plan.
type adoption struct {
	plan uint64
	at   time.Duration
}

// adoptions are the plans that nodes have reported to have adopted, as the leader knows them.
type adoptions struct {
	newest  map[int]uint64 // by node
	history [][]adoption   // by node, oldest first
}

func newAdoptions(nodes int) adoptions {
	return adoptions{newest: map[int]uint64{}, history: make([][]adoption, nodes)}
}

// record takes in a node's report of the newest plan that it has adopted.
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

// newestOf is the newest plan that a node has reported to have adopted; 0: none.
func (a *adoptions) newestOf(node int) uint64 { return a.newest[node] }

// since is when a node first reported a plan of that number or a newer one. ok is false where it has not.
func (a *adoptions) since(node int, number uint64) (at time.Duration, ok bool) {
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
