// Command spurwinchctl is all of spurwinch that does not serve: it checks files, imports nginx configurations, reads
// captures and plans capacity. It ends with status 0 when done, 1 when the answer is no (a target can't be reached, a file
// has faults that don't keep it from being read), 2 on bad input or a wrong call.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"spurwinch/internal/config/nginx"
	"spurwinch/internal/config/tomlfile"
)

// statusError ends the program with a status of its own. Without a text nothing more is said.
type statusError struct {
	status int
	text   string
}

func (e statusError) Error() string { return e.text }

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	c := root()
	c.SetArgs(args)
	err := c.Execute()
	var s statusError
	var faults tomlfile.Faults
	switch {
	case err == nil:
		return 0
	case errors.As(err, &s):
		if s.text != "" {
			fmt.Fprintln(os.Stderr, "spurwinchctl:", s.text)
		}
		return s.status
	case errors.As(err, &faults):
		for _, f := range faults {
			fmt.Fprintln(os.Stderr, f)
		}
	default:
		fmt.Fprintln(os.Stderr, "spurwinchctl:", err)
	}
	return 2
}

func root() *cobra.Command {
	c := &cobra.Command{Use: "spurwinchctl", Short: "Checks, captures and plans for spurwinch nodes",
		SilenceUsage: true, SilenceErrors: true,
		Long: "spurwinchctl is all of spurwinch that does not serve.\n\nIt ends with status 0 when done, 1 when the answer is no, 2 on bad input or a wrong call."}
	c.AddCommand(checkCommand(), importCommand(), captureCommand(), planCommand(), fleetCommand(), policyCommand(), labCommand())
	return c
}

func importCommand() *cobra.Command {
	return &cobra.Command{Use: "import-nginx FILE", Short: "Turn nginx upstream, server and location blocks into an operator's file",
		Long: "Prints the operator's file on standard output. What can't be carried over is named on standard error as\nFILE:LINE: warning: ...; what would change the meaning is an error, and then nothing is printed.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return nginx.Command(args[0], c.OutOrStdout(), c.ErrOrStderr())
		}}
}
