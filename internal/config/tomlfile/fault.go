package tomlfile

import (
	"cmp"
	"fmt"
	"slices"
)

// Fault is one error in a file.
type Fault struct {
	File    string
	Line    int    // counted from 1; 0: the fault has no line
	Key     string // path with indices of array tables, for example "class.0.aim"; empty: the fault has no key
	Problem string // the invalid value and what is allowed, for operators
	Cause   error  // the error that caused the fault, for example of another file; nil: the file itself is invalid
}

// String returns the fault in one line, for operators.
func (f Fault) String() string {
	if f.Line == 0 {
		return f.File + ": " + f.Problem
	}
	return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Problem)
}

// Faults holds all faults of a file, sorted by line. It is never empty.
//
//nolint:errname // a list of faults, which is an error as a whole: callers print its elements
type Faults []Fault

// Error returns the first fault and the number of further faults in one line.
func (f Faults) Error() string {
	if len(f) > 1 {
		return fmt.Sprintf("%s (and %d more faults: see spurwinchctl check)", f[0], len(f)-1)
	}
	return f[0].String()
}

// Unwrap returns the errors that caused the faults. It returns none if one of the faults has no such cause, because the
// file is then invalid whatever becomes of the others.
func (f Faults) Unwrap() []error {
	var causes []error
	for _, fault := range f {
		if fault.Cause == nil {
			return nil
		}
		causes = append(causes, fault.Cause)
	}
	return causes
}

// SizeError is the error for a file of more than MaxBytes.
type SizeError struct {
	File  string
	Bytes int
}

// Error returns the file, its size and the maximum size.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%s: %d bytes, a file of settings must have at most %d", e.File, e.Bytes, MaxBytes)
}

func sortByLine(faults Faults) {
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
}
