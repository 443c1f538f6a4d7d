package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"path/filepath"

	"gonum.org/v1/gonum/stat"

	"spurwinch/internal/lab/replay"
	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/planner"
	"spurwinch/internal/plan/workload"
)

const (
	// maxTrialServers is how many servers are tried for the target at most.
	maxTrialServers = 200
	// maxSizeSteps is how far the measured least size is looked for beside the forecast one, in servers.
	maxSizeSteps = 4
	// minMeasuredService keeps the relative error finite where a replay served next to nothing.
	minMeasuredService = 0.01
)

// trialResult is one fleet's forecast beside what replays measured.
type trialResult struct {
	Fleet      int                   `json:"fleet"`
	What       string                `json:"what"`
	Servers    int                   `json:"servers"`
	Sessions   int                   `json:"sessions"`
	Asked      float64               `json:"asked"` // cores in the mean over cores, without groups
	Forecast   float64               `json:"forecast"`
	SD         float64               `json:"forecast_sd"` // of one replication
	Measured   float64               `json:"measured"`
	MeasuredSD float64               `json:"measured_sd"` // of one replay
	Error      float64               `json:"error"`       // of the measured
	Classes    map[string][2]float64 `json:"classes"`     // forecast, measured
	Target     float64               `json:"target"`
	LeastSaid  int                   `json:"least_forecast"`
	LeastWas   int                   `json:"least_measured"`
	LagMS      float64               `json:"lag_99_ms"`
	Broken     string                `json:"broken,omitempty"`
}

// trial checks one drawn fleet.
type trial struct {
	settings *validation
	drawn    planner.Trial
	seed     uint64
	dir      string
	progress *progress
	result   trialResult
}

func newTrial(settings *validation, base *fleet.Fleet, index int, dir string, progress *progress) *trial {
	drawn := planner.GenerateTrial(base, settings.seed, index, settings.length)
	return &trial{
		settings: settings,
		drawn:    drawn,
		seed:     workload.Mix(settings.seed*100 + uint64(index)),
		dir:      dir,
		progress: progress,
		result: trialResult{
			Fleet:    index,
			What:     drawn.Scenario,
			Servers:  drawn.Fleet.ServerCount(),
			Sessions: len(drawn.Load.Sessions),
			Asked:    drawn.Load.MeanCores(drawn.Fleet) / drawn.Fleet.Cores(),
			Classes:  map[string][2]float64{},
			Target:   settings.target,
		},
	}
}

// play captures the trial's load, forecasts from the capture, and replays the load.
func (t *trial) play(ctx context.Context) error {
	captured, err := t.captureLoad(ctx)
	if err != nil {
		return err
	}
	t.showProgress("forecast")
	options := planner.Options{Seed: t.seed, LostZone: t.drawn.LostZone, LossTime: t.drawn.LossTime}
	forecast, err := planner.Replicate(t.drawn.Fleet, captured, options, t.settings.replications, nil)
	if err != nil {
		return err
	}
	for i := range t.drawn.Fleet.Classes {
		name := t.drawn.Fleet.Classes[i].Name
		t.result.Classes[name] = [2]float64{forecast.Classes[name].Mean, 0}
	}
	measured, err := t.measureService(ctx)
	if err != nil {
		return err
	}
	t.compare(forecast.Service, measured)
	if !t.settings.checkSize {
		return nil
	}
	return t.compareLeastSize(ctx, captured)
}

func (t *trial) showProgress(step string) {
	t.progress.show("fleet %d (%s): %s", t.result.Fleet, t.drawn.Scenario, step)
}

// replay plays the load through real nodes against a fleet; name is of the step and of its directory.
func (t *trial) replay(
	ctx context.Context, target *fleet.Fleet, name string, seed uint64, options replay.Options,
) (replay.Result, error) {
	t.showProgress(fmt.Sprintf("%s, %v", name, t.settings.length))
	options.Program = t.settings.nodeProgram
	options.Seed = seed
	options.Dir = filepath.Join(t.dir, name)
	if err := os.MkdirAll(options.Dir, 0o755); err != nil {
		return replay.Result{}, err
	}
	result, err := replay.Play(ctx, target, t.drawn.Load, options)
	lag := float64(result.TimerLag.Microseconds()) / 1000
	t.result.LagMS = max(t.result.LagMS, lag)
	return result, err
}

