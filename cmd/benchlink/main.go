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

// bufferSize is enough for most batches and replies.
const bufferSize = 1 << 20

// errTruncated is the last line of an input that ends without a line break.
var errTruncated = errors.New("batch cut short")

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "benchlink:", err) // the exit status says it too
		os.Exit(1)
	}
}

// run replies to batches, one a line, until the input ends. Errors name the line.
func run(in io.Reader, out io.Writer) error {
	host := simwire.NewHandler()
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
		reply, err := host.Handle(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if _, err := writer.Write(reply); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil { // the simulator waits for each reply
			return err
		}
	}
}

// readBatch reads a line. It returns io.EOF after the last one.
func readBatch(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadBytes('\n')
	if errors.Is(err, io.EOF) && len(line) > 0 {
		return nil, errTruncated
	}
	return line, err
}
