// Package command is the main program of a node: its flags, its signals and its exit codes. The commands spurwinch and
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

// Main runs a node until its shutdown is complete, and returns the exit code. newVoter makes a voter of the fleet's
// log; where it is nil and the node is a voter, spurwinch-voter replaces this program.
func Main(newVoter agent.NewVoter) int {
	// Before anything else: a signal that nobody handles yet would end the process. Each kind has a channel that holds
	// one: no number of SIGHUPs can crowd out the planned stop, and those that come while one waits are one with it.
	reload := make(chan os.Signal, 1)
	stop := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	if err := run(os.Args[1:], reload, stop, newVoter); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "spurwinch:", err) // without a standard error there is nobody to tell
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
