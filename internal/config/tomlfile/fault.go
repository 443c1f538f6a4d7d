package tomlfile

import (
	"cmp"
	"fmt"
	"slices"
)

// Fault is one thing wrong with a file.
type Fault struct {
	File    string
	Line    int    // from 1; 0: not of one line
	Key     string // path, as in "class.0.aim", with the numbers of array tables; empty: not of one key
	Problem string // what was found and what is wanted, as operators read it
}

// String is the fault as operators read it.
func (f Fault) String() string {
	if f.Line == 0 {
		return f.File + ": " + f.Problem
	}
	return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Problem)
}

// Faults are all the faults of a file, in the order of their lines. There is at least one.
//
//nolint:errname // a list of faults, which is an error as a whole: callers print its elements
type Faults []Fault

// Error is the first fault, in one line.
func (f Faults) Error() string {
	if len(f) > 1 {
		return fmt.Sprintf("%s (and %d more faults: see spurwinchctl check)", f[0], len(f)-1)
	}
	return f[0].String()
}

// SizeError says that a file is too long to be settings.
type SizeError struct {
	File  string
	Bytes int
}

// Error is the file, its size and the most that is read.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%s: %d bytes; settings have %d at most", e.File, e.Bytes, MaxBytes)
}

func sortByLine(faults Faults) {
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
}
