package failover

import (
	"math"
	"slices"
	"time"
)

// Known is a plan that may be in use, with the time when it became the newest here.
type Known struct {
	Number uint64
	Plan   *Plan
	From   time.Duration
}

const mostKnown = 128

// Knows is what a node has seen of plans: one that comes to lead must reckon with all that may be in use.
type Knows struct {
	Plans []Known // oldest first
}

// Add takes a plan in, and forgets those that were followed by another one so long ago that nobody crosses zones by them.
func (k *Knows) Add(number uint64, p *Plan, now time.Duration) {
	if n := len(k.Plans); n > 0 && k.Plans[n-1].Number >= number {
		return
	}
	k.Plans = append(k.Plans, Known{number, p, now})
	for len(k.Plans) > 1 && now-k.Plans[1].From > 2*forgetLost || len(k.Plans) > mostKnown {
		k.Plans = k.Plans[1:]
	}
}

// Newest tells which plan the log has now.
func (p *Planner) Newest(number uint64, plan *Plan, now time.Duration) {
	if n := len(p.known); n > 0 && p.known[n-1].Number >= number {
		return
	}
	p.known = append(p.known, Known{number, plan, now})
	p.proposed = 0
	least := number
	for i := range p.list.Len() {
		if at, lost := p.cut.LostSince(i); !lost || now-at < forgetLost {
			least = min(least, p.confirmed[i])
		}
	}
	// A plan that nobody can use any longer is of no more use here: all have said that they use a newer one, and crossings of those that
	// can't be heard are over.
	for len(p.known) > 1 && (p.known[1].Number <= least && now-p.known[1].From > p.rules.Life+time.Second+settles || len(p.known) > mostKnown) {
		p.known = p.known[1:]
	}
}

// mayCross says whether a zone's nodes may have connections in another one, by any plan known here.
func (p *Planner) mayCross(from, to string) bool {
	return slices.ContainsFunc(p.known, func(k Known) bool { return k.Plan.oldGrant(from, to) > 0 })
}

func (p *Plan) oldGrant(from, to string) float64 {
	a, b := p.zone(from), p.zone(to)
	if a < 0 || b < 0 {
		return 0
	}
	return p.grant(a, b)
}

// inUse is the most that each node may have from its zone in each zone, by its place, by any plan that it may still go by.
func (p *Planner) inUse(now time.Duration) [][]float64 {
	n := len(p.zones)
	place := map[string]int{}
	for i, z := range p.zones {
		place[z] = i
	}
	out := make([][]float64, p.list.Len())
	for i := range out {
		out[i] = make([]float64, n)
	}
	for i, k := range p.known {
		over := time.Duration(math.MaxInt64)
		if i+1 < len(p.known) {
			over = p.known[i+1].From
		}
		// Crossings of a plan end by each node's own clock some time after a newer one has come.
		crossed := now > over && now-over > p.rules.Life+time.Second
		at := make([]int, len(k.Plan.Zones)) // its zones' places here
		for z := range at {
			at[z] = -1
			if here, ok := place[k.Plan.Zones[z].Name]; ok {
				at[z] = here
			}
		}
		lost := map[int]bool{}
		for _, node := range k.Plan.Lost {
			lost[node] = true
		}
		for _, g := range k.Plan.Grants {
			z := k.Plan.Zones[g.From]
			if at[g.From] < 0 || at[g.To] < 0 || g.From != g.To && crossed {
				continue
			}
			for _, node := range p.list.InZone(z.Name) {
				if k.Number < p.confirmed[node] {
					continue // it has said that it uses a newer one
				}
				share := 0.0
				switch {
				case !lost[node] && z.Nodes > 0:
					share = float64(g.Load) / float64(z.Nodes)
				case g.From == g.To && z.Listed > 0:
					share = float64(g.Load) / float64(z.Listed)
				}
				out[node][at[g.To]] = max(out[node][at[g.To]], share)
			}
		}
	}
	// And by plans that this planner never knew: each plan tells what those before it had left in use.
	for i, k := range p.known {
		if p.follows(i) {
			continue
		}
		crossed := now-k.From > p.rules.Life+time.Second
		for from, z := range k.Plan.Zones[:min(len(k.Plan.Before), len(k.Plan.Zones))] {
			for _, node := range p.list.InZone(z.Name) {
				if p.confirmed[node] >= k.Number {
					continue
				}
				gone, forgotten := p.cut.LostSince(node)
				forgotten = forgotten && now-gone >= forgetLost
				for to, share := range k.Plan.Before[from] {
					here, ok := place[k.Plan.Zones[to].Name]
					if !ok || from != to && crossed || from == to && forgotten {
						continue
					}
					out[node][here] = max(out[node][here], float64(share))
				}
			}
		}
	}
	return out
}

// follows says that the plan before a known one is known too.
func (p *Planner) follows(i int) bool {
	return i > 0 && p.known[i].Plan.Prev == p.known[i-1].Number
}
