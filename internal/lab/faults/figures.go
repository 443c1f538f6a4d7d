package faults

import "slices"

// Figures are measures of a run. Times are in seconds.
type Figures struct {
	Requests        int     `json:"requests"`
	Served          float64 `json:"served"`           // part of the requests that were served
	Crossed         float64 `json:"crossed"`          // part of the served that went to another zone
	Regions         float64 `json:"regions"`          // and to another region
	Worst           float64 `json:"worst"`            // least part served in a window of 5 s
	Reversals       int     `json:"reversals"`        // zones that were lost again after a recovery
	PeakUtilization float64 `json:"peak"`             // most connections of a zone, as part of its capacity
	ChangeHalf      float64 `json:"change_p50_s"`     // from a command to a policy in force at the last node
	Change99        float64 `json:"change_p99_s"`     // as above
	ChangeMost      float64 `json:"change_longest_s"` // as above
	OldPolicy       float64 `json:"old_policy_s"`     // longest use of a policy after the next was decided
	Spread          float64 `json:"spread_p99_s"`     // from the first node that adopted a plan to the others
	SpreadHalf      float64 `json:"spread_p50_s"`     // as above
}

const (
	figureWindow      = 5  // seconds
	minWindowRequests = 10 // of a window that counts
)

// served counts requests and those of them that were served.
type served struct{ served, all int }

// fraction is the part of the requests that were served; zero, where there are none.
func (s served) fraction() float64 {
	if s.all == 0 {
		return 0
	}
	return float64(s.served) / float64(s.all)
}

// add counts a request.
func (s *served) add(isServed bool) {
	s.all++
	if isServed {
		s.served++
	}
}

// computeFigures computes the measures that only the complete history gives.
func (c *checker) computeFigures() {
	figures := &c.verdict.Figures
	var total, crossed, otherRegion served
	windows := map[int]served{}
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

// percentile returns a percentile of sorted values; zero, where there are none.
func percentile(sorted []float64, percent int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, len(sorted)*percent/100)]
}
