// Package command is the main program of a node. It handles flags, signals and exit codes. The commands spurwinch and
// spurwinch-voter share it.
package command

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"spurwinch/internal/failover/agent"
)

const (
	exitSuccess = 0
	exitFailure = 1
)

// Names of the commands that the project installs side by side.
const (
	nodeCommand    = "spurwinch"
	voterCommand   = "spurwinch-voter"
	controlCommand = "spurwinchctl"
)

// Main runs a node until its shutdown is complete, and returns the exit code. newVoter creates a voter of the fleet's
// log. If it is nil and the node is a voter, spurwinch-voter replaces this program.
func Main(newVoter agent.NewVoter) int {
	// Signal handlers are installed first because an unhandled signal would end the process. Each kind of signal has
	// its own channel with room for one signal. Therefore SIGHUPs can't displace the signal for a planned shutdown, and
	// SIGHUPs that arrive while another one is pending are merged with it.
	reload := make(chan os.Signal, 1)
	stop := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	if err := run(os.Args[1:], reload, stop, newVoter); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "spurwinch:", err) // a failure to write to standard error can't be reported
		return exitFailure
	}
	return exitSuccess
}

// run executes the command line.
func run(commandLine []string, reload, stop <-chan os.Signal, newVoter agent.NewVoter) error {
	if len(commandLine) > 0 && commandLine[0] == importCommand {
		return runImport(commandLine)
	}
	options, err := parseOptions(commandLine)
	if err != nil {
		return err
	}
	return runNode(options, commandLine, reload, stop, newVoter)
}
