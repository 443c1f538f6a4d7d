package main

import (
	"io"
	"maps"
	"slices"
)

// maxSizeError is by how many servers the forecast least size may differ from the measured one unnoticed.
const maxSizeError = 1

func (v *validation) print(out io.Writer, results []trialResult) {
	printf(out, "Forecasts against replays on loopback: seed %d, loads of %v, %d replications behind each forecast\n\n",
		v.seed, v.length, v.replications)
	printTrials(out, results)
	printLine(out, "\nBy class, forecast and measured:")
	printTrialClasses(out, results)
	v.printErrors(out, results)
}

func printTrials(out io.Writer, results []trialResult) {
	table := newFigureTable(out)
	printLine(table, "fleet\twhat\tservers\tsessions\tload asked\tforecast\t±\tmeasured\t±\terror\t"+
		"least said\tmeasured\tlag 99%\t")
	for i := range results {
		result := &results[i]
		printf(table, "%d\t%s\t%d\t%d\t%.0f%%\t%.1f%%\t%.1f\t%.1f%%\t%.1f\t%.1f%%\t%d\t%d\t%.1f ms\t\n",
			result.Fleet, result.What, result.Servers, result.Sessions, 100*result.Asked,
			100*result.Forecast, 100*result.SD, 100*result.Measured, 100*result.MeasuredSD, 100*result.Error,
			result.LeastSaid, result.LeastWas, result.LagMS)
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
	var errors []float64
	wrongSizes := 0
	for i := range results {
		errors = append(errors, results[i].Error)
		difference := results[i].LeastSaid - results[i].LeastWas
		if difference > maxSizeError || difference < -maxSizeError {
			wrongSizes++
		}
	}
	slices.Sort(errors)
	median := errors[len(errors)/2]
	printf(out, "\nError of the service figure: median %.1f%%, most %.1f%%", 100*median, 100*slices.Max(errors))
	if v.checkSize {
		printf(out, "; the least number is off by more than one on %d of %d fleets", wrongSizes, len(results))
	}
	printLine(out)
}
