package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"spurwinch/internal/lab/mutations"
)

func mutationsCommand() *cobra.Command {
	var source string
	var seeds int
	command := &cobra.Command{
		Use:   "mutations",
		Short: "Check that the laboratory detects known faults put into the source, one for each rule",
		Long: "Applies each listed mutation to a copy of the source, builds it and runs schedules in simulated time. " +
			"Requires the Go tool chain.\n" +
			"Exit status: 0 if each mutation broke its rule, 1 if one did not.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return playMutations(command.OutOrStdout(), source, seeds)
		},
	}
	command.Flags().StringVar(&source, "source", ".", "the root `DIR` of the repository")
	command.Flags().IntVar(&seeds, "seeds", 6, "number of schedules for each mutation")
	return command
}

func playMutations(out io.Writer, source string, seeds int) error {
	ctx, stop := interruptContext()
	defer stop()
	missed := 0
	err := mutations.Play(ctx, source, seeds, func(result mutations.Result) {
		if !result.Caught {
			missed++
		}
		printMutation(out, &result)
	})
	if err == nil && missed > 0 {
		return statusError{status: statusNegative, text: fmt.Sprintf("%d mutations were not detected", missed)}
	}
	return err
}

func printMutation(out io.Writer, result *mutations.Result) {
	outcome := "MISSED"
	if result.Caught {
		outcome = "caught"
	}
	printf(out, "%s: %s (%s)", outcome, result.What, result.Rule)
	switch {
	case result.Err != nil:
		printf(out, ": %v", result.Err)
	case !result.Caught:
		printf(out, ": broken rules: %v", result.Rules)
	}
	printLine(out)
}
