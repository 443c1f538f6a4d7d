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

// minSoakNodes is the minimum number of nodes.
const minSoakNodes = 2

// soakRun plays a range of seeds. Its fields are the flags of lab soak.
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
		Short: "Run many processes under overlapping faults and check what clients and hosts observe",
		Long: "Starts the program many times on loopback with test hosts, discovery and clients, " +
			"injects random overlapping faults by seed (signals, failing\n" +
			"system calls, stepped clocks, misbehaving hosts, clients and discovery), " +
			"and checks all observations against docs/promises.md.\n" +
			"Requires a C compiler. Kinds of faults: " + strings.Join(soak.FaultKinds(), ", ") + ".\n" +
			"Exit status: 0 if no promise is broken, 1 if one is or if this machine was too slow for a verdict, " +
			"2 if a run can't be started or completed.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return settings.run(command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.StringVar(&settings.seeds, "seeds", "1..1", "range `A..B` of seeds, run one after another")
	flags.IntVar(&settings.options.Nodes, "nodes", 24, "number of nodes, each a process")
	flags.DurationVar(&settings.options.FaultTime, "time", 20*time.Second, "time during which faults are injected")
	flags.Float64Var(&settings.options.Rate, "rate", 0,
		"requests per second to the whole fleet; 0: derived from the capacity of the hosts")
	flags.StringSliceVar(&settings.options.Only, "only", nil, "kinds of faults to inject (default: all)")
	flags.BoolVar(&settings.asJSON, "json", false, "print each report as JSON")
	flags.BoolVar(&settings.keep, "keep", false, "keep the nodes' files and logs even if no promise was broken")
	flags.StringVar(&settings.options.Program, "program", "",
		"the `PATH` of the node's program (default: spurwinch beside this program)")
	return command
}

func (r *soakRun) validate() error {
	for _, name := range r.options.Only {
		if !slices.Contains(soak.FaultKinds(), name) {
			return fmt.Errorf("--only %s is not a kind of fault: it must be one of %s",
				name, strings.Join(soak.FaultKinds(), ", "))
		}
	}
	if r.options.Nodes < minSoakNodes || r.options.Nodes > soak.MaxNodes {
		return fmt.Errorf("--nodes %d is invalid: it must be between 2 and %d", r.options.Nodes, soak.MaxNodes)
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
	withoutVerdict := 0
	for seed := first; seed <= last && ctx.Err() == nil; seed++ {
		report, err := r.play(ctx, seed)
		if err != nil {
			return err
		}
		violations += len(report.Violations)
		if !report.Judged {
			withoutVerdict++
		}
		if err := r.print(out, &report); err != nil {
			return err
		}
	}
	switch {
	case violations > 0:
		return statusError{status: statusNegative, text: fmt.Sprintf("%d violations of promises", violations)}
	case withoutVerdict > 0:
		return statusError{status: statusNegative, text: fmt.Sprintf("%d runs without a verdict", withoutVerdict)}
	}
	return nil
}

// play plays one seed. It keeps the files if --keep is set, if the run failed or if a promise was broken.
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
	for _, fault := range report.Faults {
		printf(out, "  %s\n", fault)
	}
	for _, event := range slices.Sorted(maps.Keys(report.Seen)) {
		printf(out, "  observed: %s: %d\n", event, report.Seen[event])
	}
	for _, violation := range report.Violations {
		printf(out, "  violation at %.2f s: %s: %s\n", violation.At.Seconds(), violation.Promise, violation.What)
	}
	if !report.Judged {
		printf(out, "  no verdict: %s\n", report.Why)
	}
}
