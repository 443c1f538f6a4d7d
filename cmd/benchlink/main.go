// Command benchlink runs the decision module (package choice) for the simulator: it reads batches from standard input
// and writes replies, and nothing else, to standard output. It exits with status 0 at the end of input. If it can't
// read a batch, it writes one line to standard error and exits with status 1.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"spurwinch/internal/simwire"
)

// bufferSize, in bytes, is enough for most batches and replies.
const bufferSize = 1 << 20

// errTruncated means that the last line of the input has no line break.
var errTruncated = errors.New("batch cut short")

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "benchlink:", err) // the exit status reports the failure as well
		os.Exit(1)
	}
}

// run replies to batches, one per line, until the input ends. Errors name the line number.
func run(in io.Reader, out io.Writer) error {
	handler := simwire.NewHandler()
	reader := bufio.NewReaderSize(in, bufferSize)
	writer := bufio.NewWriterSize(out, bufferSize)
	for number := 1; ; number++ {
		line, err := readBatch(reader)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		reply, err := handler.Handle(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if _, err := writer.Write(reply); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil { // the simulator waits for each reply before it sends the next batch
			return err
		}
	}
}

// readBatch reads one line. After the last line it returns io.EOF.
func readBatch(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadBytes('\n')
	if errors.Is(err, io.EOF) && len(line) > 0 {
		return nil, errTruncated
	}
	return line, err
}
