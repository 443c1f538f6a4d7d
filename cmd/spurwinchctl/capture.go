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
	maxGeneratedConcurrency = 1e6
	minGeneratedLength      = time.Second
	maxGeneratedLength      = 24 * time.Hour
)

func captureCommand() *cobra.Command {
	command := &cobra.Command{Use: "capture", Short: "Summarize or generate captures of the load of nodes"}
	command.AddCommand(captureSummaryCommand(), captureDrawCommand())
	return command
}

// captureSummaryCommand prints the figures of one load, which the capture files of all its nodes contain together. A
// damaged file causes a warning and doesn't change the exit status.
func captureSummaryCommand() *cobra.Command {
	asJSON := false
	command := &cobra.Command{
		Use:   "summary FILE...",
		Short: "Print request rates, connection lifetimes, loads, groups, peaks and hosts of a captured load",
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

// readCaptures reads the captures that match file names and patterns. It reads damaged files too, and reports the
// damage to errOut as warnings.
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
		printf(errOut, "warning: overloaded nodes dropped %d records: "+
			"the rates shown don't include them and are too low\n",
			captured.Dropped)
	}
	return captured, nil
}

// expandPatterns returns the files that match the names and patterns, each once, in the order of the names. A missing
// file or a pattern without a match is an error: the result would cover only a part of the load, or nothing.
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

// expandPattern returns the files that match one name or pattern. Patterns have the syntax of filepath.Match.
func expandPattern(name string) ([]string, error) {
	if !strings.ContainsAny(name, "*?[") {
		return []string{name}, nil
	}
	files, err := filepath.Glob(name)
	if err != nil || len(files) == 0 {
		return nil, fmt.Errorf("%s: no file matches this pattern", name)
	}
	return files, nil
}

// drawOptions are the flags of capture draw.
type drawOptions struct {
	fleetPath string
	outPrefix string
	generator workload.GeneratorOptions
}

// captureDrawCommand generates a capture from the load that a fleet file describes. A first plan can be made from it
// before there is a capture of real load.
func captureDrawCommand() *cobra.Command {
	var options drawOptions
	command := &cobra.Command{
		Use:   "draw --fleet FLEET --standing N --out PREFIX",
		Short: "Generate a random capture from the classes and editions of a fleet file",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return options.run(command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.fleetPath, "fleet", "", "the `FLEET` file, which describes servers, nodes and clients")
	flags.StringVar(&options.outPrefix, "out", "drawn", "the `PREFIX` of the names of the capture files")
	flags.Float64Var(&options.generator.Concurrency, "standing", 0, "mean number of concurrent sessions, 0 to 1000000")
	flags.Float64Var(&options.generator.RateVariation, "swing", 0,
		"variation of the request rate, 0 to 1: it rises from 1-swing to 1+swing times its mean")
	flags.DurationVar(&options.generator.Length, "length", time.Minute, "length of the load, 1s to 24h")
	flags.Uint64Var(&options.generator.Seed, "seed", 1, "seed of all random numbers")
	requireFlags(command, "fleet", "standing")
	return command
}

// validate checks the bounds of the flags. Each condition is written so that NaN is rejected.
func (o *drawOptions) validate() error {
	switch {
	case !(o.generator.Concurrency >= 0 && o.generator.Concurrency <= maxGeneratedConcurrency):
		return fmt.Errorf("--standing must be between 0 and 1000000, got %v", o.generator.Concurrency)
	case !(o.generator.RateVariation >= 0 && o.generator.RateVariation <= 1):
		return fmt.Errorf("--swing must be between 0 and 1, got %v", o.generator.RateVariation)
	case o.generator.Length < minGeneratedLength || o.generator.Length > maxGeneratedLength:
		return fmt.Errorf("--length must be between 1s and 24h, got %v", o.generator.Length)
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
	load := workload.Generate(planned, o.generator)
	names, err := load.Write(planned, o.outPrefix)
	if err != nil {
		return err
	}
	printf(out, "%s\n", strings.Join(names, "\n"))
	printf(out, "%d sessions in %v, on average %.0f concurrent and %.1f cores requested, without groups\n",
		len(load.Sessions), o.generator.Length, load.MeanConcurrency(), load.MeanCores(planned))
	return nil
}
