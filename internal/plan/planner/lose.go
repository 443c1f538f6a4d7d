package planner

import (
	"math"
	"time"

	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

// Phases is service before a loss, in the storm of returns after it, and once that is over; Whole is the last phase without
// the loss.
type Phases struct {
	Before float64 `json:"before"`
	Storm  float64 `json:"storm"`
	After  float64 `json:"after"`
	Whole  float64 `json:"without_loss"`
}

// Loss is what losing a centre does, in the mean of the replications.
type ZoneLoss struct {
	All         Phases            `json:"all"`
	Classes     map[string]Phases `json:"classes"`
	StormS      float64           `json:"storm_s"` // how long returns stay over what is usual
	ServersLost int               `json:"servers_lost"`
	NodesLost   int               `json:"nodes_lost"`
	Nodes       int               `json:"nodes"`
	Breaks      float64           `json:"breaks"`
	PeakBefore  float64           `json:"peak_requests_before"` // in a second
	PeakAfter   float64           `json:"peak_requests_after"`
	Series      []float64         `json:"-"` // service by second
}

const (
	leastStorm = 3 * time.Second
	quietFor   = 5   // seconds without more than that
	calm       = 1.5 // times the usual requests a second, over which the storm still is
)

// Lose plays the load with the loss that o names, and without.
func Lose(f *fleet.Fleet, l *workload.Load, o Options, reps int, say func(string, ...any)) (ZoneLoss, error) {
	say("with the loss")
	with, err := Replicate(f, l, o, reps, nil)
	if err != nil {
		return ZoneLoss{}, err
	}
	say("without the loss")
	o2 := o
	o2.Lose = ""
	without, err := Replicate(f, l, o2, reps, nil)
	if err != nil {
		return ZoneLoss{}, err
	}
	out := ZoneLoss{Classes: map[string]Phases{}}
	centre := f.Centre(o.Lose)
	for _, s := range f.ServerPools {
		if f.Centre(s.Zone) == centre {
			out.ServersLost += s.Count
		}
	}
	for _, n := range f.Nodes {
		out.Nodes += n.Count
		if f.Centre(n.Zone) == centre {
			out.NodesLost += n.Count
		}
	}
	storm := leastStorm
	usual := make([]float64, len(without.Runs[0].RequestsBySecond))
	hit := make([]float64, len(usual))
	n := float64(reps)
	for i := range with.Runs {
		out.Breaks += float64(with.Runs[i].Stats.Resets) / n
		for s := range usual {
			usual[s] += float64(without.Runs[i].RequestsBySecond[s]) / n
			hit[s] += float64(with.Runs[i].RequestsBySecond[s]) / n
		}
	}
	at := int(o.LoseAt / time.Second)
	for s := range hit {
		if s < at {
			if s >= int(settleTime/time.Second) {
				out.PeakBefore = math.Max(out.PeakBefore, hit[s])
			}
			continue
		}
		out.PeakAfter = math.Max(out.PeakAfter, hit[s])
	}
	// The storm is over at the beginning of the first quiet stretch.
	quiet := 0
	for s := at; s < len(hit) && quiet < quietFor; s++ {
		if quiet++; hit[s] > calm*usual[s]+1 {
			quiet, storm = 0, max(storm, time.Duration(s+1)*time.Second-o.LoseAt)
		}
	}
	storm = min(storm, l.Length-o.LoseAt)
	out.StormS = storm.Seconds()
	names := []string{}
	for _, c := range f.Classes {
		names = append(names, c.Name)
	}
	add := func(p *Phases, k int) {
		for i := range with.Runs {
			get := func(r Run, from, to time.Duration) float64 {
				all, classes := r.Account.ServiceBetween(from, to)
				if k >= 0 {
					return classes[k] / n
				}
				return all / n
			}
			p.Before += get(with.Runs[i], 0, o.LoseAt)
			p.Storm += get(with.Runs[i], o.LoseAt, o.LoseAt+storm)
			p.After += get(with.Runs[i], o.LoseAt+storm, l.Length)
			p.Whole += get(without.Runs[i], o.LoseAt+storm, l.Length)
		}
	}
	add(&out.All, -1)
	for k, name := range names {
		var p Phases
		add(&p, k)
		out.Classes[name] = p
	}
	out.Series = meanSeries(with.Runs)
	return out, nil
}

func meanSeries(runs []Run) []float64 {
	out := make([]float64, len(runs[0].ServiceBySecond))
	for i := range out {
		n := 0.0
		for _, r := range runs {
			if !math.IsNaN(r.ServiceBySecond[i]) {
				out[i], n = out[i]+r.ServiceBySecond[i], n+1
			}
		}
		out[i] /= n // not a number where nothing was wanted
	}
	return out
}
