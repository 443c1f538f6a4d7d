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
	// memoryLimit is the garbage collector's soft limit in bytes. Four concurrent runs of 50,000 connections need most
	// of it.
	memoryLimit = 940 << 20
	// gcPercent applies while the memory in use is far below the limit. With Go's default the collector took a third of
	// the time of a long run.
	gcPercent = 400
)

// Bounds of the plan commands' flags.
const (
	maxScale        = 1000
	maxReplications = 1000
)

// Default numbers of replications by the size of the load: large loads vary less and take longer.
const (
	largeLoadSessions     = 50000
	hugeLoadSessions      = 200000
	defaultReplications   = 8
	largeLoadReplications = 4
	hugeLoadReplications  = 2
	replicationsByLoad    = 0 // the default of --reps: replicationsFor returns the number
)

// planInput has the common flags of the plan commands and the files that these flags name.
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
	command := &cobra.Command{Use: "plan", Short: "Forecast how well a fleet serves a captured load, and plan its size"}
	command.AddCommand(forecastCommand(), sizeCommand(), loseCommand(), validateCommand(), costCommand())
	return command
}

func (p *planInput) addFlags(command *cobra.Command) {
	flags := command.Flags()
	flags.StringSliceVar(&p.capturePatterns, "load", nil,
		"the `CAPTURE` files of all nodes, or patterns that match them")
	flags.StringVar(&p.fleetPath, "fleet", "", "the `FLEET` file, which describes servers, nodes and clients")
	flags.Float64Var(&p.scale, "scale", 1, "factor that multiplies the captured load, over 0 and up to 1000")
	flags.Uint64Var(&p.seed, "seed", 1, "seed of all random numbers: the same seed gives the same result")
	flags.IntVar(&p.replications, "reps", replicationsByLoad, "simulated replications for each figure, each "+
		"with other random numbers, 1 to 1000 (default: 8, 4 over 50000 sessions, 2 over 200000)")
	flags.BoolVar(&p.asJSON, "json", false, "print JSON")
	flags.StringVar(&p.plotPath, "plot", "", "write a plot to `FILE.svg` or FILE.png")
	flags.BoolVar(&p.allCold, "all-cold", false,
		"assume that all servers start at the beginning of the load and are still warming up")
	requireFlags(command, "load", "fleet")
}

// validate checks the values of the common flags. The files that they name are checked when they are read. Zero
// replications are valid: the number then depends on the load.
func (p *planInput) validate() error {
	if !(p.scale > 0 && p.scale <= maxScale) { // rejects NaN too
		return fmt.Errorf("--scale must be over 0 and at most 1000, got %v", p.scale)
	}
	if p.replications < 0 || p.replications > maxReplications {
		return fmt.Errorf("--reps must be between 1 and 1000, got %d", p.replications)
	}
	if p.plotPath != "" && !strings.HasSuffix(p.plotPath, ".svg") && !strings.HasSuffix(p.plotPath, ".png") {
		return fmt.Errorf("--plot must be a file name that ends in .svg or .png, got %s", p.plotPath)
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
		printLine(errOut, "note: the capture has no requests, so the service is shown as 100%")
	}
	return nil
}

// replicationsFor returns the default number of replications for a load with a number of sessions.
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

// describe prints a summary of the plan's load and fleet.
func (p *planInput) describe(out io.Writer) {
	printf(out, "Load   %d sessions in %.0f s, on average %.0f concurrent and %.1f cores requested, without groups\n",
		len(p.load.Sessions), p.load.Length.Seconds(), p.load.MeanConcurrency(), p.load.MeanCores(p.fleet))
	printf(out, "Fleet  %s: %d servers, %.1f reference cores, %d centres\n",
		p.fleet.General.Name, p.fleet.ServerCount(), p.fleet.Cores(), len(p.fleet.Zones))
}

// figureText formats the mean of a figure, its 95% confidence interval and the standard deviation of one replication.
func figureText(figure planner.Figure) string {
	return fmt.Sprintf("%5.1f%%  (%.1f to %.1f; one replication ±%.1f)",
		100*figure.Mean, 100*figure.Low, 100*figure.High, 100*figure.SD)
}
