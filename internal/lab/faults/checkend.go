package faults

import (
	"fmt"
	"slices"
)

// Figures are measures of a run.
type Figures struct {
	Requests   int     `json:"requests"`
	Served     float64 `json:"served"`       // part of the requests that came up
	Crossed    float64 `json:"crossed"`      // part of the served that went to another zone
	Regions    float64 `json:"regions"`      // and to another region
	Worst      float64 `json:"worst"`        // least part served in any 5 s
	Reversals  int     `json:"reversals"`    // zones that turned back
	PeakOfRoom float64 `json:"peak"`         // most that a zone's hosts held, as part of what they bear
	ChangeHalf float64 `json:"change_p50_s"` // from a command to a policy in force at the last node
	Change99   float64 `json:"change_p99_s"`
	ChangeMost float64 `json:"change_longest_s"`
	OldPolicy  float64 `json:"old_policy_s"` // how long after a decision the policy before it was still in use, at most
	Spread     float64 `json:"spread_p99_s"`
	SpreadHalf float64 `json:"spread_p50_s"` // from the first node that took a plan to the others
}

func (c *checker) end(events []Event) {
	c.policyEnd(events)
	if c.calm[1] >= 100 && float64(c.calm[0]) > c.limits.Crossing*float64(c.calm[1])+3 {
		c.broken("plans (7)", 0, "%d of %d requests crossed zones although their own was well and had room", c.calm[0], c.calm[1])
	}
	served, all := 0, 0
	for _, e := range c.alone {
		if !c.pol.none[e.ID] { // but for what operators have refused without a lease
			if all++; e.Result == "up" {
				served++
			}
		}
	}
	if all >= 50 && float64(served) < 0.9*float64(all) {
		c.broken("plans (8)", 0, "with no voter left %d of %d requests were served, although every zone was well", served, all)
	}

	f := &c.v.Figures
	var up, crossed, far int
	windows := map[int][2]int{}
	for _, e := range c.answers {
		f.Requests++
		w := windows[int(e.At/5)]
		if w[1]++; e.Result == "up" {
			w[0]++
			up++
			if e.To != "" && e.To != e.Zone {
				crossed++
				if c.region[e.To] != c.region[e.Zone] {
					far++
				}
			}
		}
		windows[int(e.At/5)] = w
	}
	f.Worst = 1
	for _, w := range windows {
		if w[1] >= 10 {
			f.Worst = min(f.Worst, float64(w[0])/float64(w[1]))
		}
	}
	if f.Requests > 0 {
		f.Served = float64(up) / float64(f.Requests)
	}
	if up > 0 {
		f.Crossed, f.Regions = float64(crossed)/float64(up), float64(far)/float64(up)
	}
	slices.Sort(c.spread)
	if n := len(c.spread); n > 0 {
		f.SpreadHalf, f.Spread = c.spread[n/2], c.spread[min(n-1, n*99/100)]
	}
}

// Want holds that a run exercised what it was made for.
func (v *Verdict) Want(what map[string]int) {
	for k, n := range what {
		if v.Seen[k] < n {
			v.Violations = append(v.Violations, Violation{"exercise", 0, fmt.Sprintf("%s was seen %d times, wanted %d: this run shows nothing", k, v.Seen[k], n)})
		}
	}
}
