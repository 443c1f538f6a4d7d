package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"spurwinch/internal/lab/soak"
)

func soakCommand() *cobra.Command {
	var o soak.Options
	var seeds string
	var asJSON, keep bool
	c := &cobra.Command{Use: "soak", Short: "Play many processes while rare events cross, and judge what clients and hosts saw",
		Long: "Starts the program many times on loopback with hosts, discovery and clients of its own, draws overlapping troubles by seed (signals, failing\n" +
			"system calls, stepped clocks, misbehaving hosts, clients and discovery), and holds all that was seen to docs/promises.md.\n" +
			"Needs a C compiler. Troubles: " + strings.Join(soak.Troubles(), ", ") + ".\n" +
			"Status 0: no promise broken; 1: one is, or a run was not judged since this machine itself was late; 2: it can't be played.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			first, last, err := seedRange(seeds)
			if err != nil {
				return err
			}
			for _, name := range o.Only {
				if !slices.Contains(soak.Troubles(), name) {
					return fmt.Errorf("--only %s: no such trouble: one of %s", name, strings.Join(soak.Troubles(), ", "))
				}
			}
			if o.Nodes < 2 || o.Nodes > soak.MostNodes {
				return fmt.Errorf("--nodes %d: 2 to %d are played", o.Nodes, soak.MostNodes)
			}
			if o.Program, err = nodeProgram(o.Program); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			broken, unjudged := 0, 0
			for o.Seed = first; o.Seed <= last && ctx.Err() == nil; o.Seed++ {
				r, err := soakOnce(ctx, o, keep)
				if err != nil {
					return err
				}
				broken += len(r.Violations)
				if !r.Judged {
					unjudged++
				}
				if err := tellSoak(c, r, asJSON); err != nil {
					return err
				}
			}
			switch {
			case broken > 0:
				return statusError{1, fmt.Sprintf("%d promises broken", broken)}
			case unjudged > 0:
				return statusError{1, fmt.Sprintf("%d runs not judged", unjudged)}
			}
			return nil
		}}
	c.Flags().StringVar(&seeds, "seeds", "1..1", "`A..B`, played one after another")
	c.Flags().IntVar(&o.Nodes, "nodes", 24, "nodes, each a process")
	c.Flags().DurationVar(&o.Time, "time", 20*time.Second, "for which troubles are drawn")
	c.Flags().Float64Var(&o.Rate, "rate", 0, "requests a second of the whole fleet; 0: what its hosts bear well")
	c.Flags().StringSliceVar(&o.Only, "only", nil, "troubles that may be drawn; without it all")
	c.Flags().BoolVar(&asJSON, "json", false, "each report as JSON")
	c.Flags().BoolVar(&keep, "keep", false, "keep the nodes' files and logs also where nothing was broken")
	c.Flags().StringVar(&o.Program, "program", "", "the node's program; else the one beside this one")
	return c
}

// nodeProgram is the node's program: the one that was named, or the one beside this one.
func nodeProgram(named string) (string, error) {
	if named == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		named = filepath.Join(filepath.Dir(self), "spurwinch")
	}
	if _, err := os.Stat(named); err != nil {
		return "", fmt.Errorf("no program to start: %w (--program names it)", err)
	}
	return named, nil
}

// soakOnce plays one seed. What it leaves behind stays where something was broken, or where it is to be kept.
func soakOnce(ctx context.Context, o soak.Options, keep bool) (soak.Report, error) {
	var err error
	if o.Dir, err = os.MkdirTemp("", "spurwinch-soak-"); err != nil {
		return soak.Report{}, err
	}
	r, err := soak.Run(ctx, o)
	if keep || err != nil || len(r.Violations) > 0 {
		fmt.Fprintf(os.Stderr, "seed %d: files and logs in %s\n", o.Seed, o.Dir)
		return r, err
	}
	return r, errors.Join(err, os.RemoveAll(o.Dir))
}

func tellSoak(c *cobra.Command, r soak.Report, asJSON bool) error {
	out := c.OutOrStdout()
	if asJSON {
		raw, err := json.Marshal(r)
		fmt.Fprintf(out, "%s\n", raw)
		return err
	}
	fmt.Fprintf(out, "seed %d, %d nodes: %d requests, %d served, %d violations\n", r.Seed, r.Nodes, r.Seen["requests"], r.Seen["answer UP"], len(r.Violations))
	for _, what := range r.Troubles {
		fmt.Fprintf(out, "  %s\n", what)
	}
	for _, what := range slices.Sorted(maps.Keys(r.Seen)) {
		fmt.Fprintf(out, "  seen: %s: %d\n", what, r.Seen[what])
	}
	for _, v := range r.Violations {
		fmt.Fprintf(out, "  broken at %.2f s: %s: %s\n", v.At.Seconds(), v.Promise, v.What)
	}
	if !r.Judged {
		fmt.Fprintf(out, "  not judged: %s\n", r.Why)
	}
	return nil
}
