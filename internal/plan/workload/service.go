package workload

import (
	"container/heap"
	"math"
	"time"

	"spurwinch/internal/plan/fleet"
)

// Worths is what a second of each session is worth: its class's worth, less for one that comes while its edition holds
// more sessions than its share. It hangs on the load alone, not on how it is served.
func Priorities(f *fleet.Fleet, l *Load) []float64 {
	out := make([]float64, len(l.Sessions))
	held := make([]int, max(1, len(f.Editions)))
	var ends departureQueue
	for i, s := range l.Sessions {
		for len(ends) > 0 && ends[0].at <= s.Arrival {
			held[heap.Pop(&ends).(departure).edition]--
		}
		out[i] = f.Classes[s.Class].Priority
		if s.Tenant < 0 {
			continue
		}
		if float64(held[s.Tenant]) >= f.Quota(s.Tenant) {
			out[i] *= f.General.OverQuotaPriority
		}
		held[s.Tenant]++
		heap.Push(&ends, departure{s.Arrival + s.Lifetime, s.Tenant})
	}
	return out
}

type departure struct {
	at      time.Duration
	edition int
}

type departureQueue []departure

func (e departureQueue) Len() int           { return len(e) }
func (e departureQueue) Less(i, j int) bool { return e[i].at < e[j].at }
func (e departureQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *departureQueue) Push(x any)        { *e = append(*e, x.(departure)) }
func (e *departureQueue) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// Account adds up the worth of the seconds that were wanted and of those that were well served.
type Account struct {
	Demand, ServedTotal            [][]float64 // by class and edition
	DemandBySecond, ServedBySecond [][]float64 // by second and class
}

// NewAccount makes an account for a load.
func NewAccount(f *fleet.Fleet, length time.Duration) *Account {
	grid := func(n, m int) [][]float64 {
		g := make([][]float64, n)
		for i := range g {
			g[i] = make([]float64, m)
		}
		return g
	}
	n, seconds := len(f.Classes), int(length/time.Second)+1
	return &Account{grid(n, max(1, len(f.Editions))), grid(n, max(1, len(f.Editions))), grid(seconds, n), grid(seconds, n)}
}

// Wanted fills in what the sessions want.
func (a *Account) AddDemand(l *Load, worths []float64) {
	for i, s := range l.Sessions {
		end := min(s.Arrival+s.Lifetime, l.Length)
		a.Demand[s.Class][max(0, s.Tenant)] += worths[i] * (end - s.Arrival).Seconds()
		for t := s.Arrival; t < end; {
			sec := int(t / time.Second)
			next := min(end, time.Duration(sec+1)*time.Second)
			a.DemandBySecond[sec][s.Class] += worths[i] * (next - t).Seconds()
			t = next
		}
	}
}

// Served adds well-served worth at a time.
func (a *Account) AddServed(at time.Duration, class, edition int, worth float64) {
	a.ServedTotal[class][max(0, edition)] += worth
	a.ServedBySecond[min(max(0, int(at/time.Second)), len(a.ServedBySecond)-1)][class] += worth
}

// Lost is all the worth that is wanted, and what of it was not well served up to a time.
func (a *Account) LostUntil(until time.Duration) (all, lost float64) {
	for i := range a.DemandBySecond {
		for k := range a.Demand {
			all += a.DemandBySecond[i][k]
			if time.Duration(i+1)*time.Second <= until {
				lost += a.DemandBySecond[i][k] - a.ServedBySecond[i][k]
			}
		}
	}
	return all, lost
}

// ratio is 1 where nothing was wanted: nobody was served badly.
func ratio(got, want float64) float64 {
	if want <= 0 {
		return 1
	}
	return min(1, got/want)
}

// Service is the part that was well served, in all, by class and by edition.
func (a *Account) Service() (all float64, classes, editions []float64) {
	want, got := 0.0, 0.0
	ew, eg := make([]float64, len(a.Demand[0])), make([]float64, len(a.Demand[0]))
	for k := range a.Demand {
		cw, cg := 0.0, 0.0
		for e := range a.Demand[k] {
			cw, cg = cw+a.Demand[k][e], cg+a.ServedTotal[k][e]
			ew[e], eg[e] = ew[e]+a.Demand[k][e], eg[e]+a.ServedTotal[k][e]
		}
		want, got = want+cw, got+cg
		classes = append(classes, ratio(cg, cw))
	}
	for e := range ew {
		editions = append(editions, ratio(eg[e], ew[e]))
	}
	return ratio(got, want), classes, editions
}

// Between is the part well served from one time to another, in all and by class.
func (a *Account) ServiceBetween(from, to time.Duration) (all float64, classes []float64) {
	n := len(a.Demand)
	w, g := make([]float64, n), make([]float64, n)
	want, got := 0.0, 0.0
	for i := int(from / time.Second); i < min(int(to/time.Second), len(a.DemandBySecond)); i++ {
		for k := range n {
			w[k], g[k] = w[k]+a.DemandBySecond[i][k], g[k]+a.ServedBySecond[i][k]
			want, got = want+a.DemandBySecond[i][k], got+a.ServedBySecond[i][k]
		}
	}
	for k := range n {
		classes = append(classes, ratio(g[k], w[k]))
	}
	return ratio(got, want), classes
}

// Series is the part well served by second; not a number where nothing was wanted.
func (a *Account) ServiceBySecond() []float64 {
	out := make([]float64, len(a.DemandBySecond))
	for i := range out {
		w, g := 0.0, 0.0
		for k := range a.Demand {
			w, g = w+a.DemandBySecond[i][k], g+a.ServedBySecond[i][k]
		}
		if out[i] = math.NaN(); w > 0 {
			out[i] = min(1, g/w)
		}
	}
	return out
}

// Worst is the least well served stretch of a length, and where it begins. A load shorter than that is one stretch.
func (a *Account) WorstWindow(length time.Duration) (float64, time.Duration) {
	low, at := math.Inf(1), time.Duration(0)
	total := time.Duration(len(a.DemandBySecond)-1) * time.Second
	for t := time.Duration(0); t+length <= total || t == 0; t += time.Second {
		if r, _ := a.ServiceBetween(t, t+length); r < low {
			low, at = r, t
		}
	}
	return low, at
}
