package planner

import (
	"fmt"
	"sort"
	"time"

	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

const (
	// targetMargin is how far under the target a run must be sure to end before it is ended early.
	targetMargin = 0.05
	// fullLoadReplications is the most replications over the whole of a load that was searched on a window of it.
	fullLoadReplications = 4
)

// Candidate is a number of servers with the service that is expected of it.
type Candidate struct {
	Servers int            `json:"servers"`
	Kinds   map[string]int `json:"kinds"`
	Service Figure         `json:"service"`
	AtMost  bool           `json:"at_most"` // the target is out of reach, and the runs ended as soon as that was sure
}

// Sizing is the answer to how many servers a target needs.
type Sizing struct {
	Target        float64              `json:"target"`
	Reached       bool                 `json:"reached"`
	Minimum       Candidate            `json:"least"`
	OneServerLess map[string]Candidate `json:"one_below"` // by kind: the least fleet with one server of the kind less
	Tried         []Candidate          `json:"tried"`     // by servers, in the file's proportions
	FromS         float64              `json:"from_s"`    // the window of the load that was searched on
	ToS           float64              `json:"to_s"`
	FullLoad      *Figure              `json:"whole,omitempty"` // service over all of a longer load
	Reason        string               `json:"why,omitempty"`
}

// SizeOptions say how a size is searched for.
type SizeOptions struct {
	Options
	Target       float64       // service
	Replications int           // replications
	MaxServers   int           // servers
	Window       time.Duration // a longer load is searched on its busiest window of this length; 0: on all of it
	Progress     func(string)  // called with each result; may be nil
}

// sizeSearch evaluates fleets, each size once.
type sizeSearch struct {
	SizeOptions
	load      *workload.Load
	evaluated map[string]Candidate
	tried     []Candidate // in the file's proportions
}

// newSizeSearch returns a search, and when its window of the load begins.
func newSizeSearch(
	description *fleet.Fleet, load *workload.Load, options SizeOptions,
) (search *sizeSearch, from time.Duration) {
	window := load
	if options.Window > 0 {
		window, from = busiestPart(description, load, options.Window)
	}
	return &sizeSearch{SizeOptions: options, load: window, evaluated: map[string]Candidate{}}, from
}

// MinimumServers finds the least fleet whose service reaches the target: in the proportions of the file first, then
// with one server of a kind less at a time for as long as the target is reached. One less of any kind then misses it.
func MinimumServers(description *fleet.Fleet, load *workload.Load, options SizeOptions) (Sizing, error) {
	search, from := newSizeSearch(description, load, options)
	sizing := Sizing{
		Target:        options.Target,
		OneServerLess: map[string]Candidate{},
		FromS:         from.Seconds(),
		ToS:           (from + search.load.Length).Seconds(),
	}
	least, reached, err := search.leastProportional(description)
	sizing.Tried = search.tried
	sort.Slice(sizing.Tried, func(i, j int) bool { return sizing.Tried[i].Servers < sizing.Tried[j].Servers })
	if err != nil {
		return sizing, err
	}
	if sizing.Minimum, err = search.evaluate(least); err != nil {
		return sizing, err
	}
	if !reached {
		sizing.Reason = search.explain(least)
		return sizing, nil
	}
	if least, err = search.reduce(least, &sizing); err != nil {
		return sizing, err
	}
	sizing.Reached = true
	if search.load != load {
		full, err := Replicate(least, load, options.Options, min(options.Replications, fullLoadReplications), nil)
		if err != nil {
			return sizing, err
		}
		sizing.FullLoad = &full.Service
	}
	return sizing, nil
}

// MinimumTotal finds the least number of servers in the file's proportions whose service reaches the target; one more
// than the maximum where none does.
func MinimumTotal(description *fleet.Fleet, load *workload.Load, options SizeOptions) (int, error) {
	search, _ := newSizeSearch(description, load, options)
	least, reached, err := search.leastProportional(description)
	if err != nil || !reached {
		return options.MaxServers + 1, err
	}
	return least.ServerCount(), nil
}

// evaluate returns the size of a fleet with its service.
func (s *sizeSearch) evaluate(description *fleet.Fleet) (Candidate, error) {
	key := fmt.Sprint(description.ServerPools)
	if size, ok := s.evaluated[key]; ok {
		return size, nil
	}
	size := Candidate{Servers: description.ServerCount(), Kinds: map[string]int{}}
	for _, pool := range description.ServerPools {
		size.Kinds[pool.Kind] += pool.Count
	}
	if size.Servers > 0 {
		if err := s.addService(&size, description); err != nil {
			return size, err
		}
	}
	s.evaluated[key] = size
	if s.Progress != nil {
		s.Progress(fmt.Sprintf("%d servers: service %.1f%%", size.Servers, 100*size.Service.Mean))
	}
	return size, nil
}

func (s *sizeSearch) addService(size *Candidate, description *fleet.Fleet) error {
	// What arithmetic rules out needs no simulation.
	if bound := UpperBound(description, s.load); bound.Service < s.Target-targetMargin {
		size.Service = Figure{Mean: bound.Service, High: bound.Service}
		size.AtMost = true
		return nil
	}
	options := s.Options
	options.MinService = s.Target - targetMargin
	forecast, err := Replicate(description, s.load, options, s.Replications, nil)
	if err != nil {
		return err
	}
	size.Service = forecast.Service
	for i := range forecast.Runs {
		size.AtMost = size.AtMost || forecast.Runs[i].EndedEarly
	}
	return nil
}

// tryCount evaluates so many servers in the file's proportions, and reports whether they reach the target.
func (s *sizeSearch) tryCount(description *fleet.Fleet, servers int) (bool, error) {
	size, err := s.evaluate(description.Resize(servers))
	s.tried = append(s.tried, size)
	return size.Service.Mean >= s.Target, err
}

// leastProportional finds the least fleet in the file's proportions that reaches the target, or the one with the most
// servers where that is too few.
func (s *sizeSearch) leastProportional(description *fleet.Fleet) (least *fleet.Fleet, reached bool, err error) {
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

// explain says why the most servers miss the target.
func (s *sizeSearch) explain(most *fleet.Fleet) string {
	reason := fmt.Sprintf("not with %d servers either: something other than their number limits the service",
		most.ServerCount())
	if cannot := UpperBound(most, s.load).Infeasible; len(cannot) > 0 {
		reason += ": " + cannot[0]
	}
	return reason
}

// reduce takes servers of single kinds away for as long as the target is reached. It records the least size, and those
// with one server less.
func (s *sizeSearch) reduce(least *fleet.Fleet, sizing *Sizing) (*fleet.Fleet, error) {
	for {
		smaller, err := s.reduceOnce(least, sizing)
		if err != nil {
			return nil, err
		}
		if smaller == nil {
			return least, nil
		}
		least = smaller
	}
}

// reduceOnce returns the fleet with one server less that reaches the target, or nil where none does.
func (s *sizeSearch) reduceOnce(least *fleet.Fleet, sizing *Sizing) (*fleet.Fleet, error) {
	clear(sizing.OneServerLess)
	for i := range least.MachineKinds {
		kind := least.MachineKinds[i].Name
		pool := largestPool(least, kind)
		if pool < 0 {
			continue
		}
		smaller := least.Clone()
		smaller.ServerPools[pool].Count--
		size, err := s.evaluate(smaller)
		if err != nil {
			return nil, err
		}
		if size.Service.Mean >= s.Target {
			sizing.Minimum = size
			return smaller, nil
		}
		sizing.OneServerLess[kind] = size
	}
	return nil, nil
}

// largestPool returns the index of the pool with the most servers of a kind, or -1 where it has none.
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
