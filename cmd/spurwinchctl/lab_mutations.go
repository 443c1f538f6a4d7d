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
		Short: "Break the program in known ways, one for each rule, and see that the laboratory finds it",
		Long: "Makes each listed mutation in a copy of the source, builds it and plays schedules in simulated time. " +
			"Needs the Go tool chain.\n" +
			"Status 0: each broke its rule; 1: one did not.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return playMutations(command.OutOrStdout(), source, seeds)
		},
	}
	command.Flags().StringVar(&source, "source", ".", "the repository's `DIR`")
	command.Flags().IntVar(&seeds, "seeds", 6, "schedules of each")
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
		return statusError{status: statusNegative, text: fmt.Sprintf("%d mutations were missed", missed)}
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
		printf(out, ": broken were %v", result.Rules)
	}
	printLine(out)
}
