package command

import (
	"errors"
	"flag"
	"fmt"
	"io"

	"spurwinch/internal/operations/logs"
)

const usage = "usage: spurwinch [-operator FILE] [-log console|json] [-log-level LEVEL] | spurwinch import-nginx FILE"

// importCommand is a subcommand that spurwinchctl implements now.
const importCommand = "import-nginx"

var (
	errImportArguments = errors.New("import-nginx requires exactly one file")
	errUnknownCommand  = errors.New("unknown command")
)

// usageError is an error in the command line. Its text ends with the usage.
type usageError struct{ err error }

func (e *usageError) Error() string { return fmt.Sprintf("%v (%s)", e.err, usage) }

func (e *usageError) Unwrap() error { return e.err }

// options are the flags of the command line.
type options struct {
	operatorFile string // path; empty: there is no operator's file
	log          logs.Options
}

// parseOptions parses the command line of a node.
func parseOptions(commandLine []string) (options, error) {
	var parsed options
	flags := flag.NewFlagSet(nodeCommand, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.StringVar(&parsed.operatorFile, "operator", "",
		"the operator's `FILE`, defining fronts and clusters in addition to the platform's")
	flags.StringVar(&parsed.log.Format, "log", "console", "format of the log: console or json")
	flags.StringVar(&parsed.log.Level, "log-level", "info", "minimum level to log: debug, info, warn or error")
	if err := flags.Parse(commandLine); err != nil {
		return options{}, &usageError{err}
	}
	if flags.NArg() > 0 {
		return options{}, &usageError{fmt.Errorf("%w %q", errUnknownCommand, flags.Arg(0))}
	}
	return parsed, nil
}

// runImport replaces this program by spurwinchctl, which executes the import subcommand.
func runImport(commandLine []string) error {
	if len(commandLine) != 2 {
		return &usageError{errImportArguments}
	}
	return replaceProcess(controlCommand, commandLine)
}
