package planner

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"time"

	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

// Broken is the first limit that a growing load breaks.
type Broken struct {
	Limit    string  `json:"limit"`
	Where    string  `json:"where"`
	AtS      float64 `json:"at_s"`
	Multiple float64 `json:"multiple"` // of the load given
	Service  float64 `json:"service"`  // at that multiple
	None     bool    `json:"none"`     // no limit up to the multiple tried
}

const (
	mostMultiple = 16.0
	exact        = 0.05 // of the multiple
	enough       = 3    // times that a limit is found reached before it counts
	least        = 0.8  // service under which a load counts as too much though no limit was reached
	breakWindow  = time.Minute
)

// FirstToBreak finds the least multiple of the load at which some limit is reached or service is much the worse for it, and
// which limit that is; of several that are reached at that multiple, the one that is reached first. A longer load is looked
// at on its busiest stretch of breakWindow. Several multiples are tried at once.
func FirstToBreak(f *fleet.Fleet, l *workload.Load, o Options, tell func(multiple float64)) (Broken, error) {
	if len(l.Sessions) == 0 {
		return Broken{None: true, Multiple: math.Inf(1), Service: 1}, nil
	}
	from := time.Duration(0)
	if l.Length > breakWindow*3/2 {
		from = l.BusiestWindow(f, breakWindow)
		l = l.Cut(from, from+breakWindow)
	}
	o.MinService, o.StopAtLimit = least, true
	lo, hi := 0.0, math.Inf(1)
	var at, below Run
	for tries := []float64{1}; len(tries) > 0; {
		if tell != nil {
			tell(tries[len(tries)-1])
		}
		runs, err := each(len(tries), func(i int) (Run, error) { return Play(f, l.Scale(tries[i], o.Seed), o) })
		if err != nil {
			return Broken{}, err
		}
		for i, r := range runs {
			if broken(r) {
				hi, at = tries[i], r
				break
			}
			lo, below = tries[i], r
		}
		if tries = nil; math.IsInf(hi, 1) { // one after the other: a large multiple of a large load takes much room
			if lo >= mostMultiple {
				return Broken{None: true, Multiple: mostMultiple, Service: below.Service}, nil
			}
			tries = []float64{2 * lo}
			continue
		}
		for i := 1.0; i < 5 && hi-lo > max(exact, hi*exact); i++ {
			tries = append(tries, lo+(hi-lo)*i/5)
		}
	}
	b := Broken{Limit: "service", Where: "all", Multiple: hi, Service: at.Service}
	// A single server's load is a matter of a moment, and a share beyond is worth less but breaks nothing: they are named
	// only where nothing else was reached.
	rank := func(s LimitUsage) int {
		switch s.Limit {
		case limitNames[limitServer]:
			return 1
		case limitNames[limitShare]:
			return 2
		}
		return 0
	}
	reached := slices.DeleteFunc(slices.Clone(at.Limits), func(s LimitUsage) bool { return s.Reached < enough })
	slices.SortStableFunc(reached, func(a, b LimitUsage) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.At, b.At))
	})
	if len(reached) > 0 {
		b.Limit, b.Where, b.AtS = reached[0].Limit, reached[0].Where, from.Seconds()+reached[0].AtS
	}
	return b, nil
}

func broken(r Run) bool {
	return r.LimitReached || r.Service < least
}

// Size is a number of servers with the service expected of it.
type Size struct {
	Servers int            `json:"servers"`
	Kinds   map[string]int `json:"kinds"`
	Service Figure         `json:"service"`
	AtMost  bool           `json:"at_most"` // the search had enough once it was clear that the target is out of reach
}

// Sizing is the answer to how many servers a target needs.
type Sizing struct {
	Target   float64         `json:"target"`
	Reached  bool            `json:"reached"`
	Least    Size            `json:"least"`
	OneBelow map[string]Size `json:"one_below"` // by kind: the least fleet with one server of the kind less
	Tried    []Size          `json:"tried"`     // by servers, in the file's proportions
	FromS    float64         `json:"from_s"`    // the stretch of the load that was searched on
	ToS      float64         `json:"to_s"`
	Whole    *Figure         `json:"whole,omitempty"` // service of the least fleet over the whole load, where that is longer
	Why      string          `json:"why,omitempty"`
}

// SizeOptions say how a size is searched for.
type SizeOptions struct {
	Options
	Target float64
	Reps   int
	Most   int           // servers
	Window time.Duration // a longer load is searched on its busiest stretch of this length
	Tell   func(string)
}

// slackBelow is how far under the target a run may be sure to end before it is ended early.
const slackBelow = 0.05

func kinds(f *fleet.Fleet) map[string]int {
	out := map[string]int{}
	for _, s := range f.ServerPools {
		out[s.Kind] += s.Count
	}
	return out
}

// search evaluates fleets once each.
type search struct {
	SizeOptions
	load  *workload.Load
	known map[string]Size
}

