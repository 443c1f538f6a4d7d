package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

// expand takes file names and patterns; a pattern that fits nothing is an error, since the answer would be of no load.
func expand(names []string) ([]string, error) {
	var out []string
	seen := map[string]bool{}
	for _, n := range names {
		files := []string{n}
		if strings.ContainsAny(n, "*?[") {
			var err error
			if files, err = filepath.Glob(n); err != nil || len(files) == 0 {
				return nil, fmt.Errorf("%s: no file fits", n)
			}
		}
		for _, f := range files {
			if _, err := os.Stat(f); err != nil {
				return nil, err
			}
			if !seen[f] {
				seen[f] = true
				out = append(out, f)
			}
		}
	}
	return out, nil
}

// tellFaults says what damage costs: files with some are still read.
func tellFaults(out io.Writer, c *workload.Captured) {
	for _, f := range c.Faults {
		fmt.Fprintf(out, "warning: %s\n", f)
	}
	if c.Dropped > 0 {
		fmt.Fprintf(out, "warning: %d records were dropped by nodes that could not keep up: rates are too low by as much\n", c.Dropped)
	}
}

func captureCommand() *cobra.Command {
	c := &cobra.Command{Use: "capture", Short: "Read captures of a node's load"}
	asJSON := false
	s := &cobra.Command{Use: "summary FILE...", Short: "Rates, lives, loads, groups, peaks and hosts", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			files, err := expand(args)
			if err != nil {
				return err
			}
			seen, err := workload.ReadCaptures(files)
			if err != nil {
				return err
			}
			tellFaults(c.ErrOrStderr(), seen)
			sum := seen.Summary()
			if asJSON {
				return printJSON(c.OutOrStdout(), sum)
			}
			printSummary(c.OutOrStdout(), sum)
			return nil
		}}
	s.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	c.AddCommand(s, drawCommand())
	return c
}

// drawCommand makes a capture where there is none yet: a first evening is planned from what a fleet file says of its load.
func drawCommand() *cobra.Command {
	var file, out string
	var d workload.Drawn
	c := &cobra.Command{Use: "draw --fleet FLEET --standing N --out PATH", Short: "Write a capture drawn from a fleet file's classes and editions", Args: cobra.NoArgs}
	c.Flags().StringVar(&file, "fleet", "", "the `FLEET` file")
	c.Flags().StringVar(&out, "out", "drawn", "what the capture's file begins with")
	c.Flags().Float64Var(&d.Standing, "standing", 0, "sessions that want a connection, in the mean")
	c.Flags().Float64Var(&d.Swing, "swing", 0, "the rate climbs from 1-swing to 1+swing times its mean")
	c.Flags().DurationVar(&d.Length, "length", time.Minute, "of the load")
	c.Flags().Uint64Var(&d.Seed, "seed", 1, "of all chance")
	c.MarkFlagRequired("fleet")
	c.MarkFlagRequired("standing")
	c.RunE = func(c *cobra.Command, _ []string) error {
		switch {
		case !(d.Standing >= 0 && d.Standing <= 1e6):
			return fmt.Errorf("--standing %v: 0 to 1000000 are wanted", d.Standing)
		case !(d.Swing >= 0 && d.Swing <= 1):
			return fmt.Errorf("--swing %v: 0 to 1 is wanted", d.Swing)
		case d.Length < time.Second || d.Length > 24*time.Hour:
			return fmt.Errorf("--length %v: 1s to 24h are wanted", d.Length)
		}
		f, err := fleet.Read(file)
		if err != nil {
			return err
		}
		l := workload.Draw(f, d)
		names, err := l.Write(f, out)
		if err != nil {
			return err
		}
		fmt.Fprintf(c.OutOrStdout(), "%s\n%d sessions in %v, %.0f standing, %.1f cores asked in the mean, without groups\n", strings.Join(names, "\n"), len(l.Sessions), d.Length, l.Standing(), l.Cores(f))
		return nil
	}
	return c
}

func printSummary(out io.Writer, s workload.Summary) {
	fmt.Fprintf(out, "Capture of %d nodes, from %s, %.1f s; %.0f%% of groups or clients are in it\n", s.Nodes, s.Begin.UTC().Format(time.RFC3339), s.LengthS, 100*s.Share)
	fmt.Fprintf(out, "%d requests of %d clients: %d up, %d served at once, %d refused, %d failed, %d left before an answer\n", s.Requests, s.Clients,
		s.Answers["up"], s.Answers["served"], s.Answers["refused"], s.Answers["failed"], s.Answers["left"])
	fmt.Fprintf(out, "Answers took %.1f ms in the median, %.1f ms at the 99th percentile; %.2f attempts each\n", s.Answer50ms, s.Answer99ms, s.Attempts)
	fmt.Fprintf(out, "Ends of connections: %d by clients, %d by hosts, %d moved, %d stood at the end\n", s.Ends["client"], s.Ends["host"], s.Ends["moved"], s.Ends["none"])
	fmt.Fprintf(out, "Groups: %d, of %.1f requests in the mean, %d in the largest\n", s.Groups, s.GroupMean, s.GroupMost)
	fmt.Fprintf(out, "Peak: %.1f requests a second over the 10 s from %.0f s on; most standing %d at %.0f s\n\n", s.PeakRate, s.PeakAtS, s.StandingMost, s.StandingAtS)
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(w, "  class\trequests/s\tlife mean\tmedian\t99%\tload mean\trefused")
	for _, k := range s.Classes {
		fmt.Fprintf(w, "  %s\t%.2f\t%.1f s\t%.1f s\t%.1f s\t%s\t%.1f%%\n", k.Name, k.Rate, k.LifeMeanS, k.Life50S, k.Life99S, orNone(k.Load), 100*k.Refused)
	}
	fmt.Fprintln(w, "  edition\t\t\t\t\t\t")
	for _, k := range s.Editions {
		fmt.Fprintf(w, "  %s\t%.2f\t%.1f s\t%.1f s\t%.1f s\t%s\t%.1f%%\n", k.Name, k.Rate, k.LifeMeanS, k.Life50S, k.Life99S, orNone(k.Load), 100*k.Refused)
	}
	fmt.Fprintln(w, "  host\tkind\tzone\treports\tload mean\tpeak\t")
	names := make([]string, 0, len(s.Hosts))
	for id := range s.Hosts {
		names = append(names, id)
	}
	sort.Strings(names)
	for _, id := range names {
		h := s.Hosts[id]
		fmt.Fprintf(w, "  %s\t%s\t%s\t%d\t%.2f\t%.2f\t\n", id, h.Kind, h.Zone, h.Reports, h.Load, h.Peak)
	}
	w.Flush()
}

func orNone(x float64) string {
	if x == 0 {
		return "not told"
	}
	return fmt.Sprintf("%.3g", x)
}
