package faults

import "slices"

// Figures are measures of a run. Times are in seconds.
type Figures struct {
	Requests        int     `json:"requests"`
	Served          float64 `json:"served"`           // fraction of the requests that were served
	Crossed         float64 `json:"crossed"`          // fraction of the served requests that another zone served
	Regions         float64 `json:"regions"`          // fraction of the served requests that another region served
	Worst           float64 `json:"worst"`            // lowest fraction that was served in a window of 5 s
	Reversals       int     `json:"reversals"`        // times that a zone was lost again after a recovery
	PeakUtilization float64 `json:"peak"`             // most connections of a zone, as a fraction of its capacity
	ChangeHalf      float64 `json:"change_p50_s"`     // from a command until the policy is in force at the last node
	Change99        float64 `json:"change_p99_s"`     // as above
	ChangeMost      float64 `json:"change_longest_s"` // as above
	OldPolicy       float64 `json:"old_policy_s"`     // longest use of a policy after the next one was decided
	Spread          float64 `json:"spread_p99_s"`     // from the first node that adopts a plan to each other node
	SpreadHalf      float64 `json:"spread_p50_s"`     // as above
}

const (
	figureWindow      = 5  // seconds
	minWindowRequests = 10 // windows with fewer requests are ignored
)

// ratio counts requests, and those of them that match a condition.
type ratio struct{ matching, all int }

// fraction returns the fraction of the requests that match. It is zero if there are no requests.
func (r ratio) fraction() float64 {
	if r.all == 0 {
		return 0
	}
	return float64(r.matching) / float64(r.all)
}

// add counts a request.
func (r *ratio) add(matches bool) {
	r.all++
	if matches {
		r.matching++
	}
}

// computeFigures computes the figures that need the complete history.
func (c *checker) computeFigures() {
	figures := &c.verdict.Figures
	var total, crossed, otherRegion ratio
	windows := map[int]ratio{}
	for _, answer := range c.requests.answers {
		isServed := answer.Result == ResultServed
		total.add(isServed)
		window := windows[int(answer.At/figureWindow)]
		window.add(isServed)
		windows[int(answer.At/figureWindow)] = window
		if isServed {
			crosses := answer.To != "" && answer.To != answer.Zone
			crossed.add(crosses)
			otherRegion.add(crosses && c.zone(answer.To).region != c.zone(answer.Zone).region)
		}
	}
	figures.Requests = total.all
	figures.Served = total.fraction()
	figures.Crossed = crossed.fraction()
	figures.Regions = otherRegion.fraction()
	figures.Worst = 1
	for _, window := range windows {
		if window.all >= minWindowRequests {
			figures.Worst = min(figures.Worst, window.fraction())
		}
	}
	slices.Sort(c.plans.spread)
	figures.SpreadHalf = percentile(c.plans.spread, 50)
	figures.Spread = percentile(c.plans.spread, 99)
}

// percentile returns a percentile of sorted values. It returns zero if there are no values.
func percentile(sorted []float64, percent int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, len(sorted)*percent/100)]
}