func (s *search) size(f *fleet.Fleet) (Size, error) {
	key := fmt.Sprint(f.ServerPools)
	if v, ok := s.known[key]; ok {
		return v, nil
	}
	out := Size{Servers: f.Count(), Kinds: kinds(f)}
	if out.Servers > 0 {
		// Arithmetic first: what can't work needs no simulation.
		if b := UpperBound(f, s.load); b.Service < s.Target-slackBelow {
			out.Service, out.AtMost = Figure{Mean: b.Service, High: b.Service}, true
		} else {
			o := s.Options
			o.MinService = s.Target - slackBelow
			r, err := Replicate(f, s.load, o, s.Reps, nil)
			if err != nil {
				return out, err
			}
			out.Service = r.Service
			for _, run := range r.Runs {
				out.AtMost = out.AtMost || run.EndedEarly
			}
		}
	}
	s.known[key] = out
	if s.Tell != nil {
		s.Tell(fmt.Sprintf("%d servers: service %.1f%%", out.Servers, 100*out.Service.Mean))
	}
	return out, nil
}

// total finds the least number of servers in the file's proportions; ok is false where the most are too few.
func (s *search) total(f *fleet.Fleet) (least *fleet.Fleet, tried []Size, ok bool, err error) {
	try := func(n int) (bool, error) {
		v, err := s.size(f.Resize(n))
		tried = append(tried, v)
		return v.Service.Mean >= s.Target, err
	}
	lo, hi := 0, max(1, min(f.Count(), s.Most))
	for {
		enough, err := try(hi)
		if err != nil {
			return nil, tried, false, err
		}
		if enough {
			break
		}
		if hi >= s.Most {
			return f.Resize(hi), tried, false, nil
		}
		lo, hi = hi, min(s.Most, hi*3/2+1)
	}
	for hi-lo > 1 {
		mid := (lo + hi) / 2
		enough, err := try(mid)
		if err != nil {
			return nil, tried, false, err
		}
		if enough {
			hi = mid
		} else {
			lo = mid
		}
	}
	return f.Resize(hi), tried, true, nil
}

func newSearch(f *fleet.Fleet, l *workload.Load, o SizeOptions) (*search, time.Duration) {
	from := time.Duration(0)
	if o.Window > 0 && l.Length > o.Window*3/2 {
		from = l.BusiestWindow(f, o.Window)
		l = l.Cut(from, from+o.Window)
	}
	return &search{SizeOptions: o, load: l, known: map[string]Size{}}, from
}

// LeastServers finds the least fleet whose service reaches the target: in the proportions of the file first, then less one
// server of a kind at a time for as long as the target holds. So one less of any kind misses it.
func LeastServers(f *fleet.Fleet, l *workload.Load, o SizeOptions) (Sizing, error) {
	s, from := newSearch(f, l, o)
	out := Sizing{Target: o.Target, OneBelow: map[string]Size{}, FromS: from.Seconds(), ToS: (from + s.load.Length).Seconds()}
	best, tried, ok, err := s.total(f)
	out.Tried = tried
	sort.Slice(out.Tried, func(i, j int) bool { return out.Tried[i].Servers < out.Tried[j].Servers })
	if err != nil {
		return out, err
	}
	if out.Least, err = s.size(best); err != nil {
		return out, err
	}
	if !ok {
		out.Why = fmt.Sprintf("not with %d servers either: something other than their number limits the service", best.Count())
		if c := UpperBound(best, s.load).Cannot; len(c) > 0 {
			out.Why += ": " + c[0]
		}
		return out, nil
	}
	for again := true; again; {
		again = false
		clear(out.OneBelow)
		for k := range f.MachineKinds {
			name, most := f.MachineKinds[k].Name, -1
			for i, x := range best.ServerPools {
				if x.Kind == name && x.Count > 0 && (most < 0 || x.Count > best.ServerPools[most].Count) {
					most = i
				}
			}
			if most < 0 {
				continue
			}
			c := best.Clone()
			c.ServerPools[most].Count--
			v, err := s.size(c)
			if err != nil {
				return out, err
			}
			if v.Service.Mean >= s.Target {
				best, out.Least, again = c, v, true
				break
			}
			out.OneBelow[name] = v
		}
	}
	out.Reached = true
	if s.load != l {
		r, err := Replicate(best, l, o.Options, min(o.Reps, 4), nil)
		if err != nil {
			return out, err
		}
		out.Whole = &r.Service
	}
	return out, nil
}

// LeastTotal finds the least number of servers in the file's proportions whose service reaches the target; one more than
// the most where none does.
func LeastTotal(f *fleet.Fleet, l *workload.Load, o SizeOptions) (int, error) {
	s, _ := newSearch(f, l, o)
	best, _, ok, err := s.total(f)
	if err != nil || !ok {
		return o.Most + 1, err
	}
	return best.Count(), nil
}
