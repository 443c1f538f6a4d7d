package main

import (
	"errors"
	"io"
	"math"

	"github.com/spf13/cobra"

	"spurwinch/internal/plan/planner"
)

// forecastPlan implements plan forecast.
type forecastPlan struct {
	planInput
}

func forecastCommand() *cobra.Command {
	var plan forecastPlan
	command := &cobra.Command{
		Use:   "forecast --load CAPTURE --fleet FLEET",
		Short: "Forecast the service and which limit is reached first as the load grows",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return plan.run(command) },
	}
	plan.addFlags(command)
	return command
}

func (p *forecastPlan) run(command *cobra.Command) error {
	if err := p.read(command.ErrOrStderr()); err != nil {
		return err
	}
	progress := newProgress(command)
	forecast, breakpoint, err := p.compute(progress)
	if err != nil {
		return err
	}
	progress.done()
	if p.plotPath != "" {
		if err := plotForecast(&p.planInput, forecast, progress); err != nil {
			return err
		}
	}
	out := command.OutOrStdout()
	if p.asJSON {
		return writeJSON(out, struct {
			planner.Forecast
			First planner.Breakpoint `json:"first_to_break"`
		}{forecast, withoutInfinity(breakpoint)})
	}
	p.describe(out)
	p.printService(out, &forecast)
	printBounds(out, &forecast)
	printBreakpoint(out, breakpoint)
	return printLimits(out, &forecast)
}

// compute searches for the breakpoint concurrently with the replications, which leave a core idle for a large load.
func (p *forecastPlan) compute(progress *progress) (planner.Forecast, planner.Breakpoint, error) {
	type result struct {
		breakpoint planner.Breakpoint
		err        error
	}
	results := make(chan result, 1)
	go func() {
		breakpoint, err := planner.FindBreakpoint(p.fleet, p.load, p.options(), func(loadFactor float64) {
			progress.show("searching for the first limit: %.2f times the load", loadFactor)
		})
		results <- result{breakpoint, err}
	}()
	done := 0
	forecast, err := planner.Replicate(p.fleet, p.load, p.options(), p.replications, func() {
		done++
		progress.show("%d of %d replications done", done, p.replications)
	})
	search := <-results
	return forecast, search.breakpoint, errors.Join(err, search.err)
}

// printService prints the service for the whole load, for its worst window, and for each class and tenant in the order
// of the fleet file. A forecast has a figure for each of these, which figureText formats.
func (p *forecastPlan) printService(out io.Writer, forecast *planner.Forecast) {
	printf(out, "\nService: value of the well-served seconds / value of all requested (95%% over %d replications)\n",
		p.replications)
	table := newReportTable(out)
	printf(table, "  total\t%s\n", figureText(forecast.Service))
	printf(table, "  worst 10 s\t%s\tfrom %.0f s on\n", figureText(forecast.WorstWindow), forecast.WorstWindowAtS)
	for i := range p.fleet.Classes {
		name := p.fleet.Classes[i].Name
		printf(table, "  class %s\t%s\n", name, figureText(forecast.Classes[name]))
	}
	for i := range p.fleet.Tenants {
		name := p.fleet.Tenants[i].Name
		printf(table, "  edition %s\t%s\n", name, figureText(forecast.Tenants[name]))
	}
	flushTable(table)
}

func printBounds(out io.Writer, forecast *planner.Forecast) {
	printf(out, "\nNo placement can serve more than %.1f%%\n", 100*forecast.Bound.Service)
	for _, reason := range forecast.Bound.Infeasible {
		printf(out, "  not feasible: %s\n", reason)
	}
}

func printBreakpoint(out io.Writer, breakpoint planner.Breakpoint) {
	printLine(out, "\nFirst limit reached as the load grows")
	if breakpoint.None {
		printf(out, "  none, up to %.0f times the load\n", breakpoint.LoadFactor)
		return
	}
	printf(out, "  %s, at %.2f times the load, after %.1f s, at %s; service is then %.1f%%\n",
		breakpoint.Limit, breakpoint.LoadFactor, breakpoint.AtS, breakpoint.Where, 100*breakpoint.Service)
}

func printLimits(out io.Writer, forecast *planner.Forecast) error {
	printLine(out, "\nPeak use of each limit (in the replication closest to the mean)")
	table := newReportTable(out)
	for _, limit := range forecast.Limits {
		if limit.Peak > 0 {
			printf(table, "  %s\t%.0f%%\tat %.1f s\t%s\n", limit.Limit, 100*limit.Peak, limit.AtS, limit.Where)
		}
	}
	return table.Flush()
}

// withoutInfinity replaces an infinite load factor, which JSON can't represent, by -1.
func withoutInfinity(breakpoint planner.Breakpoint) planner.Breakpoint {
	if math.IsInf(breakpoint.LoadFactor, 0) {
		breakpoint.LoadFactor = -1
	}
	return breakpoint
}
