// Command spurwinchctl is all of spurwinch that does not serve: it checks files, imports nginx configurations, reads
// captures, plans capacity, directs a running fleet and plays the laboratory's scenarios. Its exit statuses are the
// status constants of this package.
package main

import (
	"errors"
	"os"

	"github.com/spf13/cobra"

	"spurwinch/internal/config/nginx"
	"spurwinch/internal/config/tomlfile"
)

// Exit statuses of the program.
const (
	statusOK       = 0 // done
	statusNegative = 1 // the answer is no: a target can't be reached, a rule is broken, a change was aborted
	statusBadInput = 2 // bad input or a wrong call
	statusUnknown  = 3 // the outcome of a policy change isn't known yet; policy wait ID reports it later
)

// statusError ends the program with an exit status of its own. Without a text nothing more is printed.
type statusError struct {
	status int
	text   string
	cause  error // what callers tell errors apart by, may be nil
}

func (e statusError) Error() string { return e.text }

func (e statusError) Unwrap() error { return e.cause }

func main() { os.Exit(run(os.Args[1:])) }

// run executes the command line and returns the exit status; errors go to standard error.
func run(args []string) int {
	command := rootCommand()
	command.SetArgs(args)
	err := command.Execute()
	if err == nil {
		return statusOK
	}
	var status statusError
	if errors.As(err, &status) {
		if status.text != "" {
			printLine(os.Stderr, "spurwinchctl:", status.text)
		}
		return status.status
	}
	var faults tomlfile.Faults
	if errors.As(err, &faults) {
		for _, fault := range faults {
			printLine(os.Stderr, fault)
		}
		return statusBadInput
	}
	printLine(os.Stderr, "spurwinchctl:", err)
	return statusBadInput
}

func rootCommand() *cobra.Command {
	command := &cobra.Command{
		Use:           "spurwinchctl",
		Short:         "Checks, captures and plans for spurwinch nodes",
		SilenceUsage:  true,
		SilenceErrors: true,
		Long: "spurwinchctl is all of spurwinch that does not serve.\n\n" +
			"It ends with status 0 when done, 1 when the answer is no, 2 on bad input or a wrong call.",
	}
	command.AddCommand(
		checkCommand(),
		importCommand(),
		captureCommand(),
		planCommand(),
		fleetCommand(),
		policyCommand(),
		labCommand(),
	)
	return command
}

func importCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "import-nginx FILE",
		Short: "Turn nginx upstream, server and location blocks into an operator's file",
		Long: "Prints the operator's file on standard output. What can't be carried over is named on " +
			"standard error as\nFILE:LINE: warning: ...; what would change the meaning is an error, " +
			"and then nothing is printed.",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return nginx.Command(args[0], command.OutOrStdout(), command.ErrOrStderr())
		},
	}
}

// requireFlags makes flags of a command obligatory. A name that is no flag is a fault of this program.
func requireFlags(command *cobra.Command, names ...string) {
	for _, name := range names {
		if err := command.MarkFlagRequired(name); err != nil {
			panic(err)
		}
	}
}
