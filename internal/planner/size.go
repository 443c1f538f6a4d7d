package planner

import (
	"fmt"
	"math"
	"sort"

	"spurwinch/internal/fleet"
	"spurwinch/internal/load"
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
	exact        = 0.02 // of the multiple
	enough       = 3    // times that a limit is found reached before it counts
	lost         = 0.02 // of the service that a broken limit must cost, or it is only touched
)

// FirstToBreak finds the least multiple of the load at which some limit is reached and service suffers by it, and which
// limit that is. The limits that are reached at that multiple are told by time: what comes first.
func FirstToBreak(f *fleet.Fleet, l *load.Load, o Options, tell func(multiple float64)) (Broken, error) {
	if len(l.Sessions) == 0 {
		return Broken{None: true, Multiple: math.Inf(1), Service: 1}, nil
	}
	try := func(m float64) (Run, bool, error) {
		if tell != nil {
			tell(m)
		}
		r, err := Play(f, l.Scale(m, o.Seed), o)
		if err != nil {
			return r, false, err
		}
		hit := false
		for _, s := range r.Limits {
			hit = hit || s.Limit != limitNames[limitShare] && s.Limit != limitNames[limitServer] && s.Hits >= enough
		}
		return r, hit || r.Service < 1-10*lost, nil
	}
	lo, hi := 0.0, 1.0
	var at Run
	for {
		r, broken, err := try(hi)
		if err != nil {
			return Broken{}, err
		}
		if broken {
			at = r
			break
		}
		if lo = hi; hi >= mostMultiple {
			return Broken{None: true, Multiple: hi, Service: r.Service}, nil
		}
		hi *= 2
	}
	for hi-lo > max(exact, hi*exact) {
		mid := (lo + hi) / 2
		r, broken, err := try(mid)
		if err != nil {
			return Broken{}, err
		}
		if broken {
			hi, at = mid, r
		} else {
			lo = mid
		}
	}
	var reached []Seen
	for _, s := range at.Limits {
		if s.Hits >= enough {
			reached = append(reached, s)
		}
	}
	sort.SliceStable(reached, func(i, j int) bool { return reached[i].At < reached[j].At })
	b := Broken{Limit: "service", Where: "all", Multiple: hi, Service: at.Service}
	// A single server's load is a matter of a moment; what is full as a whole says more.
	for _, s := range reached {
		if s.Limit == limitNames[limitServer] || s.Limit == limitNames[limitShare] {
			continue
		}
		b.Limit, b.Where, b.AtS = s.Limit, s.Where, s.AtS
		return b, nil
	}
	if len(reached) > 0 {
		b.Limit, b.Where, b.AtS = reached[0].Limit, reached[0].Where, reached[0].AtS
	}
	return b, nil
}

// Size is a number of servers with the service expected of it.
type Size struct {
	Servers int            `json:"servers"`
	Kinds   map[string]int `json:"kinds"`
	Service Figure         `json:"service"`
}

// Sizing is the answer to how many servers a target needs.
type Sizing struct {
	Target   float64         `json:"target"`
	Reached  bool            `json:"reached"`
	Least    Size            `json:"least"`
	OneBelow map[string]Size `json:"one_below"` // by kind: the least fleet with one server of the kind less
	Tried    []Size          `json:"tried"`     // by servers
	Why      string          `json:"why,omitempty"`
}

func kinds(f *fleet.Fleet) map[string]int {
	out := map[string]int{}
	for _, s := range f.Servers {
		out[s.Kind] += s.Count
	}
	return out
}

// LeastServers finds the least fleet whose service reaches the target, in the proportions of the file first, then less one
// server of a kind at a time for as long as the target holds.
func LeastServers(f *fleet.Fleet, l *load.Load, o Options, target float64, reps, most int, tell func(string)) (Sizing, error) {
	out := Sizing{Target: target, OneBelow: map[string]Size{}}
	known := map[string]Figure{}
	service := func(c *fleet.Fleet) (Figure, error) {
		key := fmt.Sprint(c.Servers)
		if v, ok := known[key]; ok {
			return v, nil
		}
		if c.Count() == 0 {
			return Figure{}, nil
		}
		// Arithmetic first: what can't work needs no simulation.
		if b := Bounds(c, l); b.Service < target {
			known[key] = Figure{b.Service, 0, b.Service}
			return known[key], nil
		}
		r, err := Replicate(c, l, o, reps, nil)
		known[key] = r.Service
		if tell != nil {
			tell(fmt.Sprintf("%d servers: service %.3f", c.Count(), r.Service.Mean))
		}
		return r.Service, err
	}
	try := func(n int) (bool, error) {
		c := f.Resize(n)
		v, err := service(c)
		out.Tried = append(out.Tried, Size{n, kinds(c), v})
		return v.Mean >= target, err
	}
	lo, hi := 0, max(1, f.Count())
	for {
		ok, err := try(hi)
		if err != nil {
			return out, err
		}
		if ok {
			break
		}
		if lo = hi; hi >= most {
			out.Why = fmt.Sprintf("not with %d servers either: something other than their number limits the service", hi)
			out.sort()
			out.Least = out.Tried[len(out.Tried)-1]
			return out, nil
		}
		hi = min(most, hi*3/2+1)
	}
	for hi-lo > 1 {
		mid := (lo + hi) / 2
		ok, err := try(mid)
		if err != nil {
			return out, err
		}
		if ok {
			hi = mid
		} else {
			lo = mid
		}
	}
	best := f.Resize(hi)
	for again := true; again; {
		again = false
		for i := range best.Servers {
			if best.Servers[i].Count == 0 {
				continue
			}
			c := best.Clone()
			c.Servers[i].Count--
			v, err := service(c)
			if err != nil {
				return out, err
			}
			if v.Mean >= target {
				best, again = c, true
				break
			}
			k := best.Servers[i].Kind
			if old, ok := out.OneBelow[k]; !ok || v.Mean > old.Service.Mean || old.Servers != c.Count() {
				out.OneBelow[k] = Size{c.Count(), kinds(c), v}
			}
		}
	}
	for k, s := range out.OneBelow {
		if s.Servers != best.Count()-1 {
			delete(out.OneBelow, k)
		}
	}
	v, err := service(best)
	out.Reached, out.Least = true, Size{best.Count(), kinds(best), v}
	out.sort()
	return out, err
}

func (s *Sizing) sort() {
	sort.Slice(s.Tried, func(i, j int) bool { return s.Tried[i].Servers < s.Tried[j].Servers })
}

// LeastTotal finds the least number of servers in the file's proportions whose service reaches the target; most+1 where
// none does.
func LeastTotal(f *fleet.Fleet, l *load.Load, o Options, target float64, reps, most int) (int, error) {
	lo, hi := 0, f.Count()
	for {
		r, err := Replicate(f.Resize(hi), l, o, reps, nil)
		if err != nil {
			return 0, err
		}
		if r.Service.Mean >= target {
			break
		}
		if lo = hi; hi >= most {
			return most + 1, nil
		}
		hi = min(most, hi*3/2+1)
	}
	for hi-lo > 1 {
		mid := (lo + hi) / 2
		r, err := Replicate(f.Resize(mid), l, o, reps, nil)
		if err != nil {
			return 0, err
		}
		if r.Service.Mean >= target {
			hi = mid
		} else {
			lo = mid
		}
	}
	return hi, nil
}
