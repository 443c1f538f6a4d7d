// Command spurwinchctl has the tools of spurwinch that run outside a node. It checks files, imports nginx
// configurations, summarizes captures, plans capacity, controls a running fleet and runs the laboratory's scenarios.
// Its exit statuses are the status constants of this package.
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
	statusOK       = 0 // the command succeeded
	statusNegative = 1 // negative result: a target can't be reached, a rule is broken, a change was aborted
	statusBadInput = 2 // invalid input or command line
	statusUnknown  = 3 // the outcome of a policy change is not known yet; "policy wait ID" reports it later
)

// statusError ends the program with a specific exit status. The program prints the text, unless it is empty.
type statusError struct {
	status int
	text   string
	cause  error // lets callers distinguish errors by errors.Is; may be nil
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
		Short:         "Check files, plan capacity, control a fleet and test spurwinch",
		SilenceUsage:  true,
		SilenceErrors: true,
		Long: "spurwinchctl has the tools of spurwinch that run outside a node.\n\nExit status: 0 on success, 1 on a " +
			"negative result (such as a broken rule),\n2 on invalid input or arguments, 3 on an outcome not known yet.",
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
		Short: "Convert nginx upstream, server and location blocks into a node's configuration file",
		Long: "Prints the node's configuration file (operator's file) on standard output. Directives that can't be\n" +
			"converted are reported on standard error as FILE:LINE: warning: ... If the conversion would change\n" +
			"the meaning of the configuration, the command reports an error and prints no file.",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return nginx.Command(args[0], command.OutOrStdout(), command.ErrOrStderr())
		},
	}
}

// requireFlags marks flags of a command as required. It panics if the command lacks one of them.
func requireFlags(command *cobra.Command, names ...string) {
	for _, name := range names {
		if err := command.MarkFlagRequired(name); err != nil {
			panic(err)
		}
	}
}
