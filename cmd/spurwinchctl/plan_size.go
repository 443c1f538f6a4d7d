package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"spurwinch/internal/plan/planner"
)

// sizePlan implements plan size.
type sizePlan struct {
	planInput
	target     float64
	maxServers int
	window     time.Duration
}

func sizeCommand() *cobra.Command {
	var plan sizePlan
	command := &cobra.Command{
		Use:   "size --load CAPTURE --fleet FLEET --target 0.98",
		Short: "Find the minimum number of servers of each kind that reaches a target",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return plan.run(command) },
	}
	plan.addFlags(command)
	flags := command.Flags()
	flags.Float64Var(&plan.target, "target", 0.98, "service to reach, as a fraction over 0 and under 1")
	flags.IntVar(&plan.maxServers, "most", 2000, "maximum number of servers to try")
	flags.DurationVar(&plan.window, "window", 10*time.Minute,
		"length of the load's busiest part, to which a load over 1.5 times as long is cut (0: never)")
	return command
}

func (p *sizePlan) run(command *cobra.Command) error {
	if !(p.target > 0 && p.target < 1) { // rejects NaN too
		return fmt.Errorf("--target must be over 0 and under 1, got %v", p.target)
	}
	if err := p.read(command.ErrOrStderr()); err != nil {
		return err
	}
	progress := newProgress(command)
	sizing, err := planner.MinimumServers(p.fleet, p.load, planner.SizeOptions{
		Options:      p.options(),
		Target:       p.target,
		Replications: p.replications,
		MaxServers:   p.maxServers,
		Window:       p.window,
		Progress:     func(text string) { progress.show("%s", text) },
	})
	if err != nil {
		return err
	}
	progress.done()
	if p.plotPath != "" {
		if err := plotSizes(p.plotPath, &sizing); err != nil {
			return err
		}
	}
	if err := p.print(command.OutOrStdout(), &sizing); err != nil {
		return err
	}
	if !sizing.Reached {
		return statusError{status: statusNegative}
	}
	return nil
}

func (p *sizePlan) print(out io.Writer, sizing *planner.Sizing) error {
	if p.asJSON {
		return writeJSON(out, sizing)
	}
	p.describe(out)
	printSizing(out, sizing)
	return nil
}

func printSizing(out io.Writer, sizing *planner.Sizing) {
	printf(out, "\nTarget: service of %.1f%% for the load from %.0f to %.0f s\n",
		100*sizing.Target, sizing.FromS, sizing.ToS)
	table := newReportTable(out)
	for _, size := range sizing.Tried {
		printf(table, "  %d servers\t%s\t%s\n", size.Servers, sizeText(size), kindsText(size.Kinds))
	}
	flushTable(table)
	if !sizing.Reached {
		printf(out, "Not reachable: %s\n", sizing.Reason)
		return
	}
	minimum := sizing.Minimum
	printf(out, "\nMinimum: %d servers (%s), service %s\n",
		minimum.Servers, kindsText(minimum.Kinds), sizeText(minimum))
	for _, kind := range slices.Sorted(maps.Keys(sizing.OneServerLess)) {
		printf(out, "  with one %s less: %s\n", kind, sizeText(sizing.OneServerLess[kind]))
	}
	if sizing.FullLoad != nil {
		printf(out, "  the minimum's service over the whole load: %s\n", figureText(*sizing.FullLoad))
	}
}

// sizeText formats the service of a size to a hundredth of a percent, since sizes differ by less than a tenth.
func sizeText(size planner.Candidate) string {
	service := size.Service
	if size.AtMost {
		return fmt.Sprintf("under %.2f%%, simulation ended early", 100*service.Mean)
	}
	return fmt.Sprintf("%5.2f%%  (%.1f to %.1f; one replication ±%.1f)",
		100*service.Mean, 100*service.Low, 100*service.High, 100*service.SD)
}

// kindsText formats the numbers of servers by kind.
func kindsText(servers map[string]int) string {
	var texts []string
	for kind, count := range servers {
		texts = append(texts, fmt.Sprintf("%d %s", count, kind))
	}
	slices.Sort(texts)
	return strings.Join(texts, ", ")
}
