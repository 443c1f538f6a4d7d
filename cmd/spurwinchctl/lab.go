package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"spurwinch/deploy"
	"spurwinch/internal/lab/faults"
	"spurwinch/internal/lab/mutations"
)

func labCommand() *cobra.Command {
	c := &cobra.Command{Use: "lab", Short: "Many processes of the program, and the faults between them"}
	c.AddCommand(faultsCommand(), exploreCommand(), mutationsCommand(), soakCommand())
	return c
}

// scenario reads a scenario's file, or one of those that come with the program, by its name or file name.
func scenario(path string) (*faults.Scenario, error) {
	src, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		name := strings.TrimSuffix(filepath.Base(path), ".toml")
		if src, err = deploy.Faults.ReadFile("faults/" + name + ".toml"); err != nil {
			return nil, fmt.Errorf("%s: no such file, and no scenario of this name comes with the program: see spurwinchctl lab faults list", path)
		}
	}
	if err != nil {
		return nil, err
	}
	return faults.ReadScenario(path, src)
}

func faultsCommand() *cobra.Command {
	var o faults.Options
	var asJSON, keep bool
	var history, program string
	c := &cobra.Command{Use: "faults SCENARIO.toml", Short: "Start many processes, put faults between them, check what happens",
		Long: "Starts the program many times on loopback with every link through a relay, plays the scenario's faults and checks the history.\n" +
			"Status 0: no rule broken; 1: one is, or the run was not judged since this machine itself was late; 2: it can't be played.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := scenario(args[0])
			if err != nil {
				return err
			}
			if o.Program, err = nodeProgram(program); err != nil {
				return err
			}
			if o.Dir, err = os.MkdirTemp("", "spurwinch-lab-"); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			events, err := faults.Run(ctx, s, o)
			if history != "" && len(events) > 0 {
				f, e := os.Create(history)
				if e == nil {
					e = errors.Join(faults.Write(f, events), f.Close())
				}
				err = errors.Join(err, e)
			}
			if err != nil {
				return fmt.Errorf("%w (logs: %s)", err, o.Dir)
			}
			if !keep {
				os.RemoveAll(o.Dir)
			}
			v := faults.Check(events, s.Rules())
			if !o.Alone {
				s.Exercised(&v)
			}
			return tellVerdict(c, s.Name, o, v, asJSON)
		}}
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "for clients and drawn faults")
	c.Flags().IntVar(&o.Nodes, "nodes", 0, "processes; 0: as the scenario says")
	c.Flags().BoolVar(&o.Alone, "alone", false, "each node for itself, as without [fleet]")
	c.Flags().BoolVar(&asJSON, "json", false, "the verdict as JSON")
	c.Flags().BoolVar(&keep, "keep", false, "keep the nodes' files and logs")
	c.Flags().StringVar(&history, "history", "", "write the history to `FILE`")
	c.Flags().StringVar(&program, "program", "", "the node's program; else the one beside this one")
	c.AddCommand(&cobra.Command{Use: "list", Short: "Name the scenarios that come with the program", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, args []string) error {
			all, err := deploy.Faults.ReadDir("faults")
			if err != nil {
				return err
			}
			for _, f := range all {
				s, err := scenario(f.Name())
				if err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "%-18s %s\n", s.Name, s.What)
			}
			return nil
		}})
	check := &cobra.Command{Use: "check HISTORY", Short: "Check a history that was written before", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			f, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer f.Close()
			events, err := faults.Read(f)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			return tellVerdict(c, filepath.Base(args[0]), faults.Options{}, faults.Check(events, faults.UsualLimits), asJSON)
		}}
	check.Flags().BoolVar(&asJSON, "json", false, "the verdict as JSON")
	c.AddCommand(check)
	return c
}

func tellVerdict(c *cobra.Command, name string, o faults.Options, v faults.Verdict, asJSON bool) error {
	out := c.OutOrStdout()
	if asJSON {
		raw, err := json.MarshalIndent(struct {
			Scenario   string             `json:"scenario"`
			Seed       uint64             `json:"seed"`
			Nodes      int                `json:"nodes"`
			Violations int                `json:"violations"`
			Broken     []faults.Violation `json:"broken"`
			Judged     bool               `json:"judged"`
			Why        string             `json:"why,omitempty"`
			Seen       map[string]int     `json:"seen"`
			Figures    faults.Figures     `json:"figures"`
		}{name, o.Seed, o.Nodes, len(v.Violations), v.Violations, v.Judged, v.Why, v.Seen, v.Figures}, "", "  ")
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%s\n", raw)
	} else {
		f := v.Figures
		fmt.Fprintf(out, "%s: %d requests, %.1f%% served (worst 5 s %.1f%%), %.1f%% of these in another zone, %.1f%% in another region\n", name, f.Requests,
			100*f.Served, 100*f.Worst, 100*f.Crossed, 100*f.Regions)
		fmt.Fprintf(out, "plans %d, from the first node to the others p50 %.3f s, p99 %.3f s; fullest zone %.0f%%; zones turned back %d times\n", v.Seen["plans"], f.SpreadHalf,
			f.Spread, 100*f.PeakOfRoom, f.Reversals)
		if v.Seen["policies"] > 0 {
			fmt.Fprintf(out, "policies %d, given up %d, from a command to the last node p50 %.2f s, p99 %.2f s, longest %.2f s; the old one in use for %.2f s at most\n",
				v.Seen["policies"], v.Seen["change given up"], f.ChangeHalf, f.Change99, f.ChangeMost, f.OldPolicy)
		}
		for _, x := range v.Violations {
			fmt.Fprintf(out, "broken at %.2f s: %s: %s\n", x.At, x.Rule, x.What)
		}
		fmt.Fprintf(out, "violations: %d\n", len(v.Violations))
	}
	switch {
	case len(v.Violations) > 0:
		return statusError{1, fmt.Sprintf("%d rules broken", len(v.Violations))}
	case !v.Judged:
		return statusError{1, "not judged: " + v.Why}
	}
	return nil
}

func mutationsCommand() *cobra.Command {
	var source string
	var seeds int
	c := &cobra.Command{Use: "mutations", Short: "Break the program in known ways, one for each rule, and see that the laboratory finds it",
		Long: "Makes each listed mutation in a copy of the source, builds it and plays schedules in simulated time. Needs the Go tool chain.\n" +
			"Status 0: each broke its rule; 1: one did not.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, args []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			missed := 0
			err := mutations.Play(ctx, source, seeds, func(r mutations.Result) {
				word := "caught"
				if !r.Caught {
					word = "MISSED"
					missed++
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: %s (%s)", word, r.What, r.Rule)
				if r.Err != nil {
					fmt.Fprintf(c.OutOrStdout(), ": %v", r.Err)
				} else if !r.Caught {
					fmt.Fprintf(c.OutOrStdout(), ": broken were %v", r.Rules)
				}
				fmt.Fprintln(c.OutOrStdout())
			})
			if err == nil && missed > 0 {
				return statusError{1, fmt.Sprintf("%d mutations were missed", missed)}
			}
			return err
		}}
	c.Flags().StringVar(&source, "source", ".", "the repository's `DIR`")
	c.Flags().IntVar(&seeds, "seeds", 6, "schedules of each")
	return c
}
