package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

const (
	maxLoadFactor       = 16.0
	loadFactorPrecision = 0.05 // relative for load factors above 1, absolute below
	searchIntervals     = 5    // into which each round divides the range of load factors
	minTolerableService = 0.8  // a lower service counts as excessive load even if no limit was reached
	breakpointWindow    = time.Minute
)

// Breakpoint is the first limit that is reached as a load grows.
type Breakpoint struct {
	Limit      string  `json:"limit"`
	Where      string  `json:"where"`
	AtS        float64 `json:"at_s"`
	LoadFactor float64 `json:"multiple"` // of the given load
	Service    float64 `json:"service"`  // at that load factor
	None       bool    `json:"none"`     // no limit was reached up to the largest load factor tried
}

// FindBreakpoint finds the lowest load factor at which a limit is reached or the service falls below
// minTolerableService, and names the limit. If several limits are reached, it names the one that is reached first. A
// load that is more than 1.5 times as long as breakpointWindow is searched on its busiest window of that length. Each
// round simulates several load factors at once and calls onTry, which may be nil, with the largest of them.
func FindBreakpoint(
	description *fleet.Fleet, load *workload.Load, options Options, onTry func(loadFactor float64),
) (Breakpoint, error) {
	if len(load.Sessions) == 0 {
		return Breakpoint{None: true, LoadFactor: math.Inf(1), Service: 1}, nil
	}
	window, from := busiestPart(description, load, breakpointWindow)
	options.MinService = minTolerableService
	options.StopAtLimit = true
	search := &breakpointSearch{fleet: description, load: window, options: options, excessive: math.Inf(1)}
	for factors := []float64{1}; len(factors) > 0; factors = search.nextFactors() {
		if onTry != nil {
			onTry(factors[len(factors)-1])
		}
		if err := search.try(factors); err != nil {
			return Breakpoint{}, err
		}
		if search.tolerable >= maxLoadFactor && math.IsInf(search.excessive, 1) {
			return Breakpoint{None: true, LoadFactor: maxLoadFactor, Service: search.tolerableRun.Service}, nil
		}
	}
	return search.result(from), nil
}

// busiestPart returns the busiest window of a load and the time at which it begins. A load of up to 1.5 times the
// length of the window is returned whole.
func busiestPart(
	description *fleet.Fleet, load *workload.Load, window time.Duration,
) (part *workload.Load, from time.Duration) {
	if load.Length <= window*3/2 {
		return load, 0
	}
	from = load.BusiestWindow(description, window)
	return load.Cut(from, from+window), from
}

// breakpointSearch narrows the range of load factors that contains the breakpoint.
type breakpointSearch struct {
	fleet        *fleet.Fleet
	load         *workload.Load
	options      Options
	tolerable    float64 // largest load factor tried so far that is not excessive
	tolerableRun Run
	excessive    float64 // smallest load factor tried so far that is excessive; infinite if there is none yet
	excessiveRun Run
}

// try simulates the load factors, which are in ascending order, and narrows the range of the search to the factors on
// both sides of the breakpoint.
func (s *breakpointSearch) try(factors []float64) error {
	runs, err := inParallel(len(factors), func(i int) (Run, error) {
		return Simulate(s.fleet, s.load.Scale(factors[i], s.options.Seed), s.options)
	})
	if err != nil {
		return err
	}
	for i := range runs {
		if runs[i].LimitReached || runs[i].Service < minTolerableService {
			s.excessive = factors[i]
			s.excessiveRun = runs[i]
			return nil
		}
		s.tolerable = factors[i]
		s.tolerableRun = runs[i]
	}
	return nil
}

// nextFactors returns the load factors to try next, or none if the range is narrow enough.
func (s *breakpointSearch) nextFactors() []float64 {
	if math.IsInf(s.excessive, 1) { // one at a time, because a large multiple of a large load needs much memory
		return []float64{2 * s.tolerable}
	}
	width := s.excessive - s.tolerable
	if width <= max(loadFactorPrecision, s.excessive*loadFactorPrecision) {
		return nil
	}
	var factors []float64
	for i := 1; i < searchIntervals; i++ {
		factors = append(factors, s.tolerable+width*float64(i)/searchIntervals)
	}
	return factors
}

// result returns the breakpoint. from is the time in the whole load at which the search's window begins.
func (s *breakpointSearch) result(from time.Duration) Breakpoint {
	found := Breakpoint{Limit: "service", Where: "all", LoadFactor: s.excessive, Service: s.excessiveRun.Service}
	reached := slices.DeleteFunc(slices.Clone(s.excessiveRun.Limits), func(usage LimitUsage) bool {
		return usage.TimesReached < minTimesReached
	})
	slices.SortStableFunc(reached, func(a, b LimitUsage) int {
		return cmp.Or(cmp.Compare(a.limit.rank(), b.limit.rank()), cmp.Compare(a.At, b.At))
	})
	if len(reached) > 0 {
		found.Limit = reached[0].Limit
		found.Where = reached[0].Where
		found.AtS = from.Seconds() + reached[0].AtS
	}
	return found
}

// rank orders the limits that were reached in one run. The load of a single server is momentary and a quota only lowers
// a priority, so these two are reported only if no other limit was reached.
func (l limit) rank() int {
	switch l {
	case limitServer:
		return 1
	case limitQuota:
		return 2
	default:
		return 0
	}
}
