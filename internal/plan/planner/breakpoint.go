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
	loadFactorPrecision = 0.05 // relative over 1, else absolute
	searchIntervals     = 5    // that the range of load factors is divided into at a time
	minTolerableService = 0.8  // under it a load counts as too much even where no limit was reached
	breakpointWindow    = time.Minute
)

// Breakpoint is the first limit that is reached as a load grows.
type Breakpoint struct {
	Limit      string  `json:"limit"`
	Where      string  `json:"where"`
	AtS        float64 `json:"at_s"`
	LoadFactor float64 `json:"multiple"` // of the load given
	Service    float64 `json:"service"`  // at that multiple
	None       bool    `json:"none"`     // no limit up to the multiple tried
}

// FindBreakpoint finds the least multiple of the load at which a limit is reached or the service is much worse for it,
// and which limit that is: of several, the one that is reached first. A longer load is searched on its busiest
// breakpointWindow. Several multiples are simulated at once; onTry, which may be nil, is called with the largest of
// them.
func FindBreakpoint(
	description *fleet.Fleet, load *workload.Load, options Options, onTry func(multiple float64),
) (Breakpoint, error) {
	if len(load.Sessions) == 0 {
		return Breakpoint{None: true, LoadFactor: math.Inf(1), Service: 1}, nil
	}
	window, from := busiestPart(description, load, breakpointWindow)
	options.MinService = minTolerableService
	options.StopAtLimit = true
	search := &breakpointSearch{fleet: description, load: window, options: options, tooMuch: math.Inf(1)}
	for factors := []float64{1}; len(factors) > 0; factors = search.nextFactors() {
		if onTry != nil {
			onTry(factors[len(factors)-1])
		}
		if err := search.try(factors); err != nil {
			return Breakpoint{}, err
		}
		if search.tolerable >= maxLoadFactor && math.IsInf(search.tooMuch, 1) {
			return Breakpoint{None: true, LoadFactor: maxLoadFactor, Service: search.tolerableRun.Service}, nil
		}
	}
	return search.result(from), nil
}

// busiestPart returns the busiest window of a load, and when it begins: of a load that is not much longer, all of it.
func busiestPart(
	description *fleet.Fleet, load *workload.Load, window time.Duration,
) (part *workload.Load, from time.Duration) {
	if load.Length <= window*3/2 {
		return load, 0
	}
	from = load.BusiestWindow(description, window)
	return load.Cut(from, from+window), from
}

// breakpointSearch narrows the range of load factors that has the breakpoint.
type breakpointSearch struct {
	fleet        *fleet.Fleet
	load         *workload.Load
	options      Options
	tolerable    float64 // largest factor so far that is none too much
	tolerableRun Run
	tooMuch      float64 // least factor so far that is; infinite: none yet
	tooMuchRun   Run
}

// try simulates factors, in ascending order, and narrows the range.
func (s *breakpointSearch) try(factors []float64) error {
	runs, err := inParallel(len(factors), func(i int) (Run, error) {
		return Simulate(s.fleet, s.load.Scale(factors[i], s.options.Seed), s.options)
	})
	if err != nil {
		return err
	}
	for i := range runs {
		if runs[i].LimitReached || runs[i].Service < minTolerableService {
			s.tooMuch = factors[i]
			s.tooMuchRun = runs[i]
			return nil
		}
		s.tolerable = factors[i]
		s.tolerableRun = runs[i]
	}
	return nil
}

// nextFactors returns the factors to try next, none where the range is narrow enough.
func (s *breakpointSearch) nextFactors() []float64 {
	if math.IsInf(s.tooMuch, 1) { // one after the other: a large multiple of a large load takes much memory
		return []float64{2 * s.tolerable}
	}
	width := s.tooMuch - s.tolerable
	if width <= max(loadFactorPrecision, s.tooMuch*loadFactorPrecision) {
		return nil
	}
	var factors []float64
	for i := 1; i < searchIntervals; i++ {
		factors = append(factors, s.tolerable+width*float64(i)/searchIntervals)
	}
	return factors
}

// result returns the breakpoint of a load that begins at a time of the given one.
func (s *breakpointSearch) result(from time.Duration) Breakpoint {
	found := Breakpoint{Limit: "service", Where: "all", LoadFactor: s.tooMuch, Service: s.tooMuchRun.Service}
	reached := slices.DeleteFunc(slices.Clone(s.tooMuchRun.Limits), func(usage LimitUsage) bool {
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

// rank orders limits of one run: the load of a single server is momentary, and a quota only lowers a priority, so both
// are reported only where nothing else was reached.
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
