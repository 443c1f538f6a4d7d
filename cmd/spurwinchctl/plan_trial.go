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
	// maxTrialServers is the maximum number of servers that the search for the target tries.
	maxTrialServers = 200
	// maxSizeSteps is the maximum distance, in servers, of the measured minimum size from the forecast one. The search
	// ends there.
	maxSizeSteps = 4
	// minMeasuredService keeps the relative error finite if a replay served almost nothing.
	minMeasuredService = 0.01
)

// trialResult has the forecast for one fleet and the figures that replays measured.
type trialResult struct {
	Fleet           int                   `json:"fleet"`
	Scenario        string                `json:"what"`
	Servers         int                   `json:"servers"`
	Sessions        int                   `json:"sessions"`
	RequestedLoad   float64               `json:"asked"` // mean requested cores / all cores, without groups
	Forecast        float64               `json:"forecast"`
	SD              float64               `json:"forecast_sd"` // of one replication
	Measured        float64               `json:"measured"`
	MeasuredSD      float64               `json:"measured_sd"` // of one replay
	Error           float64               `json:"error"`       // relative to the measured service
	Classes         map[string][2]float64 `json:"classes"`     // forecast and measured service
	Target          float64               `json:"target"`
	ForecastMinimum int                   `json:"least_forecast"`
	MeasuredMinimum int                   `json:"least_measured"`
	LagMS           float64               `json:"lag_99_ms"`
	Broken          string                `json:"broken,omitempty"`
}

// trial checks the forecasts for one generated fleet.
type trial struct {
	settings  *validation
	generated planner.Trial
	seed      uint64
	dir       string
	progress  *progress
	result    trialResult
}

func newTrial(settings *validation, base *fleet.Fleet, index int, dir string, progress *progress) *trial {
	generated := planner.GenerateTrial(base, settings.seed, index, settings.length)
	return &trial{
		settings:  settings,
		generated: generated,
		seed:      workload.Mix(settings.seed*100 + uint64(index)),
		dir:       dir,
		progress:  progress,
		result: trialResult{
			Fleet:         index,
			Scenario:      generated.Scenario,
			Servers:       generated.Fleet.ServerCount(),
			Sessions:      len(generated.Load.Sessions),
			RequestedLoad: generated.Load.MeanCores(generated.Fleet) / generated.Fleet.Cores(),
			Classes:       map[string][2]float64{},
			Target:        settings.target,
		},
	}
}

// play captures the trial's load, makes a forecast from the capture and replays the load.
func (t *trial) play(ctx context.Context) error {
	captured, err := t.captureLoad(ctx)
	if err != nil {
		return err
	}
	t.showProgress("forecast")
	options := planner.Options{Seed: t.seed, LostZone: t.generated.LostZone, LossTime: t.generated.LossTime}
	forecast, err := planner.Replicate(t.generated.Fleet, captured, options, t.settings.replications, nil)
	if err != nil {
		return err
	}
	for i := range t.generated.Fleet.Classes {
		name := t.generated.Fleet.Classes[i].Name
		t.result.Classes[name] = [2]float64{forecast.Classes[name].Mean, 0}
	}
	measured, err := t.measureService(ctx)
	if err != nil {
		return err
	}
	t.compareService(forecast.Service, measured)
	if !t.settings.checkSize {
		return nil
	}
	return t.compareMinimumSize(ctx, captured)
}

func (t *trial) showProgress(step string) {
	t.progress.show("fleet %d (%s): %s", t.result.Fleet, t.generated.Scenario, step)
}

// replay plays the load through real nodes against a fleet. The name of the step is also the name of its directory.
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
	result, err := replay.Play(ctx, target, t.generated.Load, options)
	lag := float64(result.TimerLag.Microseconds()) / 1000
	t.result.LagMS = max(t.result.LagMS, lag)
	return result, err
}

// captureLoad plays the load against a fleet with ample capacity and returns the load that its nodes captured. The
// capture corresponds to that of a day before the planned one.
func (t *trial) captureLoad(ctx context.Context) (*workload.Load, error) {
	ample := t.generated.Fleet.Resize(3*t.generated.Fleet.ServerCount() + 4)
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
	load, err := captured.Sessions(t.generated.Fleet, t.seed)
	if err != nil {
		return nil, err
	}
	load.Length = t.settings.length
	return load, nil
}

// measureService returns the service of each replay. A single replay varies randomly by the standard deviation of the
// forecast; several replays distinguish this variation from an error of the forecast.
func (t *trial) measureService(ctx context.Context) ([]float64, error) {
	var services []float64
	options := replay.Options{LostZone: t.generated.LostZone, LossTime: t.generated.LossTime}
	for i := range t.settings.replays {
		seed := t.seed + 1 + uint64(1000*i)
		replayed, err := t.replay(ctx, t.generated.Fleet, fmt.Sprintf("replay-%d", i), seed, options)
		if err != nil {
			return nil, err
		}
		services = append(services, replayed.Service)
		for class := range t.generated.Fleet.Classes {
			name := t.generated.Fleet.Classes[class].Name
			figures := t.result.Classes[name]
			figures[1] += replayed.Classes[class] / float64(t.settings.replays)
			t.result.Classes[name] = figures
		}
	}
	return services, nil
}

// compareService sets the forecast service of the result, the measured service and the relative error between them.
func (t *trial) compareService(forecast planner.Figure, measured []float64) {
	result := &t.result
	result.Forecast = forecast.Mean
	result.SD = forecast.SD
	result.Measured, result.MeasuredSD = stat.MeanStdDev(measured, nil)
	if len(measured) == 1 {
		result.MeasuredSD = 0
	}
	result.Error = math.Abs(result.Forecast-result.Measured) / max(result.Measured, minMeasuredService)
}

// compareMinimumSize sets the forecast minimum number of servers for the target, and the minimum that replays with this
// and neighbouring numbers measure.
func (t *trial) compareMinimumSize(ctx context.Context, captured *workload.Load) error {
	t.showProgress("minimum number of servers")
	forecast, err := planner.MinimumTotal(t.generated.Fleet, captured, planner.SizeOptions{
		Options:      planner.Options{Seed: t.seed},
		Target:       t.settings.target,
		Replications: t.settings.replications,
		MaxServers:   maxTrialServers,
	})
	if err != nil {
		return err
	}
	t.result.ForecastMinimum = forecast
	t.result.MeasuredMinimum, err = t.measureMinimumSize(ctx, forecast)
	return err
}

// measureMinimumSize searches for the minimum size that reaches the target, downwards if start reaches the target and
// upwards if not, for at most maxSizeSteps steps.
func (t *trial) measureMinimumSize(ctx context.Context, start int) (int, error) {
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

// reachesTarget replays the load against a fleet of a size, and reports whether the service reaches the target.
func (t *trial) reachesTarget(ctx context.Context, size int) (bool, error) {
	if size < 1 {
		return false, nil
	}
	resized := t.generated.Fleet.Resize(size)
	replayed, err := t.replay(ctx, resized, fmt.Sprintf("size-%d", size), t.seed+uint64(size), replay.Options{})
	return replayed.Service >= t.settings.target, err
}
