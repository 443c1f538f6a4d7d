package main

import (
	"io"
	"maps"
	"slices"
)

// maxSizeError is the maximum difference between the forecast and the measured minimum size, in servers, that doesn't
// count as an error.
const maxSizeError = 1

func (v *validation) print(out io.Writer, results []trialResult) {
	printf(out, "Forecasts and replays on loopback: seed %d, loads of %v, %d replications for each forecast\n\n",
		v.seed, v.length, v.replications)
	printTrials(out, results)
	printLine(out, "\nService by class, forecast and measured:")
	printTrialClasses(out, results)
	v.printErrors(out, results)
}

func printTrials(out io.Writer, results []trialResult) {
	table := newFigureTable(out)
	printLine(table, "fleet\tscenario\tservers\tsessions\trequested load\tforecast\t±\tmeasured\t±\terror\t"+
		"forecast minimum\tmeasured minimum\tlag 99%\t")
	for i := range results {
		result := &results[i]
		printf(table, "%d\t%s\t%d\t%d\t%.0f%%\t%.1f%%\t%.1f\t%.1f%%\t%.1f\t%.1f%%\t%d\t%d\t%.1f ms\t\n",
			result.Fleet, result.Scenario, result.Servers, result.Sessions, 100*result.RequestedLoad,
			100*result.Forecast, 100*result.SD, 100*result.Measured, 100*result.MeasuredSD, 100*result.Error,
			result.ForecastMinimum, result.MeasuredMinimum, result.LagMS)
	}
	flushTable(table)
}

func printTrialClasses(out io.Writer, results []trialResult) {
	table := newFigureTable(out)
	names := slices.Sorted(maps.Keys(results[0].Classes))
	printf(table, "fleet\t")
	for _, name := range names {
		printf(table, "%s\t\t", name)
	}
	printLine(table)
	for i := range results {
		result := &results[i]
		printf(table, "%d\t", result.Fleet)
		for _, name := range names {
			printf(table, "%.1f%%\t%.1f%%\t", 100*result.Classes[name][0], 100*result.Classes[name][1])
		}
		printLine(table)
	}
	flushTable(table)
}

func (v *validation) printErrors(out io.Writer, results []trialResult) {
	var serviceErrors []float64
	wrongSizes := 0
	for i := range results {
		serviceErrors = append(serviceErrors, results[i].Error)
		difference := results[i].ForecastMinimum - results[i].MeasuredMinimum
		if difference > maxSizeError || difference < -maxSizeError {
			wrongSizes++
		}
	}
	slices.Sort(serviceErrors)
	median := serviceErrors[len(serviceErrors)/2]
	printf(out, "\nError of the forecast service: median %.1f%%, maximum %.1f%%",
		100*median, 100*slices.Max(serviceErrors))
	if v.checkSize {
		printf(out, "; the minimum number of servers is wrong by more than one for %d of %d fleets",
			wrongSizes, len(results))
	}
	printLine(out)
}
