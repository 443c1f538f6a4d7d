// Command spurwinch is a node: it places its clients' connections on upstream hosts. It reads GW_* and config.json,
// runs in the foreground, and on SIGTERM moves its clients away, then ends with status 0. On SIGHUP it reads its files
// again. A start that can't be gives one line on standard error and status 1. All that is not serving is in spurwinchctl.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"spurwinch/internal/loop"
	"spurwinch/internal/nginx"
	"spurwinch/internal/node"
	"spurwinch/internal/operate/logs"
)

const usage = "usage: spurwinch [-operator FILE] [-log console|json] [-log-level LEVEL] | spurwinch import-nginx FILE"

func main() {
	// Before anything else: a signal that nobody takes yet would end the process. Each kind has a channel that holds one:
	// no number of SIGHUPs can crowd out the planned stop, and those that come while one waits are one with it.
	reload, stop := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	if err := run(os.Args[1:], reload, stop); err != nil {
		fmt.Fprintln(os.Stderr, "spurwinch:", err)
		os.Exit(1)
	}
}

func run(args []string, reload, stop chan os.Signal) error {
	if len(args) > 0 && args[0] == "import-nginx" { // its old name; it is spurwinchctl's now
		if len(args) != 2 {
			return fmt.Errorf("import-nginx takes one file (%s)", usage)
		}
		return nginx.Command(args[1], os.Stdout, os.Stderr)
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
	l, err := loop.New()
	if err != nil {
		return err
	}
	p, err := node.New(l, os.Getenv, *operator)
	if err != nil {
		return err
	}
	return p.Run(reload, stop)
}
