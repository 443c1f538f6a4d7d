package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// The functions that print text drop write errors: the exit status gives the answer of the command, which stands also
// where the reader of its text has gone away.

func printf(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...) // see above
}

func printLine(out io.Writer, args ...any) {
	_, _ = fmt.Fprintln(out, args...) // see above
}

// flushTable writes out a table whose columns are aligned.
func flushTable(table *tabwriter.Writer) {
	_ = table.Flush() // see above
}

// newReportTable aligns the columns of a plan or a capture to the left, two spaces apart.
func newReportTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
}

// newFigureTable aligns columns of figures to the right.
func newFigureTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 2, 0, 2, ' ', tabwriter.AlignRight)
}

// newFleetTable aligns the columns of what a running fleet replied.
func newFleetTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
}

// writeJSON writes a result whose JSON is all that the command is for: a failed write is an error.
func writeJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printJSON prints a value whose outcome stands also where it can't be written: a drain that was decided doesn't end
// with the status of a wrong call. Only a value that can't be encoded is an error.
func printJSON(out io.Writer, value any) error {
	encoded, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	printf(out, "%s\n", encoded)
	return nil
}

// orDefault returns the text, or the default where the text is empty.
func orDefault(text, defaultText string) string {
	if text != "" {
		return text
	}
	return defaultText
}
