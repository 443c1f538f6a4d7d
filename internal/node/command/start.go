// Package command is what the programs that are nodes have in common: flags, signals, exit codes.
package command

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"spurwinch/internal/failover/agent"
	"spurwinch/internal/loop"
	"spurwinch/internal/node"
	"spurwinch/internal/operations/logs"
)

const (
	startPatience = 5 * time.Second // for what a start lacks; 10 s are wanted until a node takes clients
	startPause    = 50 * time.Millisecond
)

const usage = "usage: spurwinch [-operator FILE] [-log console|json] [-log-level LEVEL] | spurwinch import-nginx FILE"

// Main is the program: it runs until it has left, and gives its exit code. newVoter makes a voter of the fleet's log; nil: this program
// doesn't vote, and for a node that is to vote it gives way to the one that does.
func Main(newVoter agent.NewVoter) int {
	// Before anything else: a signal that nobody takes yet would end the process. Each kind has a channel that holds one:
	// no number of SIGHUPs can crowd out the planned stop, and those that come while one waits are one with it.
	reload, stop := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	if err := run(os.Args[1:], reload, stop, newVoter); err != nil {
		fmt.Fprintln(os.Stderr, "spurwinch:", err)
		return 1
	}
	return 0
}

func run(args []string, reload, stop chan os.Signal, newVoter agent.NewVoter) error {
	if len(args) > 0 && args[0] == "import-nginx" { // its old name; it is spurwinchctl's now
		if len(args) != 2 {
			return fmt.Errorf("import-nginx takes one file (%s)", usage)
		}
		return become("spurwinchctl", args)
	}
	flags := flag.NewFlagSet("spurwinch", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	operator := flags.String("operator", "", "the operator's `FILE`: fronts and clusters beside the platform's")
	var o logs.Options
	flags.StringVar(&o.Format, "log", "console", "the log's form: console or json")
	flags.StringVar(&o.Level, "log-level", "info", "least level that is logged: debug, info, warn or error")
	if err := flags.Parse(args); err != nil {
		return fmt.Errorf("%w (%s)", err, usage)
	}
	if flags.NArg() > 0 {
		return fmt.Errorf("unknown command %q (%s)", flags.Arg(0), usage)
	}
	if err := logs.Setup(os.Stderr, o); err != nil {
		return err
	}
	p, err := assemble(*operator, newVoter)
	if errors.Is(err, node.ErrVoter) {
		// Nothing is open yet that another program could miss.
		return become("spurwinch-voter", args)
	}
	if err != nil {
		return err
	}
	return p.Run(reload, stop)
}

// assemble puts the node together. What this machine lacks for a moment is waited for: a process that ends at its start is a node that is gone.
func assemble(operator string, newVoter agent.NewVoter) (*node.Program, error) {
	for end := time.Now().Add(startPatience); ; time.Sleep(startPause) {
		p, err := tryToAssemble(operator, newVoter)
		if err == nil || !loop.IsTransient(err) || time.Now().After(end) {
			return p, err
		}
	}
}

func tryToAssemble(operator string, newVoter agent.NewVoter) (*node.Program, error) {
	l, err := loop.New()
	if err != nil {
		return nil, err
	}
	p, err := node.New(l, os.Getenv, operator, newVoter)
	if err != nil {
		l.Close() // nothing of it may stand in the way of the next try
	}
	return p, err
}

// become has a program that stands beside this one take this process over.
func become(name string, args []string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), name)
	if err := syscall.Exec(path, append([]string{path}, args...), os.Environ()); err != nil {
		return fmt.Errorf("%s is to go on here and can't be started: %w", path, err)
	}
	return nil
}
