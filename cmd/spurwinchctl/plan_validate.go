package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/planner"
)

// Bounds of the flags of plan validate.
const (
	maxTrials         = 1000
	maxReplays        = 100
	maxParallelTrials = 64
	minTrialLength    = 10 * time.Second
	maxTrialLength    = 10 * time.Minute
)

const allTrials = -1 // of --only

// validation compares forecasts with replays of drawn fleets; its fields are the flags of plan validate.
type validation struct {
	trials       int
	only         int // the index of the only trial to play, or allTrials
	seed         uint64
	replications int
	length       time.Duration
	replays      int
	parallel     int
	basePath     string // fleet file
	nodeProgram  string
	keepDir      string
	checkSize    bool
	target       float64
	asJSON       bool
}

func validateCommand() *cobra.Command {
	var settings validation
	command := &cobra.Command{
		Use:   "validate --fleets N --seed S",
		Short: "Check forecasts against replays on loopback",
		Args:  cobra.NoArgs,
		Long: "Draws small fleets; for each, has real nodes capture a load, " +
			"forecasts from the capture what the fleet will make of it,\n" +
			"then plays the same load through real nodes against stand-in servers, and prints both.",
		RunE: func(command *cobra.Command, _ []string) error { return settings.run(command) },
	}
	flags := command.Flags()
	flags.IntVar(&settings.trials, "fleets", 8, "how many")
	flags.IntVar(&settings.only, "only", allTrials, "this one of them only, from 0")
	flags.Uint64Var(&settings.seed, "seed", 1, "what the fleets are drawn from")
	flags.IntVar(&settings.replications, "reps", 8, "replications behind each forecast")
	flags.DurationVar(&settings.length, "length", 30*time.Second, "of each load; replays take as long")
	flags.IntVar(&settings.replays, "replays", 1, "replays behind each measured figure; one by itself varies")
	flags.IntVar(&settings.parallel, "parallel", 2, "replays at once; on a machine too busy they measure the machine")
	flags.StringVar(&settings.basePath, "fleet", "",
		"`FLEET` file that the small ones are drawn after (default: the one built in)")
	flags.StringVar(&settings.nodeProgram, "node", "",
		"the spurwinch `PROGRAM` (default: the one beside this program)")
	flags.StringVar(&settings.keepDir, "keep", "",
		"`DIR` for captures, configurations and logs (default: a temporary one, removed)")
	flags.BoolVar(&settings.checkSize, "size", true, "check the least number of servers as well")
	flags.Float64Var(&settings.target, "target", 0.9, "service that the least number of servers is for")
	flags.BoolVar(&settings.asJSON, "json", false, "print JSON")
	return command
}

func (v *validation) validate() error {
	switch {
	case v.trials < 1 || v.trials > maxTrials:
		return fmt.Errorf("--fleets %d: 1 to 1000 are wanted", v.trials)
	case v.replays < 1 || v.replays > maxReplays:
		return fmt.Errorf("--replays %d: 1 to 100 are wanted", v.replays)
	case v.length < minTrialLength || v.length > maxTrialLength:
		return fmt.Errorf("--length %v: 10s to 10m are wanted", v.length)
	case v.parallel < 1 || v.parallel > maxParallelTrials:
		return fmt.Errorf("--parallel %d: 1 to 64 are wanted", v.parallel)
	}
	return nil
}

func (v *validation) run(command *cobra.Command) error {
	if err := v.validate(); err != nil {
		return err
	}
	base, err := v.readBase()
	if err != nil {
		return err
	}
	if err := v.findNodeProgram(); err != nil {
		return err
	}
	dir, cleanUp, err := v.workDir()
	if err != nil {
		return err
	}
	defer cleanUp()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	progress := newProgress(command)
	results, err := v.playAll(ctx, base, dir, progress)
	progress.done()
	if err != nil {
		return err
	}
	if v.only >= 0 && v.only < len(results) {
		results = results[v.only : v.only+1]
	}
	if v.asJSON {
		return writeJSON(command.OutOrStdout(), results)
	}
	v.print(command.OutOrStdout(), results)
	return nil
}

// readBase returns the fleet that the small ones are drawn after.
func (v *validation) readBase() (*fleet.Fleet, error) {
	if v.basePath == "" {
		return planner.TrialBase(), nil
	}
	return fleet.Read(v.basePath)
}

func (v *validation) findNodeProgram() error {
	program, err := nodeProgramPath(v.nodeProgram)
	if err != nil {
		return err
	}
	if _, err := os.Stat(program); err != nil {
		return fmt.Errorf("node program: %w (build it beside this one, or name it by --node)", err)
	}
	v.nodeProgram = program
	return nil
}

// workDir returns the directory for captures, configurations and logs, and a function that removes a temporary one.
func (v *validation) workDir() (dir string, cleanUp func(), err error) {
	if v.keepDir == "" {
		dir, err := os.MkdirTemp("", "spurwinch-validate-")
		if err != nil {
			return "", nil, err
		}
		return dir, func() { _ = os.RemoveAll(dir) }, nil // what is left of a temporary directory does no harm
	}
	old, _ := os.ReadDir(v.keepDir) // a directory that is missing is made, one that can't be read fails there
	if len(old) > 0 {
		return "", nil, fmt.Errorf("--keep %s: holds %d files already; "+
			"captures of two runs must not be read as one: an empty directory is wanted", v.keepDir, len(old))
	}
	return v.keepDir, func() {}, nil
}

// playAll plays the trials, as many at once as --parallel says, each in a directory of its own below dir. It returns
// when all have ended, with the errors of all: one that fails does not end the others, ctx does. Results are in the
// order of the trials' numbers; those of trials that --only leaves out are empty.
func (v *validation) playAll(
	ctx context.Context, base *fleet.Fleet, dir string, progress *progress,
) ([]trialResult, error) {
	results := make([]trialResult, v.trials)
	errs := make([]error, v.trials)
	slots := make(chan struct{}, v.parallel)
	var running sync.WaitGroup
	for i := range v.trials {
		if v.only >= 0 && i != v.only {
			continue
		}
		running.Add(1)
		slots <- struct{}{}
		go func() {
			defer running.Done()
			defer func() { <-slots }()
			trial := newTrial(v, base, i, filepath.Join(dir, fmt.Sprintf("fleet-%d", i)), progress)
			errs[i] = trial.play(ctx)
			results[i] = trial.result
		}()
	}
	running.Wait()
	return results, errors.Join(errs...)
}