// captureLoad has nodes capture the load of a fleet with ample capacity, as on an evening before the one that is
// planned.
func (t *trial) captureLoad(ctx context.Context) (*workload.Load, error) {
	ample := t.drawn.Fleet.Resize(3*t.drawn.Fleet.ServerCount() + 4)
	replayed, err := t.replay(ctx, ample, "capture", t.seed, replay.Options{Capture: true})
	if err != nil {
		return nil, err
	}
	captured, err := workload.ReadCaptures(replayed.Captures)
	if err != nil {
		return nil, err
	}
	if len(captured.Faults) > 0 {
		return nil, fmt.Errorf("fleet %d: %v", t.result.Fleet, captured.Faults[0])
	}
	load, err := captured.Sessions(t.drawn.Fleet, t.seed)
	if err != nil {
		return nil, err
	}
	load.Length = t.settings.length
	return load, nil
}

// measureService returns the service of each replay. One replay varies by itself, by the forecast's ±; several tell
// chance from error.
func (t *trial) measureService(ctx context.Context) ([]float64, error) {
	var services []float64
	options := replay.Options{LostZone: t.drawn.LostZone, LossTime: t.drawn.LossTime}
	for i := range t.settings.replays {
		seed := t.seed + 1 + uint64(1000*i)
		replayed, err := t.replay(ctx, t.drawn.Fleet, fmt.Sprintf("replay-%d", i), seed, options)
		if err != nil {
			return nil, err
		}
		services = append(services, replayed.Service)
		for class := range t.drawn.Fleet.Classes {
			name := t.drawn.Fleet.Classes[class].Name
			figures := t.result.Classes[name]
			figures[1] += replayed.Classes[class] / float64(t.settings.replays)
			t.result.Classes[name] = figures
		}
	}
	return services, nil
}

// compare sets the figures of service.
func (t *trial) compare(forecast planner.Figure, measured []float64) {
	result := &t.result
	result.Forecast = forecast.Mean
	result.SD = forecast.SD
	result.Measured, result.MeasuredSD = stat.MeanStdDev(measured, nil)
	if len(measured) == 1 {
		result.MeasuredSD = 0
	}
	result.Error = math.Abs(result.Forecast-result.Measured) / max(result.Measured, minMeasuredService)
}

// compareLeastSize compares the forecast least number of servers for the target with what replays of that many, and of
// its neighbours, show.
func (t *trial) compareLeastSize(ctx context.Context, captured *workload.Load) error {
	t.showProgress("least servers")
	forecast, err := planner.MinimumTotal(t.drawn.Fleet, captured, planner.SizeOptions{
		Options:      planner.Options{Seed: t.seed},
		Target:       t.settings.target,
		Replications: t.settings.replications,
		MaxServers:   maxTrialServers,
	})
	if err != nil {
		return err
	}
	t.result.LeastSaid = forecast
	t.result.LeastWas, err = t.measureLeastSize(ctx, forecast)
	return err
}

// measureLeastSize looks for the least size that reaches the target, downwards from a size that does and upwards from
// one that doesn't, for a few steps.
func (t *trial) measureLeastSize(ctx context.Context, start int) (int, error) {
	size := start
	reached, err := t.reachesTarget(ctx, size)
	if err != nil {
		return size, err
	}
	if !reached {
		for range maxSizeSteps {
			size++
			reached, err = t.reachesTarget(ctx, size)
			if reached || err != nil {
				break
			}
		}
		return size, err
	}
	for range maxSizeSteps {
		reached, err = t.reachesTarget(ctx, size-1)
		if !reached || err != nil {
			break
		}
		size--
	}
	return size, err
}

// reachesTarget replays the load against a fleet of a size.
func (t *trial) reachesTarget(ctx context.Context, size int) (bool, error) {
	if size < 1 {
		return false, nil
	}
	resized := t.drawn.Fleet.Resize(size)
	replayed, err := t.replay(ctx, resized, fmt.Sprintf("size-%d", size), t.seed+uint64(size), replay.Options{})
	return replayed.Service >= t.settings.target, err
}
