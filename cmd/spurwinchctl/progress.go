package main

import (
	"io"
	"os"
	"sync"

	"github.com/spf13/cobra"
)

// clearLine moves a terminal's cursor to the start of the line and erases the line.
const clearLine = "\r\033[K"

// progress shows the progress of a long operation on standard error, if that is a terminal. It is safe for concurrent
// use.
type progress struct {
	out     io.Writer
	enabled bool
	mu      sync.Mutex
}

func newProgress(command *cobra.Command) *progress {
	info, err := os.Stderr.Stat()
	isTerminal := err == nil && info.Mode()&os.ModeCharDevice != 0
	return &progress{out: command.ErrOrStderr(), enabled: isTerminal}
}

// show replaces the line that is currently shown.
func (p *progress) show(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.enabled {
		printf(p.out, clearLine+format, args...)
	}
}

// done clears the line.
func (p *progress) done() { p.show("") }
