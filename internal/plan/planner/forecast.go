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

// Run is the result of one replication. Service is the priority weight of the seconds that were served well, divided by
// the priority weight of all demanded seconds, from 0 to 1.
type Run struct {
	Service         float64
	WorstWindow     float64 // service of the worst 10 s
	WorstWindowAt   time.Duration
	Classes         []float64 // service
	Tenants         []float64 // service
	ServiceBySecond []float64 // NaN where nothing was demanded
	Account         *workload.Account
	// EndedEarly reports that the run ended before the end of the load. If MinService was out of reach, Service is the
	// highest service that the run could have reached. If StopAtLimit ended the run, Service is the service until then.
	EndedEarly       bool
	LimitReached     bool // other than the momentary load of one server and the quota of a tenant
	RequestsBySecond []int
	Limits           []LimitUsage
	Stats            Stats
}

// Simulate simulates one replication.
func Simulate(description *fleet.Fleet, load *workload.Load, options Options) (Run, error) {
	sim, err := newSimulation(description, load, options)
	if err != nil {
		return Run{}, err
	}
	sim.run()
	return sim.result(), nil
}

func (s *simulation) result() Run {
	run := Run{
		Account:          s.account,
		ServiceBySecond:  s.account.ServiceSeries(),
		LimitReached:     s.limitReached(),
		RequestsBySecond: s.requestsBySecond,
		Limits:           s.limitUsages(),
		Stats:            s.stats,
	}
	run.Service, run.Classes, run.Tenants = s.account.Service()
	run.Tenants = run.Tenants[:len(s.fleet.Tenants)]
	if s.earlyService > 0 {
		run.Service = s.earlyService
		run.EndedEarly = true
	}
	run.WorstWindow, run.WorstWindowAt = s.account.WorstWindow(worstWindow)
	return run
}

// Figure is a mean over replications with its 95% confidence interval by Student's t-distribution, limited to the range
// from 0 to 1. SD is the standard deviation of a single replication.
type Figure struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low95"`
	High float64 `json:"high95"`
	SD   float64 `json:"sd"`
}

const confidenceQuantile = 0.975 // leaves 2.5% on each side

func newFigure(values []float64) Figure {
	mean, deviation := stat.MeanStdDev(values, nil)
	count := float64(len(values))
	if count <= 1 {
		return Figure{Mean: mean, Low: mean, High: mean}
	}
	student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: count - 1}
	halfWidth := student.Quantile(confidenceQuantile) * deviation / math.Sqrt(count)
	return Figure{Mean: mean, Low: max(0, mean-halfWidth), High: min(1, mean+halfWidth), SD: deviation}
}

// Forecast describes how well a fleet is expected to serve a load.
type Forecast struct {
	Service        Figure            `json:"service"`
	WorstWindow    Figure            `json:"worst_10s"`
	WorstWindowAtS float64           `json:"worst_10s_at_s"`
	Classes        map[string]Figure `json:"classes"`
	Tenants        map[string]Figure `json:"editions"`
	Limits         []LimitUsage      `json:"limits"`
	Stats          Stats             `json:"stats"`
	Bound          Bound             `json:"bound"`
	Runs           []Run             `json:"-"`
}

// Replicate simulates the load a number of times on all cores, each time with a different seed, and summarizes the
// runs. onDone, which may be nil, is called after each replication by one goroutine at a time.
func Replicate(
	description *fleet.Fleet, load *workload.Load, options Options, replications int, onDone func(),
) (Forecast, error) {
	var mu sync.Mutex
	runs, err := inParallel(replications, func(i int) (Run, error) {
		replicationOptions := options
		replicationOptions.Seed = workload.Mix(options.Seed*1000 + uint64(i))
		run, err := Simulate(description, load, replicationOptions)
		if onDone != nil {
			mu.Lock()
			defer mu.Unlock()
			onDone()
		}
		return run, err
	})
	if err != nil {
		return Forecast{}, err
	}
	return summarize(description, load, runs), nil
}

// inParallel calls simulate with each index from 0 to count-1, with as many calls at once as there are cores.
func inParallel(count int, simulate func(int) (Run, error)) ([]Run, error) {
	runs := make([]Run, count)
	errs := make([]error, count)
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var running sync.WaitGroup
	for i := range count {
		running.Add(1)
		slots <- struct{}{}
		go func() {
			defer running.Done()
			defer func() { <-slots }()
			runs[i], errs[i] = simulate(i)
		}()
	}
	running.Wait()
	return runs, errors.Join(errs...)
}

func summarize(description *fleet.Fleet, load *workload.Load, runs []Run) Forecast {
	figureOf := func(value func(*Run) float64) Figure {
		var values []float64
		for i := range runs {
			values = append(values, value(&runs[i]))
		}
		return newFigure(values)
	}
	forecast := Forecast{
		Service:     figureOf(func(run *Run) float64 { return run.Service }),
		WorstWindow: figureOf(func(run *Run) float64 { return run.WorstWindow }),
		Classes:     map[string]Figure{},
		Tenants:     map[string]Figure{},
		Bound:       UpperBound(description, load),
		Runs:        runs,
	}
	for i, class := range description.Classes {
		forecast.Classes[class.Name] = figureOf(func(run *Run) float64 { return run.Classes[i] })
	}
	for i, tenant := range description.Tenants {
		forecast.Tenants[tenant.Name] = figureOf(func(run *Run) float64 { return run.Tenants[i] })
	}
	middle := middleRun(runs, forecast.Service.Mean)
	forecast.Limits = middle.Limits
	forecast.Stats = middle.Stats
	forecast.WorstWindowAtS = middle.WorstWindowAt.Seconds()
	return forecast
}

// middleRun returns the run whose service is closest to the mean. It represents all runs for values whose mean would be
// meaningless.
func middleRun(runs []Run, mean float64) *Run {
	middle := &runs[0]
	for i := range runs {
		if math.Abs(runs[i].Service-mean) < math.Abs(middle.Service-mean) {
			middle = &runs[i]
		}
	}
	return middle
}
