package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"spurwinch/deploy"
	"spurwinch/internal/lab/faults"
)

// faultsRun plays one scenario. Its fields are the flags of lab faults.
type faultsRun struct {
	options     faults.Options
	asJSON      bool
	keep        bool
	historyPath string
	nodeProgram string
}

func faultsCommand() *cobra.Command {
	var settings faultsRun
	command := &cobra.Command{
		Use:   "faults SCENARIO.toml",
		Short: "Start many processes, inject faults and check the history of events",
		Long: "Starts the program many times on loopback with a relay on each link, " +
			"injects the scenario's faults and checks the history.\n" +
			"Exit status: 0 if no rule is broken, 1 if one is or if this machine was too slow for a verdict, " +
			"2 if the scenario can't be run.",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return settings.run(command.OutOrStdout(), args[0])
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&settings.options.Seed, "seed", 1, "seed of the clients and of random faults")
	flags.IntVar(&settings.options.Nodes, "nodes", 0, "number of node processes; 0: as in the scenario")
	flags.BoolVar(&settings.options.Standalone, "alone", false,
		"let each node decide for itself, as without [fleet] in its configuration")
	flags.BoolVar(&settings.asJSON, "json", false, "print the verdict as JSON")
	flags.BoolVar(&settings.keep, "keep", false, "keep the nodes' files and logs")
	flags.StringVar(&settings.historyPath, "history", "", "write the history to `FILE`")
	flags.StringVar(&settings.nodeProgram, "program", "",
		"the `PATH` of the node's program (default: spurwinch beside this program)")
	command.AddCommand(faultsListCommand(), faultsCheckCommand())
	return command
}

func faultsListCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the built-in scenarios",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			files, err := deploy.Faults.ReadDir("faults")
			if err != nil {
				return err
			}
			for _, file := range files {
				scenario, err := readScenario(file.Name())
				if err != nil {
					return err
				}
				printf(command.OutOrStdout(), "%-18s %s\n", scenario.Name, scenario.Description)
			}
			return nil
		},
	}
}

func faultsCheckCommand() *cobra.Command {
	asJSON := false
	command := &cobra.Command{
		Use:   "check HISTORY",
		Short: "Check a history that lab faults --history has written",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			events, err := readHistory(args[0])
			if err != nil {
				return err
			}
			verdict := faults.Check(events, faults.DefaultLimits)
			return reportVerdict(command.OutOrStdout(), filepath.Base(args[0]), faults.Options{}, verdict, asJSON)
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print the verdict as JSON")
	return command
}

func (r *faultsRun) run(out io.Writer, scenarioPath string) error {
	scenario, err := readScenario(scenarioPath)
	if err != nil {
		return err
	}
	if r.options.Program, err = findNodeProgram(r.nodeProgram); err != nil {
		return err
	}
	if r.options.Dir, err = os.MkdirTemp("", "spurwinch-lab-"); err != nil {
		return err
	}
	ctx, stop := interruptContext()
	defer stop()
	events, err := r.play(ctx, scenario)
	if err != nil {
		return fmt.Errorf("%w (logs: %s)", err, r.options.Dir)
	}
	if !r.keep {
		_ = os.RemoveAll(r.options.Dir) // leftover temporary files don't change the verdict
	}
	verdict := faults.Check(events, scenario.EffectiveLimits())
	if !r.options.Standalone {
		scenario.CheckExercised(&verdict)
	}
	return reportVerdict(out, scenario.Name, r.options, verdict, r.asJSON)
}

// play plays the scenario. If --history is set, it writes the history, also that of a failed run.
func (r *faultsRun) play(ctx context.Context, scenario *faults.Scenario) ([]faults.Event, error) {
	events, err := faults.Run(ctx, scenario, r.options)
	if r.historyPath != "" && len(events) > 0 {
		err = errors.Join(err, writeHistory(r.historyPath, events))
	}
	return events, err
}

func writeHistory(path string, events []faults.Event) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(faults.Write(file, events), file.Close())
}

func readHistory(path string) ([]faults.Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // nothing was written
	events, err := faults.Read(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return events, nil
}

// verdictReport is the JSON of a verdict.
type verdictReport struct {
	Scenario   string             `json:"scenario"`
	Seed       uint64             `json:"seed"`
	Nodes      int                `json:"nodes"`
	Violations int                `json:"violations"`
	Broken     []faults.Violation `json:"broken"`
	Judged     bool               `json:"judged"`
	Reason     string             `json:"why,omitempty"`
	Seen       map[string]int     `json:"seen"`
	Figures    faults.Figures     `json:"figures"`
}

// reportVerdict prints a verdict and returns the statusError for it, or nil if no rule is broken.
func reportVerdict(out io.Writer, name string, options faults.Options, verdict faults.Verdict, asJSON bool) error {
	if asJSON {
		report := verdictReport{
			Scenario:   name,
			Seed:       options.Seed,
			Nodes:      options.Nodes,
			Violations: len(verdict.Violations),
			Broken:     verdict.Violations,
			Judged:     verdict.Judged,
			Reason:     verdict.Why,
			Seen:       verdict.Seen,
			Figures:    verdict.Figures,
		}
		if err := printJSON(out, report); err != nil {
			return err
		}
	} else {
		printVerdict(out, name, &verdict)
	}
	switch {
	case len(verdict.Violations) > 0:
		return statusError{status: statusNegative, text: fmt.Sprintf("%d violations of rules", len(verdict.Violations))}
	case !verdict.Judged:
		return statusError{status: statusNegative, text: "no verdict: " + verdict.Why}
	}
	return nil
}

func printVerdict(out io.Writer, name string, verdict *faults.Verdict) {
	figures := &verdict.Figures
	printf(out, "%s: %d requests, %.1f%% served (%.1f%% in the worst 5 s), "+
		"%.1f%% of them in another zone, %.1f%% in another region\n",
		name, figures.Requests, 100*figures.Served, 100*figures.Worst, 100*figures.Crossed, 100*figures.Regions)
	printf(out, "plans %d, delay from the first node to the others p50 %.3f s, p99 %.3f s; "+
		"fullest zone %.0f%%; %d recovered zones lost again\n",
		verdict.Seen["plans"], figures.SpreadHalf, figures.Spread, 100*figures.PeakUtilization, figures.Reversals)
	if verdict.Seen["policies"] > 0 {
		printf(out, "policies %d, changes aborted %d, delay from a command to the last node p50 %.2f s, p99 %.2f s, "+
			"longest %.2f s; the old policy in use for at most %.2f s after a commit\n",
			verdict.Seen["policies"], verdict.Seen["change given up"],
			figures.ChangeHalf, figures.Change99, figures.ChangeMost, figures.OldPolicy)
	}
	for _, violation := range verdict.Violations {
		printf(out, "violation at %.2f s: %s: %s\n", violation.At, violation.Rule, violation.What)
	}
	printf(out, "violations: %d\n", len(verdict.Violations))
}
