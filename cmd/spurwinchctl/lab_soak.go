package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"spurwinch/internal/lab/soak"
)

// minSoakNodes is the least fleet that is played.
const minSoakNodes = 2

// soakRun plays a range of seeds; its fields are the flags of lab soak.
type soakRun struct {
	options soak.Options
	seeds   string
	asJSON  bool
	keep    bool
}

func soakCommand() *cobra.Command {
	var settings soakRun
	command := &cobra.Command{
		Use:   "soak",
		Short: "Play many processes while rare events cross, and judge what clients and hosts saw",
		Long: "Starts the program many times on loopback with hosts, discovery and clients of its own, " +
			"draws overlapping troubles by seed (signals, failing\n" +
			"system calls, stepped clocks, misbehaving hosts, clients and discovery), " +
			"and holds all that was seen to docs/promises.md.\n" +
			"Needs a C compiler. Troubles: " + strings.Join(soak.FaultKinds(), ", ") + ".\n" +
			"Status 0: no promise broken; 1: one is, or a run was not judged since this machine itself was late; " +
			"2: it can't be played.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return settings.run(command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.StringVar(&settings.seeds, "seeds", "1..1", "`A..B`, played one after another")
	flags.IntVar(&settings.options.Nodes, "nodes", 24, "nodes, each a process")
	flags.DurationVar(&settings.options.FaultTime, "time", 20*time.Second, "for which troubles are drawn")
	flags.Float64Var(&settings.options.Rate, "rate", 0,
		"requests a second of the whole fleet; 0: what its hosts bear well")
	flags.StringSliceVar(&settings.options.Only, "only", nil, "troubles that may be drawn; without it all")
	flags.BoolVar(&settings.asJSON, "json", false, "each report as JSON")
	flags.BoolVar(&settings.keep, "keep", false, "keep the nodes' files and logs also where nothing was broken")
	flags.StringVar(&settings.options.Program, "program", "", "the node's program; else the one beside this one")
	return command
}

func (r *soakRun) validate() error {
	for _, name := range r.options.Only {
		if !slices.Contains(soak.FaultKinds(), name) {
			return fmt.Errorf("--only %s: no such trouble: one of %s", name, strings.Join(soak.FaultKinds(), ", "))
		}
	}
	if r.options.Nodes < minSoakNodes || r.options.Nodes > soak.MaxNodes {
		return fmt.Errorf("--nodes %d: 2 to %d are played", r.options.Nodes, soak.MaxNodes)
	}
	return nil
}

func (r *soakRun) run(out io.Writer) error {
	first, last, err := parseSeeds(r.seeds)
	if err != nil {
		return err
	}
	if err := r.validate(); err != nil {
		return err
	}
	if r.options.Program, err = findNodeProgram(r.options.Program); err != nil {
		return err
	}
	ctx, stop := interruptContext()
	defer stop()
	violations := 0
	notJudged := 0
	for seed := first; seed <= last && ctx.Err() == nil; seed++ {
		report, err := r.play(ctx, seed)
		if err != nil {
			return err
		}
		violations += len(report.Violations)
		if !report.Judged {
			notJudged++
		}
		if err := r.print(out, &report); err != nil {
			return err
		}
	}
	switch {
	case violations > 0:
		return statusError{status: statusNegative, text: fmt.Sprintf("%d promises broken", violations)}
	case notJudged > 0:
		return statusError{status: statusNegative, text: fmt.Sprintf("%d runs not judged", notJudged)}
	}
	return nil
}

// play plays one seed. Its files stay where something was broken, or where they are to be kept.
func (r *soakRun) play(ctx context.Context, seed uint64) (soak.Report, error) {
	options := r.options
	options.Seed = seed
	var err error
	if options.Dir, err = os.MkdirTemp("", "spurwinch-soak-"); err != nil {
		return soak.Report{}, err
	}
	report, err := soak.Run(ctx, options)
	if r.keep || err != nil || len(report.Violations) > 0 {
		printf(os.Stderr, "seed %d: files and logs in %s\n", seed, options.Dir)
		return report, err
	}
	return report, errors.Join(err, os.RemoveAll(options.Dir))
}

func (r *soakRun) print(out io.Writer, report *soak.Report) error {
	if !r.asJSON {
		printSoakReport(out, report)
		return nil
	}
	encoded, err := json.Marshal(report)
	printf(out, "%s\n", encoded)
	return err
}

func printSoakReport(out io.Writer, report *soak.Report) {
	printf(out, "seed %d, %d nodes: %d requests, %d served, %d violations\n",
		report.Seed, report.Nodes, report.Seen["requests"], report.Seen["answer UP"], len(report.Violations))
	for _, trouble := range report.Faults {
		printf(out, "  %s\n", trouble)
	}
	for _, event := range slices.Sorted(maps.Keys(report.Seen)) {
		printf(out, "  seen: %s: %d\n", event, report.Seen[event])
	}
	for _, violation := range report.Violations {
		printf(out, "  broken at %.2f s: %s: %s\n", violation.At.Seconds(), violation.Promise, violation.What)
	}
	if !report.Judged {
		printf(out, "  not judged: %s\n", report.Why)
	}
}
