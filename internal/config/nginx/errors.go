package nginx

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Error is an error or a warning about text that can't be parsed or converted.
type Error struct {
	File string
	Line int // counted from 1
	Text string
}

// Error returns the file, the line and the text, for operators.
func (e *Error) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text) }

var (
	errUnixSocket   = errors.New("unix sockets are not carried over")
	errNotIPAddress = errors.New("not an IP address: names are not looked up")
)

// report collects the warnings of an import, and the errors that prevent it from producing a file.
type report struct {
	file     string
	warnings []*Error
	errors   []*Error
}

func (r *report) warn(line int, format string, args ...any) {
	r.warnings = append(r.warnings, &Error{r.file, line, "warning: " + fmt.Sprintf(format, args...)})
}

func (r *report) fail(line int, format string, args ...any) {
	r.errors = append(r.errors, &Error{r.file, line, "error: " + fmt.Sprintf(format, args...)})
}

// warnUnsupported warns that a directive has no counterpart in an operator's file.
func (r *report) warnUnsupported(unsupported directive) {
	r.warn(unsupported.line, "%s is not carried over", unsupported.name)
}

func (r *report) warnInclude(include directive) {
	r.warn(include.line, "include is not followed: import %s by itself", include.firstArg())
}

// warningTexts returns the texts of the warnings, sorted by line.
func (r *report) warningTexts() []string {
	sortByLine(r.warnings)
	var texts []string
	for _, warning := range r.warnings {
		texts = append(texts, warning.Error())
	}
	return texts
}

// err returns the errors joined and sorted by line, or nil if there are none.
func (r *report) err() error {
	sortByLine(r.errors)
	var all []error
	for _, err := range r.errors {
		all = append(all, err)
	}
	return errors.Join(all...)
}

// sortByLine sorts warnings or errors in place. It keeps the order of those with the same line.
func sortByLine(reported []*Error) {
	slices.SortStableFunc(reported, func(a, b *Error) int { return cmp.Compare(a.Line, b.Line) })
}
