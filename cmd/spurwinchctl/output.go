package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// The functions that print text ignore write errors: the exit status reports the command's result, which stays valid
// if the reader of the output has closed it.

func printf(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...) // the exit status reports the result
}

func printLine(out io.Writer, args ...any) {
	_, _ = fmt.Fprintln(out, args...) // the exit status reports the result
}

// flushTable writes out a table whose columns are aligned.
func flushTable(table *tabwriter.Writer) {
	_ = table.Flush() // the exit status reports the result
}

// newReportTable returns a table for plans and captures, with left-aligned columns two spaces apart.
func newReportTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
}

// newFigureTable returns a table of figures, with right-aligned columns.
func newFigureTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 2, 0, 2, ' ', tabwriter.AlignRight)
}

// newFleetTable returns a table for the replies of a running fleet.
func newFleetTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
}

// writeJSON writes the result of a command whose only purpose is to print it: a failed write is an error.
func writeJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printJSON prints the result of a command that also has an effect, and ignores write errors: a drain that was
// committed must not end with the status of an invalid command line. Only a value that can't be encoded is an error.
func printJSON(out io.Writer, value any) error {
	encoded, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	printf(out, "%s\n", encoded)
	return nil
}

// orDefault returns the text, or the default if the text is empty.
func orDefault(text, defaultText string) string {
	if text != "" {
		return text
	}
	return defaultText
}
