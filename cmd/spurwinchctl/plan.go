package main

import (
	"fmt"
	"io"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"

	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/planner"
	"spurwinch/internal/plan/workload"
)

// Settings of the garbage collector while plans are made.
const (
	// memoryLimit is what the collector works to stay under; four runs of 50,000 connections at once take most of it.
	memoryLimit = 940 << 20
	// gcPercent holds as long as the limit is far; at the default the collector took a third of a long run.
	gcPercent = 400
)

// Bounds of the plan commands' flags.
const (
	maxScale        = 1000
	maxReplications = 1000
)

// Replications where no flag says how many: large loads vary less, and take longer.
const (
	largeLoadSessions     = 50000
	hugeLoadSessions      = 200000
	defaultReplications   = 8
	largeLoadReplications = 4
	hugeLoadReplications  = 2
	replicationsByLoad    = 0 // the default of --reps: replicationsFor decides
)

// planInput is what the plan commands share: their common flags and the files that these name.
type planInput struct {
	capturePatterns []string
	fleetPath       string
	scale           float64
	seed            uint64
	replications    int
	asJSON          bool
	plotPath        string
	allCold         bool

	fleet *fleet.Fleet
	load  *workload.Load
}

func planCommand() *cobra.Command {
	command := &cobra.Command{Use: "plan", Short: "Forecast what a fleet makes of a captured load"}
	command.AddCommand(forecastCommand(), sizeCommand(), loseCommand(), validateCommand(), costCommand())
	return command
}

func (p *planInput) addFlags(command *cobra.Command) {
	flags := command.Flags()
	flags.StringSliceVar(&p.capturePatterns, "load", nil, "`CAPTURE` files, or patterns, of all nodes")
	flags.StringVar(&p.fleetPath, "fleet", "", "the `FLEET` file")
	flags.Float64Var(&p.scale, "scale", 1, "times the captured load")
	flags.Uint64Var(&p.seed, "seed", 1, "of all chance: the same seed gives the same answer")
	flags.IntVar(&p.replications, "reps", replicationsByLoad, "replications behind each figure, "+
		"each with its own chance (default: 8, 4 over 50000 sessions, 2 over 200000)")
	flags.BoolVar(&p.asJSON, "json", false, "print JSON")
	flags.StringVar(&p.plotPath, "plot", "", "draw to `FILE.svg` or FILE.png")
	flags.BoolVar(&p.allCold, "all-cold", false, "all servers start with the load")
	requireFlags(command, "load", "fleet")
}

// validate checks the values of the common flags; the files that they name are checked as they are read. Zero
// replications are those that the load decides on.
func (p *planInput) validate() error {
	if !(p.scale > 0 && p.scale <= maxScale) { // rejects NaN too
		return fmt.Errorf("--scale %v: a factor over 0, up to 1000, is wanted", p.scale)
	}
	if p.replications < 0 || p.replications > maxReplications {
		return fmt.Errorf("--reps %d: 1 to 1000 are wanted", p.replications)
	}
	if p.plotPath != "" && !strings.HasSuffix(p.plotPath, ".svg") && !strings.HasSuffix(p.plotPath, ".png") {
		return fmt.Errorf("--plot %s: a name that ends in .svg or .png is wanted", p.plotPath)
	}
	return nil
}

// read checks the flags and reads the files that they name. Warnings go to errOut.
func (p *planInput) read(errOut io.Writer) (err error) {
	if err := p.validate(); err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	if p.fleet, err = fleet.Read(p.fleetPath); err != nil {
		return err
	}
	captured, err := readCaptures(p.capturePatterns, errOut)
	if err != nil {
		return err
	}
	if p.load, err = captured.Sessions(p.fleet, p.seed); err != nil {
		return err
	}
	if p.scale != 1 {
		p.load = p.load.Scale(p.scale, p.seed)
	}
	if p.replications == replicationsByLoad {
		p.replications = replicationsFor(len(p.load.Sessions))
	}
	if len(p.load.Sessions) == 0 {
		printLine(errOut, "note: the capture holds no request: nothing was wanted, and all of it is served")
	}
	return nil
}

// replicationsFor returns the replications for a load of so many sessions.
func replicationsFor(sessions int) int {
	switch {
	case sessions > hugeLoadSessions:
		return hugeLoadReplications
	case sessions > largeLoadSessions:
		return largeLoadReplications
	}
	return defaultReplications
}

func (p *planInput) options() planner.Options {
	return planner.Options{Seed: p.seed, AllWarmingUp: p.allCold}
}

// describe prints the load and the fleet that a plan is for.
func (p *planInput) describe(out io.Writer) {
	printf(out, "Load   %d sessions in %.0f s, %.0f standing, %.1f cores asked in the mean, without groups\n",
		len(p.load.Sessions), p.load.Length.Seconds(), p.load.MeanConcurrency(), p.load.MeanCores(p.fleet))
	printf(out, "Fleet  %s: %d servers, %.1f cores of the yardstick, %d centres\n",
		p.fleet.General.Name, p.fleet.ServerCount(), p.fleet.Cores(), len(p.fleet.Zones))
}

// figureText prints the mean of a figure, its 95% interval and the standard deviation of one replication.
func figureText(figure planner.Figure) string {
	return fmt.Sprintf("%5.1f%%  (%.1f to %.1f; one evening ±%.1f)",
		100*figure.Mean, 100*figure.Low, 100*figure.High, 100*figure.SD)
}
