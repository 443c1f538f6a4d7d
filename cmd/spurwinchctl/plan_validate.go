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

const allTrials = -1 // value of --only

// validation compares forecasts with replays for generated fleets. Its fields are the flags of plan validate.
type validation struct {
	trials       int
	only         int // the index of the only trial to play, or allTrials
	seed         uint64
	replications int
	length       time.Duration
	replays      int
	parallel     int
	basePath     string // path of a fleet file
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
		Short: "Compare forecasts with measured replays on loopback",
		Args:  cobra.NoArgs,
		Long: "Generates small random fleets. For each fleet, real nodes capture a load, " +
			"a forecast of the service is made from the capture,\n" +
			"and the same load is replayed through real nodes to stand-in servers. Prints forecast and measurement.",
		RunE: func(command *cobra.Command, _ []string) error { return settings.run(command) },
	}
	flags := command.Flags()
	flags.IntVar(&settings.trials, "fleets", 8, "number of fleets, 1 to 1000")
	flags.IntVar(&settings.only, "only", allTrials, "index of the only fleet to check, from 0; -1: all fleets")
	flags.Uint64Var(&settings.seed, "seed", 1, "seed of all random numbers")
	flags.IntVar(&settings.replications, "reps", 8, "simulated replications for each forecast")
	flags.DurationVar(&settings.length, "length", 30*time.Second, "length of each load and of each replay, 10s to 10m")
	flags.IntVar(&settings.replays, "replays", 1,
		"replays for each measured figure, 1 to 100; a single replay varies randomly")
	flags.IntVar(&settings.parallel, "parallel", 2,
		"replays at the same time, 1 to 64; an overloaded machine distorts the measured figures")
	flags.StringVar(&settings.basePath, "fleet", "",
		"`FLEET` file that the generated fleets are based on (default: a built-in fleet)")
	flags.StringVar(&settings.nodeProgram, "node", "",
		"the `PATH` of the node's program (default: spurwinch beside this program)")
	flags.StringVar(&settings.keepDir, "keep", "",
		"empty or new `DIR` that keeps captures, configurations and logs (default: temporary, removed at the end)")
	flags.BoolVar(&settings.checkSize, "size", true, "also check the minimum number of servers")
	flags.Float64Var(&settings.target, "target", 0.9, "service that the minimum number of servers must reach")
	flags.BoolVar(&settings.asJSON, "json", false, "print JSON")
	return command
}

func (v *validation) validate() error {
	switch {
	case v.trials < 1 || v.trials > maxTrials:
		return fmt.Errorf("--fleets must be between 1 and 1000, got %d", v.trials)
	case v.replays < 1 || v.replays > maxReplays:
		return fmt.Errorf("--replays must be between 1 and 100, got %d", v.replays)
	case v.length < minTrialLength || v.length > maxTrialLength:
		return fmt.Errorf("--length must be between 10s and 10m, got %v", v.length)
	case v.parallel < 1 || v.parallel > maxParallelTrials:
		return fmt.Errorf("--parallel must be between 1 and 64, got %d", v.parallel)
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

// readBase returns the fleet that the generated fleets are based on.
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
		return fmt.Errorf("node program: %w (build spurwinch beside this program, or pass its path as --node)", err)
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
		return dir, func() { _ = os.RemoveAll(dir) }, nil // leftover temporary files do no harm
	}
	old, _ := os.ReadDir(v.keepDir) // a missing directory is created later, which fails for an unreadable one
	if len(old) > 0 {
		return "", nil, fmt.Errorf("--keep %s: the directory must be empty, got %d files; "+
			"otherwise captures of two runs could be read as one", v.keepDir, len(old))
	}
	return v.keepDir, func() {}, nil
}

// playAll plays the trials, at most --parallel of them concurrently, each in its own subdirectory of dir. It returns
// when all trials have ended, with the errors of all of them: a failed trial doesn't end the others, but ctx does.
// Results are in the order of the trials' numbers. The results of trials that --only excludes are empty.
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
