package planner

import (
	"errors"
	"math"
	"runtime"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

// Run is what one replication came to. Service is the worth of well-served seconds over that of all seconds asked for.
type Run struct {
	Service         float64
	WorstWindow     float64 // in the worst 10 s
	WorstWindowAt   time.Duration
	Classes         []float64
	Tenants         []float64
	ServiceBySecond []float64 // by second; NaN where nothing was wanted
	Account         *workload.Account
	// EndedEarly: the floor was out of reach; the service is the most that there could have been.
	EndedEarly       bool
	LimitReached     bool  // a limit was reached
	RequestsBySecond []int // by second
	Limits           []LimitUsage
	Stats            Stats
}

// Play simulates one replication.
func Play(f *fleet.Fleet, l *workload.Load, o Options) (Run, error) {
	w, err := newWorld(f, l, o)
	if err != nil {
		return Run{}, err
	}
	w.simulate()
	return w.result(), nil
}

func (w *simulation) result() Run {
	r := Run{Limits: w.limits.list(), Stats: w.stats, Account: w.account, RequestsBySecond: w.requests, LimitReached: w.limits.broken(), ServiceBySecond: w.account.ServiceSeries()}
	r.Service, r.Classes, r.Tenants = w.account.Service()
	r.Tenants = r.Tenants[:len(w.fleet.Editions)]
	if w.ended > 0 {
		r.Service, r.EndedEarly = w.ended, true
	}
	r.WorstWindow, r.WorstWindowAt = w.account.WorstWindow(window)
	return r
}

// Figure is a mean over replications with its 95% interval by Student's t. One evening by itself varies by the standard
// deviation.
type Figure struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low95"`
	High float64 `json:"high95"`
	SD   float64 `json:"sd"`
}

func figure(xs []float64) Figure {
	m, s := stat.MeanStdDev(xs, nil)
	f := Figure{Mean: m, Low: m, High: m}
	if n := float64(len(xs)); n > 1 {
		half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * s / math.Sqrt(n)
		f.SD = s
		f.Low, f.High = max(0, m-half), min(1, m+half)
	}
	return f
}

// Forecast is what a fleet is expected to make of a load.
type Forecast struct {
	Service  Figure            `json:"service"`
	Worst    Figure            `json:"worst_10s"`
	WorstAt  float64           `json:"worst_10s_at_s"`
	Classes  map[string]Figure `json:"classes"`
	Editions map[string]Figure `json:"editions"`
	Limits   []LimitUsage      `json:"limits"`
	Stats    Stats             `json:"stats"`
	Bound    Bound             `json:"bound"`
	Runs     []Run             `json:"-"`
}

// Replicate plays the load n times, each with its own chance, on all cores, and sums up. tell (may be nil) hears of each
// finished replication, not at once of several.
func Replicate(f *fleet.Fleet, l *workload.Load, o Options, n int, tell func()) (Forecast, error) {
	var mu sync.Mutex
	runs, err := each(n, func(i int) (Run, error) {
		p := o
		p.Seed = workload.Mix(o.Seed*1000 + uint64(i))
		r, err := Play(f, l, p)
		if tell != nil {
			mu.Lock()
			defer mu.Unlock()
			tell()
		}
		return r, err
	})
	if err != nil {
		return Forecast{}, err
	}
	return sum(f, l, runs), nil
}

// each calls fn for 0 to n-1, as many at once as there are cores.
func each(n int, fn func(int) (Run, error)) ([]Run, error) {
	runs, errs := make([]Run, n), make([]error, n)
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wait sync.WaitGroup
	for i := range n {
		wait.Add(1)
		slots <- struct{}{}
		go func() {
			defer wait.Done()
			defer func() { <-slots }()
			runs[i], errs[i] = fn(i)
		}()
	}
	wait.Wait()
	return runs, errors.Join(errs...)
}

func sum(f *fleet.Fleet, l *workload.Load, runs []Run) Forecast {
	pick := func(get func(Run) float64) Figure {
		var xs []float64
		for _, r := range runs {
			xs = append(xs, get(r))
		}
		return figure(xs)
	}
	out := Forecast{Service: pick(func(r Run) float64 { return r.Service }), Worst: pick(func(r Run) float64 { return r.WorstWindow }),
		Classes: map[string]Figure{}, Editions: map[string]Figure{}, Bound: UpperBound(f, l), Runs: runs}
	for i, c := range f.Classes {
		out.Classes[c.Name] = pick(func(r Run) float64 { return r.Classes[i] })
	}
	for i, e := range f.Editions {
		out.Editions[e.Name] = pick(func(r Run) float64 { return r.Tenants[i] })
	}
	// What stands for all replications is the one in the middle.
	mid := runs[0]
	for _, r := range runs {
		if math.Abs(r.Service-out.Service.Mean) < math.Abs(mid.Service-out.Service.Mean) {
			mid = r
		}
	}
	out.Limits, out.Stats, out.WorstAt = mid.Limits, mid.Stats, mid.WorstWindowAt.Seconds()
	return out
}
