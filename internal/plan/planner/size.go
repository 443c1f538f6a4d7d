package planner

import (
	"fmt"
	"sort"
	"time"

	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

const (
	// targetMargin is how far below the target the highest reachable service must be before a run is ended early,
	// and how far below it the upper bound must be to rule a fleet out.
	targetMargin = 0.05
	// fullLoadReplications is the maximum number of replications of a whole load that was searched on a window of it.
	fullLoadReplications = 4
)

// Candidate is a fleet size with its expected service.
type Candidate struct {
	Servers int            `json:"servers"`
	Kinds   map[string]int `json:"kinds"`
	Service Figure         `json:"service"`
	// AtMost means that Service is an upper bound, because UpperBound ruled the fleet out without a simulation or
	// because a run ended as soon as the target was certainly out of reach.
	AtMost bool `json:"at_most"`
}

// Sizing is the result of a search for the number of servers that a target needs.
type Sizing struct {
	Target        float64              `json:"target"`
	Reached       bool                 `json:"reached"`
	Minimum       Candidate            `json:"least"`
	OneServerLess map[string]Candidate `json:"one_below"` // by kind, Minimum with one server of that kind less
	Tried         []Candidate          `json:"tried"`     // sorted by size, in the proportions of the fleet file
	FromS         float64              `json:"from_s"`    // window of the load on which the search ran
	ToS           float64              `json:"to_s"`
	FullLoad      *Figure              `json:"whole,omitempty"` // service over the whole load if a window was searched
	Reason        string               `json:"why,omitempty"`   // why the target is not reached
}

// SizeOptions configure the search for a fleet size.
type SizeOptions struct {
	Options
	Target       float64       // service to reach
	Replications int           // number of runs of each fleet
	MaxServers   int           // maximum fleet size
	Window       time.Duration // length of the busiest window on which a longer load is searched; 0 for the whole load
	Progress     func(string)  // called with each result; may be nil
}

// sizeSearch evaluates fleets and simulates each of them only once.
type sizeSearch struct {
	SizeOptions
	load      *workload.Load
	evaluated map[string]Candidate
	tried     []Candidate // in the proportions of the fleet file
}

// newSizeSearch returns a search and the time at which its window of the load begins.
func newSizeSearch(
	description *fleet.Fleet, load *workload.Load, options SizeOptions,
) (search *sizeSearch, from time.Duration) {
	window := load
	if options.Window > 0 {
		window, from = busiestPart(description, load, options.Window)
	}
	return &sizeSearch{SizeOptions: options, load: window, evaluated: map[string]Candidate{}}, from
}

// MinimumServers finds the smallest fleet whose service reaches the target. It first searches in the proportions of the
// fleet file, then removes one server of a kind at a time as long as the target is reached. The result misses the
// target if one more server of any kind is removed.
func MinimumServers(description *fleet.Fleet, load *workload.Load, options SizeOptions) (Sizing, error) {
	search, from := newSizeSearch(description, load, options)
	sizing := Sizing{
		Target:        options.Target,
		OneServerLess: map[string]Candidate{},
		FromS:         from.Seconds(),
		ToS:           (from + search.load.Length).Seconds(),
	}
	smallest, reached, err := search.smallestProportional(description)
	sizing.Tried = search.tried
	sort.Slice(sizing.Tried, func(i, j int) bool { return sizing.Tried[i].Servers < sizing.Tried[j].Servers })
	if err != nil {
		return sizing, err
	}
	if sizing.Minimum, err = search.evaluate(smallest); err != nil {
		return sizing, err
	}
	if !reached {
		sizing.Reason = search.explain(smallest)
		return sizing, nil
	}
	if smallest, err = search.reduce(smallest, &sizing); err != nil {
		return sizing, err
	}
	sizing.Reached = true
	if search.load != load {
		full, err := Replicate(smallest, load, options.Options, min(options.Replications, fullLoadReplications), nil)
		if err != nil {
			return sizing, err
		}
		sizing.FullLoad = &full.Service
	}
	return sizing, nil
}

// MinimumTotal returns the smallest number of servers in the proportions of the fleet file whose service reaches the
// target. It returns MaxServers + 1 if no number up to the maximum does.
func MinimumTotal(description *fleet.Fleet, load *workload.Load, options SizeOptions) (int, error) {
	search, _ := newSizeSearch(description, load, options)
	smallest, reached, err := search.smallestProportional(description)
	if err != nil || !reached {
		return options.MaxServers + 1, err
	}
	return smallest.ServerCount(), nil
}

// evaluate returns the size of a fleet with its expected service.
func (s *sizeSearch) evaluate(description *fleet.Fleet) (Candidate, error) {
	key := fmt.Sprint(description.ServerPools)
	if candidate, ok := s.evaluated[key]; ok {
		return candidate, nil
	}
	candidate := Candidate{Servers: description.ServerCount(), Kinds: map[string]int{}}
	for _, pool := range description.ServerPools {
		candidate.Kinds[pool.Kind] += pool.Count
	}
	if candidate.Servers > 0 {
		if err := s.addService(&candidate, description); err != nil {
			return candidate, err
		}
	}
	s.evaluated[key] = candidate
	if s.Progress != nil {
		s.Progress(fmt.Sprintf("%d servers: service %.1f%%", candidate.Servers, 100*candidate.Service.Mean))
	}
	return candidate, nil
}

// addService sets the expected service of a candidate and whether it is only an upper bound.
func (s *sizeSearch) addService(candidate *Candidate, description *fleet.Fleet) error {
	// No simulation is needed if the upper bound rules the fleet out.
	if bound := UpperBound(description, s.load); bound.Service < s.Target-targetMargin {
		candidate.Service = Figure{Mean: bound.Service, High: bound.Service}
		candidate.AtMost = true
		return nil
	}
	options := s.Options
	options.MinService = s.Target - targetMargin
	forecast, err := Replicate(description, s.load, options, s.Replications, nil)
	if err != nil {
		return err
	}
	candidate.Service = forecast.Service
	for i := range forecast.Runs {
		candidate.AtMost = candidate.AtMost || forecast.Runs[i].EndedEarly
	}
	return nil
}

// tryCount evaluates a number of servers in the proportions of the fleet file and reports whether they reach the
// target.
func (s *sizeSearch) tryCount(description *fleet.Fleet, servers int) (bool, error) {
	candidate, err := s.evaluate(description.Resize(servers))
	s.tried = append(s.tried, candidate)
	return candidate.Service.Mean >= s.Target, err
}

// smallestProportional finds the smallest fleet in the proportions of the fleet file that reaches the target. If none
// does, it returns the fleet with the maximum number of servers.
func (s *sizeSearch) smallestProportional(description *fleet.Fleet) (smallest *fleet.Fleet, reached bool, err error) {
	tooFew := 0
	enough := max(1, min(description.ServerCount(), s.MaxServers))
	for {
		reached, err = s.tryCount(description, enough)
		if err != nil {
			return nil, false, err
		}
		if reached {
			break
		}
		if enough >= s.MaxServers {
			return description.Resize(enough), false, nil
		}
		tooFew = enough
		enough = min(s.MaxServers, enough*3/2+1)
	}
	for enough-tooFew > 1 {
		middle := (tooFew + enough) / 2
		reached, err = s.tryCount(description, middle)
		if err != nil {
			return nil, false, err
		}
		if reached {
			enough = middle
		} else {
			tooFew = middle
		}
	}
	return description.Resize(enough), true, nil
}

// explain describes why even the maximum number of servers misses the target.
func (s *sizeSearch) explain(largest *fleet.Fleet) string {
	reason := fmt.Sprintf(
		"even %d servers miss the target, because something other than their number limits the service",
		largest.ServerCount())
	if infeasible := UpperBound(largest, s.load).Infeasible; len(infeasible) > 0 {
		reason += ": " + infeasible[0]
	}
	return reason
}

// reduce removes one server of a kind at a time as long as the target is reached. It records the smallest size, and by
// kind the sizes with one server less, in sizing.
func (s *sizeSearch) reduce(current *fleet.Fleet, sizing *Sizing) (*fleet.Fleet, error) {
	for {
		smaller, err := s.reduceOnce(current, sizing)
		if err != nil {
			return nil, err
		}
		if smaller == nil {
			return current, nil
		}
		current = smaller
	}
}

// reduceOnce returns a fleet with one server less that reaches the target, or nil if there is none.
func (s *sizeSearch) reduceOnce(current *fleet.Fleet, sizing *Sizing) (*fleet.Fleet, error) {
	clear(sizing.OneServerLess)
	for i := range current.MachineKinds {
		kind := current.MachineKinds[i].Name
		pool := largestPool(current, kind)
		if pool < 0 {
			continue
		}
		smaller := current.Clone()
		smaller.ServerPools[pool].Count--
		candidate, err := s.evaluate(smaller)
		if err != nil {
			return nil, err
		}
		if candidate.Service.Mean >= s.Target {
			sizing.Minimum = candidate
			return smaller, nil
		}
		sizing.OneServerLess[kind] = candidate
	}
	return nil, nil
}

// largestPool returns the index of the pool with the most servers of a kind, or -1 if no pool has any.
func largestPool(description *fleet.Fleet, kind string) int {
	largest := -1
	for i, pool := range description.ServerPools {
		if pool.Kind != kind || pool.Count == 0 {
			continue
		}
		if largest < 0 || pool.Count > description.ServerPools[largest].Count {
			largest = i
		}
	}
	return largest
}
