package main

import (
	"errors"
	"io"
	"math"

	"github.com/spf13/cobra"

	"spurwinch/internal/plan/planner"
)

// forecastPlan is the work of plan forecast.
type forecastPlan struct {
	planInput
}

func forecastCommand() *cobra.Command {
	var plan forecastPlan
	command := &cobra.Command{
		Use:   "forecast --load CAPTURE --fleet FLEET",
		Short: "Service to expect, and what breaks first",
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
	forecast, first, err := p.compute(progress)
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
		}{forecast, withoutInfinity(first)})
	}
	p.describe(out)
	p.printService(out, &forecast)
	printBounds(out, &forecast)
	printFirstToBreak(out, first)
	return printLimits(out, &forecast)
}

// compute looks for what breaks first beside the replications: on a large load those leave a core free.
func (p *forecastPlan) compute(progress *progress) (planner.Forecast, planner.Breakpoint, error) {
	type result struct {
		first planner.Breakpoint
		err   error
	}
	results := make(chan result, 1)
	go func() {
		first, err := planner.FindBreakpoint(p.fleet, p.load, p.options(), func(multiple float64) {
			progress.show("what breaks first: %.2f times the load", multiple)
		})
		results <- result{first, err}
	}()
	done := 0
	forecast, err := planner.Replicate(p.fleet, p.load, p.options(), p.replications, func() {
		done++
		progress.show("%d of %d replications done", done, p.replications)
	})
	breaking := <-results
	return forecast, breaking.first, errors.Join(err, breaking.err)
}

// printService prints the service, as figureText does: of the whole load, of its worst window, and by class and tenant
// in the order of the fleet file. A forecast has a figure for each of these.
func (p *forecastPlan) printService(out io.Writer, forecast *planner.Forecast) {
	printf(out, "\nService, worth of well-served seconds over all asked for (95%% over %d replications)\n",
		p.replications)
	table := newReportTable(out)
	printf(table, "  in all\t%s\n", figureText(forecast.Service))
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
		printf(out, "  can't work: %s\n", reason)
	}
}

func printFirstToBreak(out io.Writer, first planner.Breakpoint) {
	printLine(out, "\nFirst to break")
	if first.None {
		printf(out, "  nothing, up to %.0f times the load\n", first.LoadFactor)
		return
	}
	printf(out, "  %s, at %.2f times the load, %.1f s in, at %s; service is then %.1f%%\n",
		first.Limit, first.LoadFactor, first.AtS, first.Where, 100*first.Service)
}

func printLimits(out io.Writer, forecast *planner.Forecast) error {
	printLine(out, "\nLimits, most that was used of each (the middle replication)")
	table := newReportTable(out)
	for _, limit := range forecast.Limits {
		if limit.Peak > 0 {
			printf(table, "  %s\t%.0f%%\tat %.1f s\t%s\n", limit.Limit, 100*limit.Peak, limit.AtS, limit.Where)
		}
	}
	return table.Flush()
}

// withoutInfinity replaces the infinite multiple, which JSON can't express, by -1.
func withoutInfinity(first planner.Breakpoint) planner.Breakpoint {
	if math.IsInf(first.LoadFactor, 0) {
		first.LoadFactor = -1
	}
	return first
}
