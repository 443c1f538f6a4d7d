// Command benchlink runs the decision module on the simulator's wire: batches on standard input, replies on standard
// output, nothing else. It ends with status 0 at the end of input, and with 1 and one line on standard error when a
// batch cannot be read.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"spurwinch/internal/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	host, r, w := simwire.NewHandler(), bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<20)
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		switch {
		case errors.Is(err, io.EOF) && len(line) == 0:
			return nil
		case errors.Is(err, io.EOF):
			return fmt.Errorf("line %d: batch cut short", n)
		case err != nil:
			return fmt.Errorf("line %d: %w", n, err)
		}
		answer, err := host.Handle(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		if _, err := w.Write(answer); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}
