package nginx

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Error says what can't be read or converted, and where.
type Error struct {
	File string
	Line int // from 1
	Text string
}

// Error is the place and the text, as operators read it.
func (e *Error) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text) }

var (
	errUnixSocket   = errors.New("unix sockets are not carried over")
	errNotIPAddress = errors.New("not an IP address: names are not looked up")
)

// report collects what an import has to say: warnings, and errors that keep it from giving a file.
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

// warnUnsupported says that a directive has no counterpart in an operator's file.
func (r *report) warnUnsupported(unsupported directive) {
	r.warn(unsupported.line, "%s is not carried over", unsupported.name)
}

func (r *report) warnInclude(include directive) {
	r.warn(include.line, "include is not followed: import %s by itself", include.firstArg())
}

// warningTexts are the warnings by their lines.
func (r *report) warningTexts() []string {
	sortByLine(r.warnings)
	var texts []string
	for _, warning := range r.warnings {
		texts = append(texts, warning.Error())
	}
	return texts
}

// err joins the errors by their lines; nil: there are none.
func (r *report) err() error {
	sortByLine(r.errors)
	var all []error
	for _, err := range r.errors {
		all = append(all, err)
	}
	return errors.Join(all...)
}

// sortByLine sorts warnings or errors in place. Those of one line keep the order in which they were found.
func sortByLine(reported []*Error) {
	slices.SortStableFunc(reported, func(a, b *Error) int { return cmp.Compare(a.Line, b.Line) })
}
