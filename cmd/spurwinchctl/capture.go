package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

// Bounds of the flags of capture draw.
const (
	maxDrawnStanding = 1e6
	minDrawnLength   = time.Second
	maxDrawnLength   = 24 * time.Hour
)

func captureCommand() *cobra.Command {
	command := &cobra.Command{Use: "capture", Short: "Read captures of a node's load"}
	command.AddCommand(captureSummaryCommand(), captureDrawCommand())
	return command
}

// captureSummaryCommand prints the figures of one load, which the capture files of all its nodes hold together. Damage
// of a file is a warning, and does not change the status.
func captureSummaryCommand() *cobra.Command {
	asJSON := false
	command := &cobra.Command{
		Use:   "summary FILE...",
		Short: "Rates, lives, loads, groups, peaks and hosts",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			captured, err := readCaptures(args, command.ErrOrStderr())
			if err != nil {
				return err
			}
			summary := captured.Summary()
			if asJSON {
				return writeJSON(command.OutOrStdout(), summary)
			}
			printSummary(command.OutOrStdout(), &summary)
			return nil
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return command
}

// readCaptures reads the captures that file names and patterns stand for. Damage goes to errOut as warnings: files with
// some are still read.
func readCaptures(names []string, errOut io.Writer) (*workload.Captured, error) {
	files, err := expandPatterns(names)
	if err != nil {
		return nil, err
	}
	captured, err := workload.ReadCaptures(files)
	if err != nil {
		return nil, err
	}
	for _, fault := range captured.Faults {
		printf(errOut, "warning: %s\n", fault)
	}
	if captured.Dropped > 0 {
		printf(errOut, "warning: %d records were dropped by nodes that could not keep up: "+
			"rates are too low by as much\n",
			captured.Dropped)
	}
	return captured, nil
}

// expandPatterns returns the files that names and patterns stand for, each once, in the order of the names. A file that
// is missing is an error, and so is a pattern that matches nothing: the answer would be of a part of the load, or of
// none.
func expandPatterns(names []string) ([]string, error) {
	var expanded []string
	seen := map[string]bool{}
	for _, name := range names {
		files, err := expandPattern(name)
		if err != nil {
			return nil, err
		}
		for _, file := range files {
			if _, err := os.Stat(file); err != nil {
				return nil, err
			}
			if seen[file] {
				continue
			}
			seen[file] = true
			expanded = append(expanded, file)
		}
	}
	return expanded, nil
}

// expandPattern returns the files that one name or pattern, as of filepath.Match, stands for.
func expandPattern(name string) ([]string, error) {
	if !strings.ContainsAny(name, "*?[") {
		return []string{name}, nil
	}
	files, err := filepath.Glob(name)
	if err != nil || len(files) == 0 {
		return nil, fmt.Errorf("%s: no file fits", name)
	}
	return files, nil
}

// drawOptions are the flags of capture draw.
type drawOptions struct {
	fleetPath string
	outPrefix string
	drawn     workload.GeneratorOptions
}

// captureDrawCommand makes a capture where there is none yet: the first plan is made from what a fleet file says of
// its load.
func captureDrawCommand() *cobra.Command {
	var options drawOptions
	command := &cobra.Command{
		Use:   "draw --fleet FLEET --standing N --out PATH",
		Short: "Write a capture drawn from a fleet file's classes and editions",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return options.run(command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.fleetPath, "fleet", "", "the `FLEET` file")
	flags.StringVar(&options.outPrefix, "out", "drawn", "what the capture's file begins with")
	flags.Float64Var(&options.drawn.Concurrency, "standing", 0, "sessions that want a connection, in the mean")
	flags.Float64Var(&options.drawn.RateVariation, "swing", 0, "the rate climbs from 1-swing to 1+swing times its mean")
	flags.DurationVar(&options.drawn.Length, "length", time.Minute, "of the load")
	flags.Uint64Var(&options.drawn.Seed, "seed", 1, "of all chance")
	requireFlags(command, "fleet", "standing")
	return command
}

// validate checks the bounds of the flags. Each condition is written so that NaN is rejected.
func (o *drawOptions) validate() error {
	switch {
	case !(o.drawn.Concurrency >= 0 && o.drawn.Concurrency <= maxDrawnStanding):
		return fmt.Errorf("--standing %v: 0 to 1000000 are wanted", o.drawn.Concurrency)
	case !(o.drawn.RateVariation >= 0 && o.drawn.RateVariation <= 1):
		return fmt.Errorf("--swing %v: 0 to 1 is wanted", o.drawn.RateVariation)
	case o.drawn.Length < minDrawnLength || o.drawn.Length > maxDrawnLength:
		return fmt.Errorf("--length %v: 1s to 24h are wanted", o.drawn.Length)
	}
	return nil
}

func (o *drawOptions) run(out io.Writer) error {
	if err := o.validate(); err != nil {
		return err
	}
	planned, err := fleet.Read(o.fleetPath)
	if err != nil {
		return err
	}
	load := workload.Generate(planned, o.drawn)
	names, err := load.Write(planned, o.outPrefix)
	if err != nil {
		return err
	}
	printf(out, "%s\n", strings.Join(names, "\n"))
	printf(out, "%d sessions in %v, %.0f standing, %.1f cores asked in the mean, without groups\n",
		len(load.Sessions), o.drawn.Length, load.MeanConcurrency(), load.MeanCores(planned))
	return nil
}
